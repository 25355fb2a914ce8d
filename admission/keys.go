// The keys of requests that must run once only. The interface is in interface.go.

package admission

// keepKey remembers the key of a request that must run once only, and that of a read whose answer may serve
// others that ask for the same.
func (in *Instance) keepKey(r *request) {
	c := in.set.Classes[r.class]
	until := r.arrived + c.KeyWindow + 2*in.set.Tick
	if c.Effect == Safe {
		until = r.due + in.set.ResultFreshness
	}
	shared := c.Effect == Safe && in.set.ResultFreshness > 0 && r.subject && in.memory() < in.set.MemoryKB/2
	if c.Effect == IdempotentByKey || shared {
		r.keyed = &key{until: until}
		in.keys[r.class] = append(in.keys[r.class], r.keyed)
		in.keyCount++
		in.do.KeepKey(r.id, until-in.now)
	}
}

// releaseKey erases the key of a request that never ran, so that a further try counts as new, and lets the
// first that waited for it take its place.
func (in *Instance) releaseKey(r *request) {
	if r.keyed != nil {
		in.do.ReleaseKey(r.id)
		r.keyed.gone = true
		in.keyCount--
		r.keyed = nil
	}
	in.unrun[r.id] = true
	var heir *request
	for _, f := range in.all {
		if f.state != follows || f.original != r {
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
	case in.afterGrace(heir): // it came after the grace of a drain: the place is not its to take
		in.answer(heir, AfterDrainGrace)
	default:
		in.enqueue(heir)
	}
}

// expireKeys releases the memory of keys whose window is over.
func (in *Instance) expireKeys() {
	for class, list := range in.keys {
		for len(list) > 0 && (list[0].gone || list[0].until+in.set.Tick < in.now) {
			if !list[0].gone {
				in.keyCount--
			}
			list = list[1:]
		}
		in.keys[class] = list
	}
}
