package server

import "time"

const (
	// minIDRetention is the minimum time for which IDs are stored.
	minIDRetention = 10 * time.Second
	// recentIDBytes is the approximate memory use of one ID, in bytes.
	recentIDBytes = 64
)

// recentIDs is the set of recent request IDs. A gateway generates a new ID for every attempt, so an ID that arrives again
// does not come from a gateway. A sender that repeats its request as soon as it is rejected would raise its tenant's rate
// and the share of retries with each copy. A sender that uses the ID of another could get that sender's answer.
//
// The IDs are in two generations. The older generation is dropped in one step, so no scan for expired IDs is needed.
type recentIDs struct {
	recent, older    map[uint64]struct{}
	nextRotation     time.Duration
	retention        time.Duration // minimum time for which an ID is stored, if memory suffices
	maxPerGeneration int
}

// newRecentIDs returns an empty set that holds at most maxIDs IDs.
func newRecentIDs(retention time.Duration, maxIDs int) recentIDs {
	return recentIDs{recent: map[uint64]struct{}{}, retention: retention, maxPerGeneration: max(maxIDs/2, 1)}
}

// add adds an ID and reports whether it is new.
func (r *recentIDs) add(id uint64, now time.Duration) bool {
	if now >= r.nextRotation || len(r.recent) >= r.maxPerGeneration {
		r.older = r.recent
		r.recent = make(map[uint64]struct{}, len(r.older))
		r.nextRotation = now + r.retention
	}
	if _, found := r.older[id]; found {
		return false
	}
	sizeBefore := len(r.recent)
	r.recent[id] = struct{}{}
	return len(r.recent) > sizeBefore
}
