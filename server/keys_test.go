package server

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

func keyedTry(id int, key string, arrived time.Duration) *try {
	return &try{id: admission.RequestID(id), class: 1, keyed: true, once: true, key: keyID{1, key}, arrived: arrived, stamp: at(arrived)}
}

// at is a moment of the Unix clock.
func at(d time.Duration) time.Time { return time.UnixMilli(0).Add(d) }

const window = 18 * time.Second

// TestKeysFind covers who is found under a key: the holder while it is kept, then the try that was run, for
// arrivals within the time only, whenever they are read.
func TestKeysFind(t *testing.T) {
	k := newKeyTable(1<<20, 0)
	a := keyedTry(1, "k", time.Second)
	k.keep(a, 10*time.Second)
	if k.find(keyedTry(99, "k", 10*time.Second), 0) != a || k.find(&try{key: keyID{0, "k"}}, 0) != nil || k.find(keyedTry(99, "j", 0), 0) != nil {
		t.Error("a kept try is found by its key and class alone")
	}
	if k.find(keyedTry(99, "k", 10*time.Second+1), 0) != nil {
		t.Error("an entry that ran out was found")
	}
	if !k.claim(a, window) || k.find(keyedTry(99, "k", 19*time.Second), 0) != a || k.find(keyedTry(99, "k", 19*time.Second+1), 0) != nil {
		t.Error("a try that was run is found until its window is over")
	}
	if k.claim(keyedTry(2, "k", 19*time.Second), window) {
		t.Error("a second run within the window was allowed")
	}
	if !k.hasRun(keyedTry(2, "k", 19*time.Second)) || k.hasRun(keyedTry(3, "k", 19*time.Second+1)) || k.hasRun(keyedTry(4, "j", 0)) {
		t.Error("a run stands for the tries of its request within the window, and for no others")
	}
	if !k.claim(keyedTry(3, "k", 19*time.Second+1), window) {
		t.Error("a run after the window was not allowed")
	}
}

// TestKeysClockSetBack has the Unix clock set back by a minute after a run, while the module's goes on: the
// window is one of the Unix clock.
func TestKeysClockSetBack(t *testing.T) {
	k := newKeyTable(1<<20, 0)
	a := keyedTry(1, "k", time.Hour)
	k.claim(a, window)
	k.sweep(time.Hour+time.Minute, at(time.Hour), 0)
	b := keyedTry(2, "k", time.Hour+time.Minute)
	b.stamp = a.stamp.Add(time.Second)
	if k.find(b, 0) != a || k.claim(b, window) {
		t.Error("a request ran again within its window")
	}
}

// TestKeysForget gives a key free that its holder never used, and keeps one that was run. The holder may have
// been answered before: then no other table knows it.
func TestKeysForget(t *testing.T) {
	k := newKeyTable(1<<20, 0)
	a, b := keyedTry(1, "k", 0), keyedTry(2, "k", 0)
	a.answered = true
	k.keep(a, time.Minute)
	k.forget(a.id)
	if k.find(keyedTry(99, "k", 0), 0) != nil || len(k.entries) != 0 || len(k.holders) != 0 {
		t.Error("a forgotten key was found")
	}
	k.keep(a, time.Minute)
	k.keep(b, time.Minute) // the entry goes to the newer try
	k.forget(a.id)
	if k.find(keyedTry(99, "k", 0), 0) != b {
		t.Error("the key was taken from another holder")
	}
	k.claim(b, window)
	k.forget(b.id)
	if k.find(keyedTry(99, "k", 0), 0) != b || k.claim(keyedTry(3, "k", 0), window) {
		t.Error("a try that was run was forgotten")
	}
}

// TestKeysResults gives up the oldest results over the limit, but not what they were the results of.
func TestKeysResults(t *testing.T) {
	k := newKeyTable(25, 0)
	tries := map[string]*try{}
	for i, key := range []string{"a", "b", "c"} {
		r := keyedTry(i+1, key, time.Duration(i)*time.Second)
		tries[key] = r
		k.keep(r, window)
		k.claim(r, window)
		k.store(r, gateway.Answer{Body: make([]byte, 10)})
	}
	if tries["a"].stored || !tries["b"].stored || !tries["c"].stored || k.bytes != 20 || k.dropped != 1 {
		t.Errorf("%d bytes kept, %d dropped", k.bytes, k.dropped)
	}
	if k.claim(keyedTry(9, "a", 0), window) {
		t.Error("a request ran again since its result was given up")
	}
	stranger := keyedTry(10, "z", 0)
	k.store(stranger, gateway.Answer{Body: make([]byte, 5)})
	if stranger.stored {
		t.Error("a result was kept that nothing can find")
	}
	k.sweep(window+time.Second, at(window+time.Second), 0)
	if len(k.entries) != 2 || k.bytes != 20 {
		t.Errorf("%d entries, %d bytes after the first ran out", len(k.entries), k.bytes)
	}
	k.sweep(window+3*time.Second, at(window+3*time.Second), 0)
	if len(k.entries) != 0 || len(k.holders) != 0 || len(k.results) != 0 || k.bytes != 0 {
		t.Errorf("%d entries, %d holders, %d results, %d bytes after all ran out", len(k.entries), len(k.holders), len(k.results), k.bytes)
	}
}

// TestKeyUsedAnew has a key used again after its window, for a run that turns out not to have happened: late tries of the run
// before it are still known.
func TestKeyUsedAnew(t *testing.T) {
	k := newKeyTable(1000, 0)
	first, anew, late := keyedTry(1, "a", 0), keyedTry(2, "a", window+time.Second), keyedTry(3, "a", window-time.Second)
	if !k.claim(first, window) || !k.claim(anew, window) {
		t.Fatal("a run within no window was held up")
	}
	k.disclaim(anew)
	if k.claim(late, window) {
		t.Error("a late try ran again")
	}
	k.claim(anew, window)
	k.sweep(2*window, at(2*window), 0)
	if e := k.entries[anew.key]; e.before != nil || !first.expired {
		t.Error("the run before is kept for ever")
	}
}

// TestKeysModel makes sure with random steps that no request is run twice within its window, and that the
// table holds nothing for ever.
func TestKeysModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKeyTable(200, 0)
		now, ids := time.Duration(0), 0
		ran := map[string]time.Duration{} // arrival of the latest run
		var tries []*try
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				ids++
				tries = append(tries, keyedTry(ids, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), now))
				k.keep(tries[len(tries)-1], now+window)
			},
			"run": func(t *rapid.T) {
				if len(tries) == 0 {
					t.Skip()
				}
				r := rapid.SampledFrom(tries).Draw(t, "try")
				last, before := ran[r.key.key]
				allowed := k.claim(r, window)
				if again := r.state != unrun; before && !again && (r.arrived <= last+window) == allowed {
					t.Fatalf("run of a try that arrived %v after the last that ran: %t", r.arrived-last, allowed)
				}
				if allowed && r.state == unrun {
					ran[r.key.key] = r.arrived
					r.state = done
					k.store(r, gateway.Answer{Body: make([]byte, 90)})
				}
			},
			"forget": func(t *rapid.T) {
				if len(tries) > 0 {
					k.forget(rapid.SampledFrom(tries).Draw(t, "try").id)
				}
			},
			"pass": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "time"))
				k.sweep(now, at(now), 0)
				tries = nil // older tries are answered long since
			},
			"": func(t *rapid.T) {
				if k.bytes > 200 || len(k.entries) > 2 || len(k.holders) > 2 {
					t.Fatalf("%d bytes, %d entries, %d holders", k.bytes, len(k.entries), len(k.holders))
				}
			},
		})
	})
}
