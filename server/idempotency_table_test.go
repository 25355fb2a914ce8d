package server

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// keyedAttempt returns an attempt with an idempotency key that arrived at a time.
func keyedAttempt(id int, key string, arrived time.Duration) *attempt {
	return &attempt{
		id:      admission.RequestID(id),
		Request: Request{Class: 1, HasKey: true, AtMostOnce: true, Key: key, ArrivedAt: arrived, ReceivedAt: unixTime(arrived)},
	}
}

// unixTime returns the time d after the Unix epoch.
func unixTime(d time.Duration) time.Time { return time.UnixMilli(0).Add(d) }

const window = 18 * time.Second

// TestIdempotencyTableFindOriginal checks which attempt is found under a key: the holder while the key is held, then the
// attempt that was run, but only for arrivals within its window, whenever they are read.
func TestIdempotencyTableFindOriginal(t *testing.T) {
	table := newIdempotencyTable(1<<20, 0)
	a := keyedAttempt(1, "k", time.Second)
	table.hold(a, 10*time.Second)
	if table.findOriginal(keyedAttempt(99, "k", 10*time.Second), 0) != a || table.findOriginal(&attempt{Request: Request{Class: 0, Key: "k"}}, 0) != nil || table.findOriginal(keyedAttempt(99, "j", 0), 0) != nil {
		t.Error("want the holder found by its key and class, and only by these")
	}
	if table.findOriginal(keyedAttempt(99, "k", 10*time.Second+1), 0) != nil {
		t.Error("an expired holder was found")
	}
	if !table.claim(a, window) || table.findOriginal(keyedAttempt(99, "k", 19*time.Second), 0) != a || table.findOriginal(keyedAttempt(99, "k", 19*time.Second+1), 0) != nil {
		t.Error("want an attempt that was run found until the end of its window, and not later")
	}
	if table.claim(keyedAttempt(2, "k", 19*time.Second), window) {
		t.Error("a second run within the window was allowed")
	}
	if !table.hasRun(keyedAttempt(2, "k", 19*time.Second)) || table.hasRun(keyedAttempt(3, "k", 19*time.Second+1)) || table.hasRun(keyedAttempt(4, "j", 0)) {
		t.Error("want a run to count for attempts of its request within the window, and for no others")
	}
	if !table.claim(keyedAttempt(3, "k", 19*time.Second+1), window) {
		t.Error("a run after the window was not allowed")
	}
}

// TestIdempotencyTableClockSetBack sets the Unix clock back by a minute after a run, while the module's clock advances.
// The window is measured on the Unix clock.
func TestIdempotencyTableClockSetBack(t *testing.T) {
	table := newIdempotencyTable(1<<20, 0)
	a := keyedAttempt(1, "k", time.Hour)
	table.claim(a, window)
	table.expire(time.Hour+time.Minute, unixTime(time.Hour), 0)
	b := keyedAttempt(2, "k", time.Hour+time.Minute)
	b.ReceivedAt = a.ReceivedAt.Add(time.Second)
	if table.findOriginal(b, 0) != a || table.claim(b, window) {
		t.Error("a request ran again within its window")
	}
}

// TestIdempotencyTableRelease checks that a released key is free if its holder never ran, and is kept if its holder was
// run. The holder may have been answered before, and is then in no other table.
func TestIdempotencyTableRelease(t *testing.T) {
	table := newIdempotencyTable(1<<20, 0)
	a, b := keyedAttempt(1, "k", 0), keyedAttempt(2, "k", 0)
	a.isAnswered = true
	table.hold(a, time.Minute)
	table.release(a.id)
	if table.findOriginal(keyedAttempt(99, "k", 0), 0) != nil || len(table.entries) != 0 || len(table.holders) != 0 {
		t.Error("a released key was found")
	}
	table.hold(a, time.Minute)
	table.hold(b, time.Minute) // the entry goes to the newer attempt
	table.release(a.id)
	if table.findOriginal(keyedAttempt(99, "k", 0), 0) != b {
		t.Error("the release of an earlier holder removed the new holder")
	}
	table.claim(b, window)
	table.release(b.id)
	if table.findOriginal(keyedAttempt(99, "k", 0), 0) != b || table.claim(keyedAttempt(3, "k", 0), window) {
		t.Error("the release removed an attempt that was run")
	}
}

// TestIdempotencyTableEvictsResults checks that the oldest results above the limit are evicted, and that their requests
// still don't run again.
func TestIdempotencyTableEvictsResults(t *testing.T) {
	table := newIdempotencyTable(25, 0)
	attempts := map[string]*attempt{}
	for i, key := range []string{"a", "b", "c"} {
		r := keyedAttempt(i+1, key, time.Duration(i)*time.Second)
		attempts[key] = r
		table.hold(r, window)
		table.claim(r, window)
		table.storeResult(r, gateway.Response{Body: make([]byte, 10)})
	}
	if attempts["a"].hasResult || !attempts["b"].hasResult || !attempts["c"].hasResult || table.resultBytes != 20 || table.evicted != 1 {
		t.Errorf("%d bytes stored, %d results evicted; want 20 and 1, the oldest", table.resultBytes, table.evicted)
	}
	if table.claim(keyedAttempt(9, "a", 0), window) {
		t.Error("a request ran again because its result was evicted")
	}
	unclaimed := keyedAttempt(10, "z", 0)
	table.storeResult(unclaimed, gateway.Response{Body: make([]byte, 5)})
	if unclaimed.hasResult {
		t.Error("a result that no retry can find was stored")
	}
	table.expire(window+time.Second, unixTime(window+time.Second), 0)
	if len(table.entries) != 2 || table.resultBytes != 20 {
		t.Errorf("%d entries, %d bytes after the first expired; want 2 and 20", len(table.entries), table.resultBytes)
	}
	table.expire(window+3*time.Second, unixTime(window+3*time.Second), 0)
	if len(table.entries) != 0 || len(table.holders) != 0 || len(table.results) != 0 || table.resultBytes != 0 {
		t.Errorf("%d entries, %d holders, %d results, %d bytes after all expired; want none", len(table.entries), len(table.holders), len(table.results), table.resultBytes)
	}
}

// TestIdempotencyTableUnclaim reuses a key after its window, for a run that turns out not to have happened. Late
// retries of the run before it are still recognized.
func TestIdempotencyTableUnclaim(t *testing.T) {
	table := newIdempotencyTable(1000, 0)
	first, reuse, late := keyedAttempt(1, "a", 0), keyedAttempt(2, "a", window+time.Second), keyedAttempt(3, "a", window-time.Second)
	if !table.claim(first, window) || !table.claim(reuse, window) {
		t.Fatal("a run outside of any window was prevented")
	}
	table.unclaim(reuse)
	if table.claim(late, window) {
		t.Error("a late attempt ran again")
	}
	table.claim(reuse, window)
	table.expire(2*window, unixTime(2*window), 0)
	if e := table.entries[reuse.idempotencyKey()]; e.previousRun != nil || !first.isExpired {
		t.Error("the previous run did not expire")
	}
}

// TestIdempotencyTableModel makes random steps, and checks that no request is run twice within its window and that the
// table keeps nothing for ever.
func TestIdempotencyTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newIdempotencyTable(200, 0)
		now, ids := time.Duration(0), 0
		ran := map[string]time.Duration{} // arrival of the latest run
		var attempts []*attempt
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				ids++
				attempts = append(attempts, keyedAttempt(ids, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), now))
				table.hold(attempts[len(attempts)-1], now+window)
			},
			"run": func(t *rapid.T) {
				if len(attempts) == 0 {
					t.Skip()
				}
				r := rapid.SampledFrom(attempts).Draw(t, "try")
				last, hasRun := ran[r.Key]
				allowed := table.claim(r, window)
				if isRepeated := r.state != runPending; hasRun && !isRepeated && (r.ArrivedAt <= last+window) == allowed {
					t.Fatalf("run of an attempt that arrived %v after the previous run: allowed %t", r.ArrivedAt-last, allowed)
				}
				if allowed && r.state == runPending {
					ran[r.Key] = r.ArrivedAt
					r.state = runSucceeded
					table.storeResult(r, gateway.Response{Body: make([]byte, 90)})
				}
			},
			"release": func(t *rapid.T) {
				if len(attempts) > 0 {
					table.release(rapid.SampledFrom(attempts).Draw(t, "try").id)
				}
			},
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "time"))
				table.expire(now, unixTime(now), 0)
				attempts = nil // older attempts have long been answered
			},
			"": func(t *rapid.T) {
				if table.resultBytes > 200 || len(table.entries) > 2 || len(table.holders) > 2 {
					t.Fatalf("%d bytes, %d entries, %d holders; want at most 200, 2 and 2", table.resultBytes, len(table.entries), len(table.holders))
				}
			},
		})
	})
}
