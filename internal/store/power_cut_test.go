package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"

	"tillerusher/internal/idempotency"
	"tillerusher/internal/invariant"
)

// The slips' world: how long a key must not run again, how long a try may be on its way, and how many cuts a folder lives
// through.
const (
	keyWindow      = 18354 * time.Millisecond
	maxDelay       = 3 * time.Second
	livesPerFolder = 100
	keyCount       = 12
)

// modelRequest is a request that a life of the server knows.
type modelRequest struct {
	until      time.Time
	isFinished bool
	hasFailed  bool // it may have run, and nobody knows how it ended
	waiting    []string
	replaced   *modelRequest // a run whose window had passed; late tries of it may still come
}

// cluster is one folder, the callers of its server, and the interpreter.
type cluster struct {
	rng      *rand.Rand
	fsys     *vfs.MemFS
	observer *invariant.Checker
	now      time.Time // of the callers
	skew     time.Duration
	attempts int
	counts   map[string]int
}

// serverLife is one life of the server, from its start to the cut.
type serverLife struct {
	*cluster
	store       *Store
	table       *idempotency.Table
	known       map[idempotency.Key]*modelRequest
	running     []idempotency.Key
	posted      chan func()
	pending     int // orders whose end was not heard of
	isPowerLost atomic.Bool
}

// clock is the server's, which may have been stepped back since its last life.
func (w *cluster) clock() time.Time { return w.now.Add(w.skew) }

// playLife plays one life: the power goes at a random call to the file layer, and whatever was not synced is lost, torn or kept
// in part.
func (w *cluster) playLife(t *testing.T) error {
	l := &serverLife{cluster: w, known: map[idempotency.Key]*modelRequest{}, posted: make(chan func(), 1024)}
	var calls atomic.Int64
	at := int64(1 + w.rng.IntN(160))
	disk := errorfs.Wrap(w.fsys, errorfs.InjectorFunc(func(errorfs.Op, string) error {
		if calls.Add(1) == at {
			l.isPowerLost.Store(true) // replaced the syncs stop: what is told to be down from here on is not heard of
			w.fsys.SetIgnoreSyncs(true)
		}
		return nil
	}))
	err := l.run(disk)
	if !l.isPowerLost.Swap(true) {
		w.counts["cuts between calls"]++
		w.fsys.SetIgnoreSyncs(true)
		if err != nil {
			return fmt.Errorf("before the cut: %w", err)
		}
	}
	before := tails(t, w.fsys)
	if l.store != nil {
		l.store.Close() // with the power gone nothing of it counts
	}
	w.fsys.ResetToSyncedState()
	w.fsys.SetIgnoreSyncs(false)
	w.counts["torn logs"] += tear(t, w.fsys, before, w.rng)
	for _, s := range l.known {
		for _, id := range s.waiting {
			w.observer.RecordLost(id)
			w.counts["open at a cut"]++
		}
	}
	w.now = w.now.Add(time.Duration(w.rng.ExpFloat64() * float64(2*time.Second)))
	w.skew = 0
	if w.rng.IntN(20) == 0 {
		w.skew = -time.Duration(w.rng.Int64N(int64(time.Hour)))
	}
	return nil
}

// run opens the folder, reads what an earlier life left and serves until the power is gone.
func (l *serverLife) run(disk vfs.FS) (err error) {
	if l.store, err = Open(config(disk)); err != nil {
		return err
	}
	l.table = idempotency.NewTable(idempotency.Limits{MaxKeys: 10, MaxBytes: 3000})
	err = l.store.ForEach(idempotency.RecordPrefix, func(name, value []byte) error { return l.table.Load(string(name), value) })
	if err != nil {
		return err
	}
	for _, e := range l.table.Entries() {
		if !l.clock().After(e.ExpiresAt) {
			l.known[e.Key] = &modelRequest{until: e.ReceivedAt.Add(keyWindow), isFinished: true, hasFailed: e.State != idempotency.Completed}
			l.counts["recovered "+e.State.String()]++
		}
	}
	for step := 0; step < 60 && !l.isPowerLost.Load(); step++ {
		switch n := l.rng.IntN(10); {
		case n < 5:
			l.arrive()
		case n < 7 && len(l.running) > 0:
			l.end()
		case n < 8:
			l.now = l.now.Add(time.Duration(l.rng.Int64N(int64(time.Second))))
			l.write(l.table.Expire(l.clock(), 3), nil)
		case l.pending > 0:
			(<-l.posted)()
		}
		for len(l.posted) > 0 {
			(<-l.posted)()
		}
	}
	return nil
}

// writeWithTimeout hands over changes; then hears on the life's own goroutine that they are down, unless the power went before.
func (l *serverLife) write(changes []idempotency.Change, then func(err error)) {
	if len(changes) == 0 {
		return
	}
	l.pending++
	err := l.store.Write(changes, func(err error) {
		gone := l.isPowerLost.Load()
		l.posted <- func() {
			l.pending--
			if !gone && then != nil {
				then(err)
			}
		}
	})
	if err != nil {
		l.pending--
		if then != nil {
			then(err)
		}
	}
}

// arrive has a try come in, most of them for few keys.
func (l *serverLife) arrive() {
	n := min(l.rng.IntN(keyCount), l.rng.IntN(keyCount))
	k := idempotency.Key{Class: "stock-reserve", Key: fmt.Sprint("slip ", n)}
	l.attempts++
	try := invariant.Attempt{ID: fmt.Sprint(l.attempts), Key: k.Key, AtMostOnce: true, ExpectedBody: k.Key, Deadline: l.now.Add(24 * time.Hour),
		Received: l.now.Add(-time.Duration(l.rng.Int64N(int64(maxDelay))))}
	l.observer.RecordSent(try)
	if s := l.known[k]; s != nil && !try.Received.After(s.until) {
		switch {
		case !s.isFinished:
			s.waiting = append(s.waiting, try.ID)
		case s.hasFailed:
			l.answer(try.ID, invariant.Failed, k)
		default:
			l.answer(try.ID, invariant.Served, k)
		}
		return
	}
	if l.table.Admit(l.clock()) != idempotency.Admitted {
		l.answer(try.ID, invariant.Rejected, k)
		return
	}
	s := &modelRequest{until: try.Received.Add(keyWindow), waiting: []string{try.ID}, replaced: l.known[k]}
	l.known[k] = s
	l.write(l.table.Begin(idempotency.Entry{Key: k, ReceivedAt: try.Received, ExpiresAt: s.until.Add(maxDelay)}), func(err error) {
		switch {
		case err != nil:
			l.table.ObserveWrite(err, l.clock())
			l.table.RevertIntent(k)
			l.reject(k)
		case l.rng.IntN(8) == 0: // it was given up meanwhile, and nothing ran
			l.write(l.table.Abort(k), nil)
			l.reject(k)
		default:
			l.observer.RecordRun(try.ID)
			l.counts["runs"]++
			l.running = append(l.running, k)
		}
	})
}

// reject refuses what waits for a request that nothing ran for.
func (l *serverLife) reject(k idempotency.Key) {
	l.finish(k, invariant.Rejected)
	if l.known[k] = l.known[k].replaced; l.known[k] == nil {
		delete(l.known, k)
	}
}

// end has a run end: its answer goes out at once, and its record down behind it.
func (l *serverLife) end() {
	i := l.rng.IntN(len(l.running))
	k := l.running[i]
	l.running = append(l.running[:i], l.running[i+1:]...)
	l.finish(k, invariant.Served)
	body := append([]byte(k.Key), make([]byte, l.rng.IntN(600))...)
	l.write(l.table.Complete(k, idempotency.Response{Status: 200, Body: body}), nil)
}

// isFinished answers all that wait for a request.
func (l *serverLife) finish(k idempotency.Key, kind invariant.Outcome) {
	s := l.known[k]
	s.isFinished = true
	if kind == invariant.Served {
		s.replaced = nil
	}
	for _, id := range s.waiting {
		l.answer(id, kind, k)
	}
	s.waiting = nil
}

func (l *serverLife) answer(id string, kind invariant.Outcome, k idempotency.Key) {
	l.counts[[]string{"served", "refused", "failed"}[kind]]++
	l.observer.RecordAnswer(id, kind, k.Key, l.now)
}

// TestPowerCutsKeepKeys has slips repeat while the power goes at random calls to the file layer, clocks are stepped back and the
// bound is reached: no key runs twice in its window, and every try is answered, or was open at a cut.
func TestPowerCutsKeepKeys(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	worlds := max(*powerCuts/livesPerFolder, 1)
	var next atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	total := map[string]int{}
	var failures []error
	for range runtime.GOMAXPROCS(0) {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := next.Add(1); n <= int64(worlds); n = next.Add(1) {
				counts, err := playFolder(t, seed, uint64(n))
				mu.Lock()
				for name, count := range counts {
					total[name] += count
				}
				if err != nil {
					failures = append(failures, fmt.Errorf("world %d: %w", n, err))
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	if err := errors.Join(failures...); err != nil {
		t.Errorf("%.2000s", err.Error())
	}
	t.Logf("%d worlds of %d cuts: %v", worlds, livesPerFolder, total)
	for _, name := range []string{"served", "refused", "failed", "runs", "recovered done", "recovered intent", "recovered answer given up"} {
		if total[name] == 0 {
			t.Errorf("none were %s", name)
		}
	}
}

// playFolder plays one folder's lives.
func playFolder(t *testing.T, seed, n uint64) (map[string]int, error) {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, n)), fsys: vfs.NewStrictMem(), observer: invariant.New(keyWindow), counts: map[string]int{},
		now: time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)}
	for life := range livesPerFolder {
		if err := w.playLife(t); err != nil {
			return w.counts, fmt.Errorf("life %d: %w", life, err)
		}
	}
	if b := w.observer.Violations(w.now.Add(48 * time.Hour)); len(b) > 0 {
		return w.counts, fmt.Errorf("%d rules were broken, the first: %s", len(b), b[0])
	}
	return w.counts, nil
}
