package clustersim

import (
	"time"

	"tillerusher/admission"
)

// keySweepInterval is the minimum time between two sweeps of expired keys.
const keySweepInterval = time.Second

// keyEntry is the state of an idempotency key at a server.
type keyEntry struct {
	holder       *attempt // attempt for which the module keeps the key until holderUntil
	holderUntil  time.Duration
	lastRun      *attempt // attempt that ran; no other attempt that arrives until lastRunUntil may run
	lastRunUntil time.Duration
}

// isExpired reports whether the entry has neither a valid holder nor a valid last run.
func (e *keyEntry) isExpired(now time.Duration) bool {
	return (e.holder == nil || now > e.holderUntil) && (e.lastRun == nil || now > e.lastRunUntil)
}

// keyTable is a server's table of idempotency keys.
type keyTable struct {
	entries map[uint64]*keyEntry
	held    map[admission.RequestID]uint64 // keys by the ID of the attempt that holds them
	sweptAt time.Duration
}

// reset empties the table.
func (t *keyTable) reset() {
	t.entries = map[uint64]*keyEntry{}
	t.held = map[admission.RequestID]uint64{}
}

// entry returns the entry of a key and creates it if necessary.
func (t *keyTable) entry(key uint64) *keyEntry {
	e := t.entries[key]
	if e == nil {
		e = &keyEntry{}
		t.entries[key] = e
	}
	return e
}

// findOriginal returns the original of a repeat with the given key and time of arrival, or nil if there is none.
func (t *keyTable) findOriginal(key uint64, arrivedAt time.Duration) *attempt {
	e := t.entries[key]
	switch {
	case e == nil:
		return nil
	case e.holder != nil && arrivedAt <= e.holderUntil:
		return e.holder
	case e.lastRun != nil && arrivedAt <= e.lastRunUntil:
		return e.lastRun
	}
	return nil
}

// hold makes an attempt the holder of its key until the given time. It replaces the previous holder.
func (t *keyTable) hold(a *attempt, until time.Duration) {
	e := t.entry(a.request.key)
	if e.holder != nil {
		delete(t.held, e.holder.id)
	}
	e.holder, e.holderUntil = a, until
	t.held[a.id] = a.request.key
}

// release releases the key that an attempt holds, and returns the attempt, or nil if it holds none.
func (t *keyTable) release(id admission.RequestID) *attempt {
	key, ok := t.held[id]
	if !ok {
		return nil
	}
	delete(t.held, id)
	entry := t.entries[key]
	holder := entry.holder
	entry.holder = nil
	if entry.lastRun == nil {
		delete(t.entries, key)
	}
	return holder
}

// sweepPeriodically removes expired entries, at most once in keySweepInterval.
func (t *keyTable) sweepPeriodically(now time.Duration) {
	if now-t.sweptAt <= keySweepInterval {
		return
	}
	t.sweptAt = now
	for key, e := range t.entries { // the order of the map does not matter, since entries are independent
		if !e.isExpired(now) {
			continue
		}
		if e.holder != nil {
			delete(t.held, e.holder.id)
		}
		delete(t.entries, key)
	}
}
