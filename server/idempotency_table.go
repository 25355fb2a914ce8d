package server

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// idempotencyKey names an entry: tries of one request agree in both.
type idempotencyKey struct {
	class int
	key   string
}

// keyEntry is what is remembered under a key.
type keyEntry struct {
	holder       *attempt      // the try that the module keeps, or nil
	holdUntil    time.Duration // the module keeps it for arrivals until then
	lastRun      *attempt      // the try that was run, or nil
	lastRunUntil time.Time     // arrivals until then, by the Unix clock, must not be run again
	// previousRun is the run that the one above came after, and previousRunUntil its lastRunUntil: where the later one comes to nothing,
	// tries of the earlier one may still come.
	previousRun      *attempt
	previousRunUntil time.Time
}

// hasResult is a result that is kept for repeats, in the order of keeping.
type storedResult struct {
	attempt *attempt
	size    int
}

// idempotencyTable remembers tries by key and class, and the results of those that were run. Entries are as many as
// the module keeps; the memory of results has a limit of its own, past which the oldest are given up: their
// repeats then fail, which is no second run.
type idempotencyTable struct {
	entries        map[idempotencyKey]*keyEntry
	holders        map[admission.RequestID]*attempt // the tries that hold an entry, answered or not
	results        []storedResult
	resultBytes    int // values the results kept
	maxResultBytes int
	evicted        uint64
	freshness      time.Duration // how long after its end the answer to a read may serve others
}

// newIdempotencyTable returns an empty table that keeps results of so many bytes, and those of reads for so long.
func newIdempotencyTable(limit int, fresh time.Duration) idempotencyTable {
	return idempotencyTable{entries: map[idempotencyKey]*keyEntry{}, holders: map[admission.RequestID]*attempt{}, maxResultBytes: limit, freshness: fresh}
}

// findOriginal returns the try that a new arrival repeats, or nil: the one kept, or, where the module's entry ran out
// since the arrival, the one that was run. A read takes its answer from another that is under way, or that ended
// well no longer ago than answers stay fresh.
func (k *idempotencyTable) findOriginal(t *attempt, now time.Duration) *attempt {
	e := k.entries[t.key]
	switch {
	case e == nil:
		return nil
	case e.holder != nil && !t.atMostOnce && (e.holder.state == runFailed || e.holder.state == runFinished && now-e.holder.finishedAt > k.freshness):
		return nil
	case e.holder != nil && t.arrivedAt <= e.holdUntil:
		return e.holder
	case k.hasRun(t):
		return e.lastRun
	}
	return nil
}

// keyEntry returns the entry of a key, made anew where there is none.
func (k *idempotencyTable) entryFor(id idempotencyKey) *keyEntry {
	e := k.entries[id]
	if e == nil {
		e = &keyEntry{}
		k.entries[id] = e
	}
	return e
}

// hold makes the try the holder of its key.
func (k *idempotencyTable) hold(t *attempt, until time.Duration) {
	e := k.entryFor(t.key)
	k.clearHolder(e)
	e.holder, e.holdUntil = t, until
	k.holders[t.id] = t
}

// clearHolder takes an entry from its holder.
func (k *idempotencyTable) clearHolder(e *keyEntry) {
	if e.holder != nil {
		delete(k.holders, e.holder.id)
		e.holder = nil
	}
}

// dropResult takes the key from its holder; what was run stays known. The holder is known here by itself: a try
// that was turned away is forgotten elsewhere before the module gives up its key, and a key left behind would
// fail every further try of a request that never ran.
func (k *idempotencyTable) release(id admission.RequestID) {
	t := k.holders[id]
	if t == nil {
		return
	}
	e := k.entries[t.key]
	k.clearHolder(e)
	if e.lastRun == nil {
		delete(k.entries, t.key)
	}
}

// hasRun tells whether a run stands for the request of a try: it, or another within the window.
func (k *idempotencyTable) hasRun(t *attempt) bool {
	e := k.entries[t.key]
	return e != nil && e.lastRun != nil && !t.receivedAt.After(e.lastRunUntil)
}

// claim notes that the try is run now. It returns false where another try of the request ran within its
// window: the rule on single effect stands above any decision.
func (k *idempotencyTable) claim(t *attempt, window time.Duration) bool {
	e := k.entryFor(t.key)
	if e.lastRun != t && k.hasRun(t) {
		return false
	}
	if e.lastRun != nil && e.lastRun != t {
		e.forgetPreviousRun()
		e.previousRun, e.previousRunUntil = e.lastRun, e.lastRunUntil
	}
	e.lastRun, e.lastRunUntil = t, t.receivedAt.Add(window)
	return true
}

// forgetPreviousRun forgets the run before the last.
func (e *keyEntry) forgetPreviousRun() {
	if e.previousRun != nil {
		e.previousRun.isExpired, e.previousRun = true, nil
	}
}

// restoreRun makes a try of an earlier process known as one that was run.
func (k *idempotencyTable) restoreRun(t *attempt, until time.Time) {
	e := k.entryFor(t.key)
	e.lastRun, e.lastRunUntil = t, until
}

// unclaim takes back that the try was run, which it turned out not to be: its key is as it was before.
func (k *idempotencyTable) unclaim(t *attempt) {
	if e := k.entries[t.key]; e != nil && e.lastRun == t {
		e.lastRun, e.lastRunUntil, e.previousRun = e.previousRun, e.previousRunUntil, nil
		if e.holder == nil && e.lastRun == nil {
			delete(k.entries, t.key)
		}
	}
	k.release(t.id)
}

// originalOf is the try whose run answers a repeat.
func (k *idempotencyTable) originalOf(t *attempt) *attempt {
	if e := k.entries[t.key]; e != nil && e.lastRun != nil {
		return e.lastRun
	}
	return t.retryOf
}

// storeResult keeps the result of a try that was run and gives up the oldest results over the limit.
func (k *idempotencyTable) storeResult(t *attempt, result gateway.Response) {
	if e := k.entries[t.key]; e == nil || e.lastRun != t && e.holder != t {
		return
	}
	t.result, t.hasResult = result, true
	size := len(result.Body)
	for _, f := range result.Headers {
		size += len(f.Name) + len(f.Value)
	}
	k.results = append(k.results, storedResult{t, size})
	k.resultBytes += size
	for k.resultBytes > k.maxResultBytes && len(k.results) > 0 {
		k.dropResult(k.results[0])
		k.results = k.results[1:]
		k.evicted++
	}
}

// dropResult frees a stored result.
func (k *idempotencyTable) dropResult(r storedResult) {
	r.attempt.result, r.attempt.hasResult = gateway.Response{}, false
	k.resultBytes -= r.size
}

// expire forgets entries that no arrival can find any more. A request may lie unread for a while, so entries
// outlast their time by the slack.
func (k *idempotencyTable) expire(now time.Duration, unix time.Time, slack time.Duration) {
	for id, e := range k.entries {
		if e.holder != nil && now > e.holdUntil+slack {
			k.clearHolder(e)
		}
		if e.previousRun != nil && unix.After(e.previousRunUntil.Add(slack)) {
			e.forgetPreviousRun()
		}
		if e.lastRun != nil && unix.After(e.lastRunUntil.Add(slack)) {
			e.lastRun.isExpired, e.lastRun = true, nil
		}
		if e.holder == nil && e.lastRun == nil {
			delete(k.entries, id)
		}
	}
	kept := k.results[:0]
	for _, r := range k.results {
		if r.attempt.isExpired {
			k.dropResult(r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(k.results[len(kept):])
	k.results = kept
}
