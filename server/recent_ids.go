package server

import "time"

const (
	// minIDRetention is the least time for which IDs are remembered.
	minIDRetention = 10 * time.Second
	// recentIDBytes is the approximate memory of one ID.
	recentIDBytes = 64
)

// recentIDs is the set of recent request IDs. A gateway makes a new ID for every attempt, so one that arrives again does
// not come from a gateway. A sender that repeats its request as soon as it is rejected would raise its tenant's rate and
// the share of retries with each copy, and one that uses another's ID could get its answer.
//
// There are two generations, and the older one is dropped as one: no scan for expired IDs is needed.
type recentIDs struct {
	recent, older    map[uint64]struct{}
	nextRotation     time.Duration
	retention        time.Duration // least time that an ID is remembered, where memory suffices
	maxPerGeneration int
}

// newRecentIDs returns an empty set for at most maxIDs IDs.
func newRecentIDs(retention time.Duration, maxIDs int) recentIDs {
	return recentIDs{recent: map[uint64]struct{}{}, retention: retention, maxPerGeneration: max(maxIDs/2, 1)}
}

// add remembers an ID and returns whether it is new.
func (r *recentIDs) add(id uint64, now time.Duration) bool {
	if now >= r.nextRotation || len(r.recent) >= r.maxPerGeneration {
		r.older = r.recent
		r.recent = make(map[uint64]struct{}, len(r.older))
		r.nextRotation = now + r.retention
	}
	if _, found := r.older[id]; found {
		return false
	}
	before := len(r.recent)
	r.recent[id] = struct{}{}
	return len(r.recent) > before
}
