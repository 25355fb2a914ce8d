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
		Request: Request{Class: 1, HasKey: true, AtMostOnce: true, Key: key, ArrivedAt: arrived, ReceivedAt: at(arrived)},
	}
}

// at is a time of the Unix clock.
func at(d time.Duration) time.Time { return time.UnixMilli(0).Add(d) }

const window = 18 * time.Second

// TestIdempotencyTableFindOriginal covers who is found under a key: the holder while it is kept, then the attempt that
// was run, for arrivals within the time only, whenever they are read.
func TestIdempotencyTableFindOriginal(t *testing.T) {
	table := newIdempotencyTable(1<<20, 0)
	a := keyedAttempt(1, "k", time.Second)
	table.hold(a, 10*time.Second)
	if table.findOriginal(keyedAttempt(99, "k", 10*time.Second), 0) != a || table.findOriginal(&attempt{Request: Request{Class: 0, Key: "k"}}, 0) != nil || table.findOriginal(keyedAttempt(99, "j", 0), 0) != nil {
		t.Error("a kept attempt is found by its key and class alone")
	}
	if table.findOriginal(keyedAttempt(99, "k", 10*time.Second+1), 0) != nil {
		t.Error("an entry that ran out was found")
	}
	if !table.claim(a, window) || table.findOriginal(keyedAttempt(99, "k", 19*time.Second), 0) != a || table.findOriginal(keyedAttempt(99, "k", 19*time.Second+1), 0) != nil {
		t.Error("an attempt that was run is found until its window is over")
	}
	if table.claim(keyedAttempt(2, "k", 19*time.Second), window) {
		t.Error("a second run within the window was allowed")
	}
	if !table.hasRun(keyedAttempt(2, "k", 19*time.Second)) || table.hasRun(keyedAttempt(3, "k", 19*time.Second+1)) || table.hasRun(keyedAttempt(4, "j", 0)) {
		t.Error("a run counts for the attempts of its request within the window, and for no others")
	}
	if !table.claim(keyedAttempt(3, "k", 19*time.Second+1), window) {
		t.Error("a run after the window was not allowed")
	}
}

// TestIdempotencyTableClockSetBack has the Unix clock set back by a minute after a run, while the module's goes on: the
// window is one of the Unix clock.
func TestIdempotencyTableClockSetBack(t *testing.T) {
	table := newIdempotencyTable(1<<20, 0)
	a := keyedAttempt(1, "k", time.Hour)
	table.claim(a, window)
	table.expire(time.Hour+time.Minute, at(time.Hour), 0)
	b := keyedAttempt(2, "k", time.Hour+time.Minute)
	b.ReceivedAt = a.ReceivedAt.Add(time.Second)
	if table.findOriginal(b, 0) != a || table.claim(b, window) {
		t.Error("a request ran again within its window")
	}
}

// TestIdempotencyTableRelease releases a key whose holder never ran, and keeps one that was run. The holder may have
// been answered before: then no other table knows it.
func TestIdempotencyTableRelease(t *testing.T) {
	table := newIdempotencyTable(1<<20, 0)
	a, b := keyedAttempt(1, "k", 0), keyedAttempt(2, "k", 0)
	a.isAnswered = true
	table.hold(a, time.Minute)
	table.release(a.id)
	if table.findOriginal(keyedAttempt(99, "k", 0), 0) != nil || len(table.entries) != 0 || len(table.holders) != 0 {
		t.Error("a forgotten key was found")
	}
	table.hold(a, time.Minute)
	table.hold(b, time.Minute) // the entry goes to the newer attempt
	table.release(a.id)
	if table.findOriginal(keyedAttempt(99, "k", 0), 0) != b {
		t.Error("the key was taken from another holder")
	}
	table.claim(b, window)
	table.release(b.id)
	if table.findOriginal(keyedAttempt(99, "k", 0), 0) != b || table.claim(keyedAttempt(3, "k", 0), window) {
		t.Error("an attempt that was run was forgotten")
	}
}

// TestIdempotencyTableEvictsResults evicts the oldest results over the limit, but still knows that their requests ran.
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
		t.Errorf("%d bytes kept, %d dropped", table.resultBytes, table.evicted)
	}
	if table.claim(keyedAttempt(9, "a", 0), window) {
		t.Error("a request ran again since its result was evicted")
	}
	stranger := keyedAttempt(10, "z", 0)
	table.storeResult(stranger, gateway.Response{Body: make([]byte, 5)})
	if stranger.hasResult {
		t.Error("a result was kept that nothing can find")
	}
	table.expire(window+time.Second, at(window+time.Second), 0)
	if len(table.entries) != 2 || table.resultBytes != 20 {
		t.Errorf("%d entries, %d bytes after the first ran out", len(table.entries), table.resultBytes)
	}
	table.expire(window+3*time.Second, at(window+3*time.Second), 0)
	if len(table.entries) != 0 || len(table.holders) != 0 || len(table.results) != 0 || table.resultBytes != 0 {
		t.Errorf("%d entries, %d holders, %d results, %d bytes after all ran out", len(table.entries), len(table.holders), len(table.results), table.resultBytes)
	}
}

// TestIdempotencyTableUnclaim uses a key again after its window, for a run that turns out not to have happened: late
// retries of the run before it are still known.
func TestIdempotencyTableUnclaim(t *testing.T) {
	table := newIdempotencyTable(1000, 0)
	first, reuse, late := keyedAttempt(1, "a", 0), keyedAttempt(2, "a", window+time.Second), keyedAttempt(3, "a", window-time.Second)
	if !table.claim(first, window) || !table.claim(reuse, window) {
		t.Fatal("a run within no window was prevented")
	}
	table.unclaim(reuse)
	if table.claim(late, window) {
		t.Error("a late attempt ran again")
	}
	table.claim(reuse, window)
	table.expire(2*window, at(2*window), 0)
	if e := table.entries[reuse.idempotencyKey()]; e.previousRun != nil || !first.isExpired {
		t.Error("the run before is kept for ever")
	}
}

// TestIdempotencyTableModel makes random steps: no request is run twice within its window, and the table holds nothing
// for ever.
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
				last, before := ran[r.Key]
				allowed := table.claim(r, window)
				if again := r.state != runPending; before && !again && (r.ArrivedAt <= last+window) == allowed {
					t.Fatalf("run of an attempt that arrived %v after the last that ran: %t", r.ArrivedAt-last, allowed)
				}
				if allowed && r.state == runPending {
					ran[r.Key] = r.ArrivedAt
					r.state = runSucceeded
					table.storeResult(r, gateway.Response{Body: make([]byte, 90)})
				}
			},
			"forget": func(t *rapid.T) {
				if len(attempts) > 0 {
					table.release(rapid.SampledFrom(attempts).Draw(t, "try").id)
				}
			},
			"pass": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "time"))
				table.expire(now, at(now), 0)
				attempts = nil // older attempts are answered long since
			},
			"": func(t *rapid.T) {
				if table.resultBytes > 200 || len(table.entries) > 2 || len(table.holders) > 2 {
					t.Fatalf("%d bytes, %d entries, %d holders", table.resultBytes, len(table.entries), len(table.holders))
				}
			},
		})
	})
}
