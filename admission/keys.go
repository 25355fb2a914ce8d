// Idempotency keys of requests that must run once only. The interface is in interface.go.

package admission

import "time"

// keyEntry is one remembered key.
type keyEntry struct {
	expiresAt  time.Duration
	isReleased bool
}

// idempotencyKeys mirrors the host's key table, so that its memory is known. Its count is that of
// the entries that are neither released nor expired.
type idempotencyKeys struct {
	byClass [][]*keyEntry // in the order in which they were kept, which is nearly that of their expiry
	count   int
	// notStarted are the requests of this group of events whose keys were released: a retry that was read
	// with them still names the original, and counts as new.
	notStarted map[RequestID]bool
}

// keep enters a key.
func (k *idempotencyKeys) keep(class int, expiresAt time.Duration) *keyEntry {
	entry := &keyEntry{expiresAt: expiresAt}
	k.byClass[class] = append(k.byClass[class], entry)
	k.count++
	return entry
}

// release marks a key as no longer kept; expire drops it from the list.
func (k *idempotencyKeys) release(entry *keyEntry) {
	entry.isReleased = true
	k.count--
}

// expire drops the keys whose window is over.
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

// keepKey remembers the key of a request that must run once only, and that of a read whose result may
// answer others.
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

// isResultShared tells whether the result of a safe read may answer others. Keeping it takes memory, of
// which half must be free.
func (in *Instance) isResultShared(req *request) bool {
	isSafe := in.settings.Classes[req.class].Effect == Safe
	if !isSafe || !req.isShareable || in.settings.ResultFreshness <= 0 {
		return false
	}
	return in.memoryKB() < in.settings.MemoryKB/2
}

// releaseKey removes the key of a request that never ran, so that a retry counts as new, and queues its
// first follower in its place.
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
	case in.isPastDrainGrace(promoted): // it must not run, though its original might have
		in.rejectOrFail(promoted, AfterDrainGrace)
	default:
		in.enqueue(promoted)
	}
}

// promoteFollower has the followers of a request follow the first of them, and returns that or nil.
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

// isFollowing tells whether the request waits for the other to run.
func (r *request) isFollowing(other *request) bool {
	return r.state == stateFollowing && r.original == other
}
