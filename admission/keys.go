// The keys of requests that must run once only. The interface is in interface.go.

package admission

// keepKey remembers the key of a request that must run once only, and that of a read whose answer may serve
// others that ask for the same.
func (in *Instance) keepKey(r *request) {
	c := in.settings.Classes[r.class]
	until := r.arrivedAt + c.KeyWindow + 2*in.settings.Tick
	if c.Effect == Safe {
		until = r.deadline + in.settings.ResultFreshness
	}
	shared := c.Effect == Safe && in.settings.ResultFreshness > 0 && r.isShareable &&
		in.memoryKB() < in.settings.MemoryKB/2
	if c.Effect == IdempotentByKey || shared {
		r.key = &keyEntry{expiresAt: until}
		in.keys[r.class] = append(in.keys[r.class], r.key)
		in.keyCount++
		in.actions.KeepKey(r.id, until-in.now)
	}
}

// releaseKey erases the key of a request that never ran, so that a further try counts as new, and lets the
// first that waited for it take its place.
func (in *Instance) releaseKey(r *request) {
	if r.key != nil {
		in.actions.ReleaseKey(r.id)
		r.key.isReleased = true
		in.keyCount--
		r.key = nil
	}
	in.notStarted[r.id] = true
	var heir *request
	for _, f := range in.byArrival {
		if f.state != stateFollowing || f.original != r {
			continue
		}
		if heir == nil {
			heir = f
		} else {
			f.original = heir
		}
	}
	switch {
	case heir == nil:
	case in.isPastDrainGrace(heir): // it came after the grace of a drain: the place is not its to take
		in.rejectOrFail(heir, AfterDrainGrace)
	default:
		in.enqueue(heir)
	}
}

// expireKeys releases the memory of keys whose window is over.
func (in *Instance) expireKeys() {
	for class, list := range in.keys {
		for len(list) > 0 && (list[0].isReleased || list[0].expiresAt+in.settings.Tick < in.now) {
			if !list[0].isReleased {
				in.keyCount--
			}
			list = list[1:]
		}
		in.keys[class] = list
	}
}
