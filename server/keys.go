package server

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// keyID names an entry: tries of one request agree in both.
type keyID struct {
	class int
	key   string
}

// entry is what is remembered under a key.
type entry struct {
	holder   *try          // the try that the module keeps, or nil
	until    time.Duration // the module keeps it for arrivals until then
	ran      *try          // the try that was run, or nil
	ranUntil time.Time     // arrivals until then, by the Unix clock, must not be run again
	// before is the run that the one above came after, and beforeUntil its ranUntil: where the later one comes to nothing,
	// tries of the earlier one may still come.
	before      *try
	beforeUntil time.Time
}

// stored is a result that is kept for repeats, in the order of keeping.
type stored struct {
	t    *try
	size int
}

// keyTable remembers tries by key and class, and the results of those that were run. Entries are as many as
// the module keeps; the memory of results has a limit of its own, past which the oldest are given up: their
// repeats then fail, which is no second run.
type keyTable struct {
	entries map[keyID]*entry
	holders map[admission.RequestID]*try // the tries that hold an entry, answered or not
	results []stored
	bytes   int // of the results kept
	limit   int
	dropped uint64
	fresh   time.Duration // how long after its end the answer to a read may serve others
}

// newKeyTable returns an empty table that keeps results of so many bytes, and those of reads for so long.
func newKeyTable(limit int, fresh time.Duration) keyTable {
	return keyTable{entries: map[keyID]*entry{}, holders: map[admission.RequestID]*try{}, limit: limit, fresh: fresh}
}

// find returns the try that a new arrival repeats, or nil: the one kept, or, where the module's entry ran out
// since the arrival, the one that was run. A read takes its answer from another that is under way, or that ended
// well no longer ago than answers stay fresh.
func (k *keyTable) find(t *try, now time.Duration) *try {
	e := k.entries[t.key]
	switch {
	case e == nil:
		return nil
	case e.holder != nil && !t.once && (e.holder.state == broken || e.holder.state == done && now-e.holder.ended > k.fresh):
		return nil
	case e.holder != nil && t.arrived <= e.until:
		return e.holder
	case k.hasRun(t):
		return e.ran
	}
	return nil
}

// entry returns the entry of a key, made anew where there is none.
func (k *keyTable) entry(id keyID) *entry {
	e := k.entries[id]
	if e == nil {
		e = &entry{}
		k.entries[id] = e
	}
	return e
}

// keep makes the try the holder of its key.
func (k *keyTable) keep(t *try, until time.Duration) {
	e := k.entry(t.key)
	k.unhold(e)
	e.holder, e.until = t, until
	k.holders[t.id] = t
}

// unhold takes an entry from its holder.
func (k *keyTable) unhold(e *entry) {
	if e.holder != nil {
		delete(k.holders, e.holder.id)
		e.holder = nil
	}
}

// forget takes the key from its holder; what was run stays known. The holder is known here by itself: a try
// that was turned away is forgotten elsewhere before the module gives up its key, and a key left behind would
// fail every further try of a request that never ran.
func (k *keyTable) forget(id admission.RequestID) {
	t := k.holders[id]
	if t == nil {
		return
	}
	e := k.entries[t.key]
	k.unhold(e)
	if e.ran == nil {
		delete(k.entries, t.key)
	}
}

// hasRun tells whether a run stands for the request of a try: it, or another within the window.
func (k *keyTable) hasRun(t *try) bool {
	e := k.entries[t.key]
	return e != nil && e.ran != nil && !t.stamp.After(e.ranUntil)
}

// claim notes that the try is run now. It returns false where another try of the request ran within its
// window: the rule on single effect stands above any decision.
func (k *keyTable) claim(t *try, window time.Duration) bool {
	e := k.entry(t.key)
	if e.ran != t && k.hasRun(t) {
		return false
	}
	if e.ran != nil && e.ran != t {
		e.letGo()
		e.before, e.beforeUntil = e.ran, e.ranUntil
	}
	e.ran, e.ranUntil = t, t.stamp.Add(window)
	return true
}

// letGo forgets the run before the last.
func (e *entry) letGo() {
	if e.before != nil {
		e.before.expired, e.before = true, nil
	}
}

// recall makes a try of an earlier process known as one that was run.
func (k *keyTable) recall(t *try, until time.Time) {
	e := k.entry(t.key)
	e.ran, e.ranUntil = t, until
}

// disclaim takes back that the try was run, which it turned out not to be: its key is as it was before.
func (k *keyTable) disclaim(t *try) {
	if e := k.entries[t.key]; e != nil && e.ran == t {
		e.ran, e.ranUntil, e.before = e.before, e.beforeUntil, nil
		if e.holder == nil && e.ran == nil {
			delete(k.entries, t.key)
		}
	}
	k.forget(t.id)
}

// source is the try whose run answers a repeat.
func (k *keyTable) source(t *try) *try {
	if e := k.entries[t.key]; e != nil && e.ran != nil {
		return e.ran
	}
	return t.repeats
}

// store keeps the result of a try that was run and gives up the oldest results over the limit.
func (k *keyTable) store(t *try, result gateway.Answer) {
	if e := k.entries[t.key]; e == nil || e.ran != t && e.holder != t {
		return
	}
	t.result, t.stored = result, true
	size := len(result.Body)
	for _, f := range result.Fields {
		size += len(f.Name) + len(f.Value)
	}
	k.results = append(k.results, stored{t, size})
	k.bytes += size
	for k.bytes > k.limit && len(k.results) > 0 {
		k.release(k.results[0])
		k.results = k.results[1:]
		k.dropped++
	}
}

// release frees a stored result.
func (k *keyTable) release(r stored) {
	r.t.result, r.t.stored = gateway.Answer{}, false
	k.bytes -= r.size
}

// sweep forgets entries that no arrival can find any more. A request may lie unread for a while, so entries
// outlast their time by the slack.
func (k *keyTable) sweep(now time.Duration, unix time.Time, slack time.Duration) {
	for id, e := range k.entries {
		if e.holder != nil && now > e.until+slack {
			k.unhold(e)
		}
		if e.before != nil && unix.After(e.beforeUntil.Add(slack)) {
			e.letGo()
		}
		if e.ran != nil && unix.After(e.ranUntil.Add(slack)) {
			e.ran.expired, e.ran = true, nil
		}
		if e.holder == nil && e.ran == nil {
			delete(k.entries, id)
		}
	}
	kept := k.results[:0]
	for _, r := range k.results {
		if r.t.expired {
			k.release(r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(k.results[len(kept):])
	k.results = kept
}
