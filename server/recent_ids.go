package server

import "time"

const (
	// minIDRetention is the least time for which ids are remembered.
	minIDRetention = 10 * time.Second
	// recentIDsMemoryDivisor is the part of the memory that remembered ids may take, recentIDBytes what one of them takes.
	recentIDsMemoryDivisor, recentIDBytes = 32, 64
)

// recentIDs remembers the ids of requests that were read lately. An id is new with every try, so one that comes
// again is no gateway's: a sender that repeats itself as soon as it is turned away would raise its tenant's rate
// and the share of further tries with each copy, and one that takes another's id could get its answer.
//
// There are two generations, so that nothing is ever searched for what is too old.
type recentIDs struct {
	recent, older    map[uint64]struct{}
	nextRotation     time.Duration // when the generations change next
	retention        time.Duration // least time that an id is remembered
	maxPerGeneration int           // ids of one generation
}

// newRecentIDs returns an empty memory.
func newRecentIDs(span time.Duration, most int) recentIDs {
	return recentIDs{recent: map[uint64]struct{}{}, retention: span, maxPerGeneration: max(most/2, 1)}
}

// add remembers an id and tells whether it is new.
func (m *recentIDs) add(id uint64, now time.Duration) bool {
	if now >= m.nextRotation || len(m.recent) >= m.maxPerGeneration {
		m.recent, m.older, m.nextRotation = make(map[uint64]struct{}, len(m.recent)), m.recent, now+m.retention
	}
	if _, found := m.older[id]; found {
		return false
	}
	before := len(m.recent)
	m.recent[id] = struct{}{}
	return len(m.recent) > before
}
