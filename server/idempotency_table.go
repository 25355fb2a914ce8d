package server

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// idempotencyKey identifies an entry. All attempts of one request have the same class and key.
type idempotencyKey struct {
	class int
	key   string
}

// idempotencyKey returns the key of the attempt's entry. The attempt must have a key.
func (a *attempt) idempotencyKey() idempotencyKey { return idempotencyKey{a.Class, a.Key} }

// keyEntry is the entry of a key: its holder, and the attempts that were run under it.
type keyEntry struct {
	// holder is the attempt for which the module keeps the key, or nil. Attempts that arrive until holdUntil, on the
	// module's clock, are its retries.
	holder    *attempt
	holdUntil time.Duration
	// lastRun is the attempt that was last run, or nil. Attempts that arrive until lastRunUntil, on the Unix clock, must
	// not run again.
	lastRun      *attempt
	lastRunUntil time.Time
	// previousRun is the attempt that was run before lastRun. If lastRun is reverted, retries of previousRun may still
	// arrive.
	previousRun      *attempt
	previousRunUntil time.Time
}

// dropPreviousRun removes the run before lastRun.
func (e *keyEntry) dropPreviousRun() {
	if e.previousRun != nil {
		e.previousRun.isExpired, e.previousRun = true, nil
	}
}

// isEmpty reports whether the entry has neither a holder nor a run.
func (e *keyEntry) isEmpty() bool { return e.holder == nil && e.lastRun == nil }

// storedResult is a result that is stored for retries.
type storedResult struct {
	attempt *attempt
	size    int
}

// idempotencyTable stores attempts by class and key, and the results of the attempts that were run. There are as many
// entries as the module keeps keys. The memory of results has a separate limit, above which the oldest results are
// evicted: retries of their requests then fail, but do not run again.
//
// An attempt is in holders while it is the holder of its entry. Between two calls no entry is empty.
type idempotencyTable struct {
	entries        map[idempotencyKey]*keyEntry
	holders        map[admission.RequestID]*attempt // including answered attempts
	results        []storedResult                   // oldest first
	resultBytes    int
	maxResultBytes int
	evicted        uint64
	freshness      time.Duration // how long after its run the result of a read may answer other reads
}

// newIdempotencyTable returns an empty table, with a limit in bytes for the memory of results and the freshness of reads.
func newIdempotencyTable(maxResultBytes int, freshness time.Duration) idempotencyTable {
	return idempotencyTable{
		entries:        map[idempotencyKey]*keyEntry{},
		holders:        map[admission.RequestID]*attempt{},
		maxResultBytes: maxResultBytes,
		freshness:      freshness,
	}
}

// findOriginal returns the attempt of which a new arrival is a retry, or nil: the holder of its key or, if the module's
// entry has expired since the arrival, the attempt that was run. A read may be answered by a read that has not ended, or
// by one that succeeded no longer ago than the freshness.
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

// isStale reports whether a read can no longer answer other reads.
func (t *idempotencyTable) isStale(a *attempt, now time.Duration) bool {
	return a.state == runFailed || a.state == runSucceeded && now-a.finishedAt > t.freshness
}

// entryFor returns the entry of an attempt's key, and creates it if there is none.
func (t *idempotencyTable) entryFor(a *attempt) *keyEntry {
	key := a.idempotencyKey()
	e := t.entries[key]
	if e == nil {
		e = &keyEntry{}
		t.entries[key] = e
	}
	return e
}

// hold makes an attempt the holder of its key until a time of the module's clock.
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

// release removes the holder of a key, and keeps the runs of its entry. It looks the holder up in this table and not
// among the open attempts, because a rejected attempt is removed from those before the module releases its key. If the
// key stayed held, every retry of the request would fail although the request never ran.
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

// hasRun reports whether the request of an attempt has run: either this attempt, or another one within its window.
func (t *idempotencyTable) hasRun(a *attempt) bool {
	e := t.entries[a.idempotencyKey()]
	return e != nil && e.lastRun != nil && !a.ReceivedAt.After(e.lastRunUntil)
}

// claim records that an attempt is run now, and returns true. It returns false if another attempt of the request ran
// within its window: then this one must not run, whatever the module decided.
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

// restoreRun records that an earlier process ran an attempt.
func (t *idempotencyTable) restoreRun(a *attempt, until time.Time) {
	e := t.entryFor(a)
	e.lastRun, e.lastRunUntil = a, until
}

// unclaim reverts claim for an attempt that did not run after all, so that the previous run is the last one again. It
// also releases the attempt's key.
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

// storeResult stores the result of an attempt that was run, and evicts the oldest results above the limit.
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

// responseBytes returns how many bytes of memory a response uses.
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

// expire removes entries that no arrival can find any more, and the results of expired runs. A request may wait in a
// socket buffer, so each entry is kept for slack longer than its time.
func (t *idempotencyTable) expire(now time.Duration, unixNow time.Time, slack time.Duration) {
	for key, e := range t.entries {
		if e.holder != nil && now > e.holdUntil+slack {
			t.clearHolder(e)
		}
		if e.previousRun != nil && unixNow.After(e.previousRunUntil.Add(slack)) {
			e.dropPreviousRun()
		}
		if e.lastRun != nil && unixNow.After(e.lastRunUntil.Add(slack)) {
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
