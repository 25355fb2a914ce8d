package server

import "time"

const (
	// seenLeast is the least time for which ids are remembered.
	seenLeast = 10 * time.Second
	// seenPart is the part of the memory that remembered ids may take, seenSize what one of them takes.
	seenPart, seenSize = 32, 64
)

// seenIDs remembers the ids of requests that were read lately. An id is new with every try, so one that comes
// again is no gateway's: a sender that repeats itself as soon as it is turned away would raise its tenant's rate
// and the share of further tries with each copy, and one that takes another's id could get its answer.
//
// There are two generations, so that nothing is ever searched for what is too old.
type seenIDs struct {
	recent, older map[uint64]struct{}
	turn          time.Duration // when the generations change next
	span          time.Duration // least time that an id is remembered
	most          int           // ids of one generation
}

// newSeenIDs returns an empty memory.
func newSeenIDs(span time.Duration, most int) seenIDs {
	return seenIDs{recent: map[uint64]struct{}{}, span: span, most: max(most/2, 1)}
}

// add remembers an id and tells whether it is new.
func (m *seenIDs) add(id uint64, now time.Duration) bool {
	if now >= m.turn || len(m.recent) >= m.most {
		m.recent, m.older, m.turn = make(map[uint64]struct{}, len(m.recent)), m.recent, now+m.span
	}
	if _, found := m.older[id]; found {
		return false
	}
	before := len(m.recent)
	m.recent[id] = struct{}{}
	return len(m.recent) > before
}
