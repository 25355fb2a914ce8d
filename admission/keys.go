// Idempotency keys of requests that must run only once. The interface is in interface.go.

package admission

import "time"

// keyEntry is one remembered key.
type keyEntry struct {
	expiresAt  time.Duration
	isReleased bool
}

// idempotencyKeys mirrors the host's key table, so that the memory of the table is known. count is the
// number of entries that are neither released nor expired.
type idempotencyKeys struct {
	byClass [][]*keyEntry // in the order of insertion, which is almost the order of expiry
	count   int
	// notStarted contains the requests of the current group of events whose keys were released. A retry
	// that was read in the same group still names its original, and is treated as a new request.
	notStarted map[RequestID]bool
}

// keep adds a key that expires at expiresAt.
func (k *idempotencyKeys) keep(class int, expiresAt time.Duration) *keyEntry {
	entry := &keyEntry{expiresAt: expiresAt}
	k.byClass[class] = append(k.byClass[class], entry)
	k.count++
	return entry
}

// release marks a key as no longer kept; expire removes it from the list.
func (k *idempotencyKeys) release(entry *keyEntry) {
	entry.isReleased = true
	k.count--
}

// expire removes the keys that have expired.
func (k *idempotencyKeys) expire(now, tick time.Duration) {
	for class, entries := range k.byClass {
		for len(entries) > 0 {
			oldest := entries[0]
			if !oldest.isReleased && oldest.expiresAt+tick >= now {
				break
			}
			if !oldest.isReleased {
				k.count--
			}
			entries = entries[1:]
		}
		k.byClass[class] = entries
	}
}

// keepKey keeps the key of a request that must run only once, or of a read whose result may answer other
// requests.
func (in *Instance) keepKey(req *request) {
	class := in.settings.Classes[req.class]
	expiresAt := req.arrivedAt + class.KeyWindow + 2*in.settings.Tick
	if class.Effect == Safe {
		expiresAt = req.deadline + in.settings.ResultFreshness
	}
	if class.Effect != IdempotentByKey && !in.isResultShared(req) {
		return
	}
	req.key = in.keys.keep(req.class, expiresAt)
	in.actions.KeepKey(req.id, expiresAt-in.clock.now)
}

// isResultShared reports whether the result of a safe read may answer other requests. A kept result takes
// memory, so half of the memory must be free.
func (in *Instance) isResultShared(req *request) bool {
	isSafe := in.settings.Classes[req.class].Effect == Safe
	if !isSafe || !req.isShareable || in.settings.ResultFreshness <= 0 {
		return false
	}
	return in.memoryKB() < in.settings.MemoryKB/2
}

// releaseKey removes the key of a request that never ran, so that a retry is a new request, and queues the
// first follower of the request in its place.
func (in *Instance) releaseKey(req *request) {
	if req.key != nil {
		in.actions.ReleaseKey(req.id)
		in.keys.release(req.key)
		req.key = nil
	}
	in.keys.notStarted[req.id] = true
	promoted := in.promoteFollower(req)
	switch {
	case promoted == nil:
	case in.isPastDrainGrace(promoted): // it must not run, although its original could have run
		in.rejectOrFail(promoted, AfterDrainGrace)
	default:
		in.enqueue(promoted)
	}
}

// promoteFollower makes the first follower of a request the original of the other followers. It returns the
// first follower, or nil if there is none.
func (in *Instance) promoteFollower(req *request) *request {
	var promoted *request
	for _, follower := range in.requests.byArrival {
		if !follower.isFollowing(req) {
			continue
		}
		if promoted == nil {
			promoted = follower
		} else {
			follower.original = promoted
		}
	}
	return promoted
}

// isFollowing reports whether the request waits for the other one to run.
func (r *request) isFollowing(other *request) bool {
	return r.state == stateFollowing && r.original == other
}
