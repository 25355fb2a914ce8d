package server

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// idempotencyKey names an entry: attempts of one request agree in both.
type idempotencyKey struct {
	class int
	key   string
}

// idempotencyKey is the entry of an attempt that has a key.
func (a *attempt) idempotencyKey() idempotencyKey { return idempotencyKey{a.Class, a.Key} }

// keyEntry is the entry of a key: who holds it, and what was run under it.
type keyEntry struct {
	// holder is the attempt that the module keeps the key for, or nil; attempts that arrive until holdUntil, by the
	// module's clock, are its retries.
	holder    *attempt
	holdUntil time.Duration
	// lastRun is the attempt that was run, or nil; attempts that arrive until lastRunUntil, by the Unix clock, must not
	// run again.
	lastRun      *attempt
	lastRunUntil time.Time
	// previousRun is the run before lastRun: where lastRun is reverted, retries of the earlier one may still arrive.
	previousRun      *attempt
	previousRunUntil time.Time
}

// dropPreviousRun removes the run before the last.
func (e *keyEntry) dropPreviousRun() {
	if e.previousRun != nil {
		e.previousRun.isExpired, e.previousRun = true, nil
	}
}

// isEmpty returns whether the entry has neither a holder nor a run.
func (e *keyEntry) isEmpty() bool { return e.holder == nil && e.lastRun == nil }

// storedResult is a result that is kept for retries.
type storedResult struct {
	attempt *attempt
	size    int
}

// idempotencyTable remembers attempts by class and key, and the results of those that were run. There are as many
// entries as the module keeps keys. The memory of results has a limit of its own, over which the oldest are evicted:
// their retries then fail, but don't run again.
//
// An attempt is in holders while it is the holder of its entry. No entry is empty between two calls.
type idempotencyTable struct {
	entries        map[idempotencyKey]*keyEntry
	holders        map[admission.RequestID]*attempt // answered or not
	results        []storedResult                   // in the order of storing
	resultBytes    int
	maxResultBytes int
	evicted        uint64
	freshness      time.Duration // how long after its end the result of a read may answer others
}

// newIdempotencyTable returns an empty table, with a limit of the memory of results and the freshness of reads.
func newIdempotencyTable(maxResultBytes int, freshness time.Duration) idempotencyTable {
	return idempotencyTable{
		entries:        map[idempotencyKey]*keyEntry{},
		holders:        map[admission.RequestID]*attempt{},
		maxResultBytes: maxResultBytes,
		freshness:      freshness,
	}
}

// findOriginal returns the attempt that a new arrival is a retry of, or nil: the holder, or, where the module's entry
// expired since the arrival, the one that was run. A read is answered from another that is under way, or that succeeded
// no longer ago than results stay fresh.
func (t *idempotencyTable) findOriginal(arrival *attempt, now time.Duration) *attempt {
	entry := t.entries[arrival.idempotencyKey()]
	switch {
	case entry == nil:
		return nil
	case entry.holder != nil && !arrival.AtMostOnce && t.isStale(entry.holder, now):
		return nil
	case entry.holder != nil && arrival.ArrivedAt <= entry.holdUntil:
		return entry.holder
	case t.hasRun(arrival):
		return entry.lastRun
	}
	return nil
}

// isStale returns whether a read can't answer others any more.
func (t *idempotencyTable) isStale(a *attempt, now time.Duration) bool {
	return a.state == runFailed || a.state == runSucceeded && now-a.finishedAt > t.freshness
}

// entryFor returns the entry of an attempt's key, made where there is none.
func (t *idempotencyTable) entryFor(a *attempt) *keyEntry {
	key := a.idempotencyKey()
	e := t.entries[key]
	if e == nil {
		e = &keyEntry{}
		t.entries[key] = e
	}
	return e
}

// hold makes an attempt the holder of its key.
func (t *idempotencyTable) hold(a *attempt, until time.Duration) {
	e := t.entryFor(a)
	t.clearHolder(e)
	e.holder, e.holdUntil = a, until
	t.holders[a.id] = a
}

// clearHolder removes the holder of an entry.
func (t *idempotencyTable) clearHolder(e *keyEntry) {
	if e.holder != nil {
		delete(t.holders, e.holder.id)
		e.holder = nil
	}
}

// release removes the holder of a key; the runs of its entry are kept. The holder is looked up in this table, not among
// the open attempts: a rejected attempt has left those before the module releases its key, and a key that stayed held
// would fail every retry of a request that never ran.
func (t *idempotencyTable) release(id admission.RequestID) {
	a := t.holders[id]
	if a == nil {
		return
	}
	e := t.entries[a.idempotencyKey()]
	t.clearHolder(e)
	if e.isEmpty() {
		delete(t.entries, a.idempotencyKey())
	}
}

// hasRun returns whether a run counts as that of an attempt's request: its own, or another's within the window.
func (t *idempotencyTable) hasRun(a *attempt) bool {
	e := t.entries[a.idempotencyKey()]
	return e != nil && e.lastRun != nil && !a.ReceivedAt.After(e.lastRunUntil)
}

// claim records that an attempt is run now. It returns false where another attempt of the request ran within its window:
// then this one must not run, whatever the module decided.
func (t *idempotencyTable) claim(a *attempt, window time.Duration) bool {
	e := t.entryFor(a)
	if e.lastRun != a && t.hasRun(a) {
		return false
	}
	if e.lastRun != nil && e.lastRun != a {
		e.dropPreviousRun()
		e.previousRun, e.previousRunUntil = e.lastRun, e.lastRunUntil
	}
	e.lastRun, e.lastRunUntil = a, a.ReceivedAt.Add(window)
	return true
}

// restoreRun records an attempt of an earlier process as one that was run.
func (t *idempotencyTable) restoreRun(a *attempt, until time.Time) {
	e := t.entryFor(a)
	e.lastRun, e.lastRunUntil = a, until
}

// unclaim reverts claim for an attempt that turned out not to have run: its entry is as it was before.
func (t *idempotencyTable) unclaim(a *attempt) {
	if e := t.entries[a.idempotencyKey()]; e != nil && e.lastRun == a {
		e.lastRun, e.lastRunUntil, e.previousRun = e.previousRun, e.previousRunUntil, nil
		if e.isEmpty() {
			delete(t.entries, a.idempotencyKey())
		}
	}
	t.release(a.id)
}

// originalOf returns the attempt whose run answers a retry.
func (t *idempotencyTable) originalOf(a *attempt) *attempt {
	if e := t.entries[a.idempotencyKey()]; e != nil && e.lastRun != nil {
		return e.lastRun
	}
	return a.retryOf
}

// storeResult keeps the result of an attempt that was run, and evicts the oldest results over the limit.
func (t *idempotencyTable) storeResult(attempt *attempt, result gateway.Response) {
	if e := t.entries[attempt.idempotencyKey()]; e == nil || e.lastRun != attempt && e.holder != attempt {
		return
	}
	attempt.result, attempt.hasResult = result, true
	size := responseBytes(result)
	t.results = append(t.results, storedResult{attempt, size})
	t.resultBytes += size
	for t.resultBytes > t.maxResultBytes && len(t.results) > 0 {
		t.dropResult(t.results[0])
		t.results = t.results[1:]
		t.evicted++
	}
}

// responseBytes is the memory that a response uses.
func responseBytes(r gateway.Response) int {
	size := len(r.Body)
	for _, f := range r.Headers {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// dropResult frees a stored result.
func (t *idempotencyTable) dropResult(r storedResult) {
	r.attempt.result, r.attempt.hasResult = gateway.Response{}, false
	t.resultBytes -= r.size
}

// expire removes entries that no arrival can find any more, and the results of expired runs. A request may wait
// in a socket buffer, so entries are kept longer than their time by the slack.
func (t *idempotencyTable) expire(now time.Duration, unix time.Time, slack time.Duration) {
	for key, e := range t.entries {
		if e.holder != nil && now > e.holdUntil+slack {
			t.clearHolder(e)
		}
		if e.previousRun != nil && unix.After(e.previousRunUntil.Add(slack)) {
			e.dropPreviousRun()
		}
		if e.lastRun != nil && unix.After(e.lastRunUntil.Add(slack)) {
			e.lastRun.isExpired, e.lastRun = true, nil
		}
		if e.isEmpty() {
			delete(t.entries, key)
		}
	}
	t.dropExpiredResults()
}

// dropExpiredResults frees the results that no retry can find any more.
func (t *idempotencyTable) dropExpiredResults() {
	kept := t.results[:0]
	for _, r := range t.results {
		if r.attempt.isExpired {
			t.dropResult(r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(t.results[len(kept):])
	t.results = kept
}
