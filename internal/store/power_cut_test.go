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

const (
	keyWindow         = 18354 * time.Millisecond // in which a key must not run again
	maxDelay          = 3 * time.Second          // that an attempt may be in transit
	livesPerDirectory = 100                      // one power cut each
	maxDirectories    = 50                       // played at the most until every outcome has occurred
	keyCount          = 12
	maxCallsToCut     = 160 // calls to the file layer
	stepsPerLife      = 60
)

// modelRequest is the expected state of a key in one life of the server.
type modelRequest struct {
	windowEnd  time.Time
	isFinished bool
	hasFailed  bool          // it may have run, and its result is unknown
	waiting    []string      // attempts that were not answered
	replaced   *modelRequest // a run whose window had passed; late attempts of it may still come
}

// cluster is one directory, the callers of its server, and the interpreter, over many lives of the server.
type cluster struct {
	rng      *rand.Rand
	fsys     *vfs.MemFS
	checker  *invariant.Checker
	now      time.Time // of the callers
	skew     time.Duration
	attempts int
	counts   map[string]int
}

// serverLife is one life of the server, from its start to the power cut.
type serverLife struct {
	*cluster
	store       *Store
	table       *idempotency.Table
	known       map[idempotency.Key]*modelRequest
	running     []idempotency.Key
	posted      chan func()
	pending     int // writes whose end was not reported
	isPowerLost atomic.Bool
}

// clock returns the time of the server, whose clock may have been stepped back since its last life.
func (c *cluster) clock() time.Time { return c.now.Add(c.skew) }

// playLife plays one life: the power goes at a random call to the file layer, and whatever was not synced is lost, torn or
// kept in part.
func (c *cluster) playLife(t *testing.T) error {
	life := &serverLife{cluster: c, known: map[idempotency.Key]*modelRequest{}, posted: make(chan func(), 1024)}
	var calls atomic.Int64
	cutAt := int64(1 + c.rng.IntN(maxCallsToCut))
	disk := errorfs.Wrap(c.fsys, errorfs.InjectorFunc(func(errorfs.Op, string) error {
		if calls.Add(1) == cutAt {
			life.isPowerLost.Store(true) // before the syncs stop: writes that are reported as durable from here on do not count
			c.fsys.SetIgnoreSyncs(true)
		}
		return nil
	}))
	err := life.run(disk)
	if !life.isPowerLost.Swap(true) {
		c.counts["cuts between calls"]++
		c.fsys.SetIgnoreSyncs(true)
		if err != nil {
			return fmt.Errorf("before the cut: %w", err)
		}
	}
	before := tails(t, c.fsys)
	if life.store != nil {
		life.store.Close() // without power its error does not count
	}
	c.fsys.ResetToSyncedState()
	c.fsys.SetIgnoreSyncs(false)
	c.counts["torn logs"] += tear(t, c.fsys, before, c.rng)
	for _, request := range life.known {
		for _, id := range request.waiting {
			c.checker.RecordLost(id)
			c.counts["open at a cut"]++
		}
	}
	c.now = c.now.Add(time.Duration(c.rng.ExpFloat64() * float64(2*time.Second)))
	c.skew = 0
	if c.rng.IntN(20) == 0 {
		c.skew = -time.Duration(c.rng.Int64N(int64(time.Hour)))
	}
	return nil
}

// run opens the directory, loads what an earlier life left and serves until the power cut.
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
			l.known[e.Key] = &modelRequest{windowEnd: e.ReceivedAt.Add(keyWindow), isFinished: true, hasFailed: e.State != idempotency.Completed}
			l.counts["recovered "+e.State.String()]++
		}
	}
	for step := 0; step < stepsPerLife && !l.isPowerLost.Load(); step++ {
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

// write enqueues changes; then is called on the life's own goroutine once they are durable, unless the power was cut before.
func (l *serverLife) write(changes []idempotency.Change, then func(err error)) {
	if len(changes) == 0 {
		return
	}
	l.pending++
	err := l.store.Write(changes, func(err error) {
		wasCut := l.isPowerLost.Load()
		l.posted <- func() {
			l.pending--
			if !wasCut && then != nil {
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

// arrive receives an attempt, most of them for few keys.
func (l *serverLife) arrive() {
	n := min(l.rng.IntN(keyCount), l.rng.IntN(keyCount))
	k := idempotency.Key{Class: "stock-reserve", Key: fmt.Sprint("slip ", n)}
	l.attempts++
	attempt := invariant.Attempt{ID: fmt.Sprint(l.attempts), Key: k.Key, AtMostOnce: true, ExpectedBody: k.Key, Deadline: l.now.Add(24 * time.Hour),
		Received: l.now.Add(-time.Duration(l.rng.Int64N(int64(maxDelay))))}
	l.checker.RecordSent(attempt)
	if request := l.known[k]; request != nil && !attempt.Received.After(request.windowEnd) {
		switch {
		case !request.isFinished:
			request.waiting = append(request.waiting, attempt.ID)
		case request.hasFailed:
			l.answer(attempt.ID, invariant.Failed, k)
		default:
			l.answer(attempt.ID, invariant.Served, k)
		}
		return
	}
	if l.table.Admit(l.clock()) != idempotency.Admitted {
		l.answer(attempt.ID, invariant.Rejected, k)
		return
	}
	request := &modelRequest{windowEnd: attempt.Received.Add(keyWindow), waiting: []string{attempt.ID}, replaced: l.known[k]}
	l.known[k] = request
	l.write(l.table.Begin(idempotency.Entry{Key: k, ReceivedAt: attempt.Received, ExpiresAt: request.windowEnd.Add(maxDelay)}), func(err error) {
		switch {
		case err != nil:
			l.table.ObserveWrite(err, l.clock())
			l.table.RevertIntent(k)
			l.reject(k)
		case l.rng.IntN(8) == 0: // it was cancelled meanwhile, and nothing ran
			l.write(l.table.Abort(k), nil)
			l.reject(k)
		default:
			l.checker.RecordRun(attempt.ID)
			l.counts["runs"]++
			l.running = append(l.running, k)
		}
	})
}

// reject rejects the attempts that wait for a request that did not run.
func (l *serverLife) reject(k idempotency.Key) {
	l.finish(k, invariant.Rejected)
	if l.known[k] = l.known[k].replaced; l.known[k] == nil {
		delete(l.known, k)
	}
}

// end finishes a run: its response is sent immediately, and its record is written afterwards.
func (l *serverLife) end() {
	i := l.rng.IntN(len(l.running))
	k := l.running[i]
	l.running = append(l.running[:i], l.running[i+1:]...)
	l.finish(k, invariant.Served)
	body := append([]byte(k.Key), make([]byte, l.rng.IntN(600))...)
	l.write(l.table.Complete(k, idempotency.Response{Status: 200, Body: body}), nil)
}

// finish answers all attempts that wait for a request.
func (l *serverLife) finish(k idempotency.Key, kind invariant.Outcome) {
	request := l.known[k]
	request.isFinished = true
	if kind == invariant.Served {
		request.replaced = nil
	}
	for _, id := range request.waiting {
		l.answer(id, kind, k)
	}
	request.waiting = nil
}

// answer answers one attempt.
func (l *serverLife) answer(id string, kind invariant.Outcome, k idempotency.Key) {
	l.counts[[]string{"served", "refused", "failed"}[kind]]++
	l.checker.RecordAnswer(id, kind, k.Key, l.now)
}

// requiredOutcomes have to occur, or TestPowerCutsKeepKeys proves less than it claims.
var requiredOutcomes = []string{
	"served", "refused", "failed", "runs", "recovered done", "recovered intent", "recovered answer given up",
}

// powerCutResult collects the outcomes of the directories played so far.
type powerCutResult struct {
	mu       sync.Mutex
	played   int
	outcomes map[string]int
	failures []error
}

// add adds the outcomes of one directory.
func (r *powerCutResult) add(number int, outcomes map[string]int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.played++
	for name, count := range outcomes {
		r.outcomes[name] += count
	}
	if err != nil {
		r.failures = append(r.failures, fmt.Errorf("directory %d: %w", number, err))
	}
}

// missing returns the required outcomes that have not occurred.
func (r *powerCutResult) missing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, name := range requiredOutcomes {
		if r.outcomes[name] == 0 {
			names = append(names, name)
		}
	}
	return names
}

// TestPowerCutsKeepKeys retries keys while the power goes at random calls to the file layer, clocks are stepped back and the
// limits are reached: no key runs twice in its window, and every attempt is answered, or was open at a cut. The directories
// that -cuts asks for are played, and more where chance has left out an outcome: about one directory in thirty lacks one.
func TestPowerCutsKeepKeys(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	directories := max(*powerCuts/livesPerDirectory, 1)
	var next atomic.Int64
	var players sync.WaitGroup
	result := &powerCutResult{outcomes: map[string]int{}}
	for range runtime.GOMAXPROCS(0) {
		players.Add(1)
		go func() {
			defer players.Done()
			for n := int(next.Add(1)); n <= directories; n = int(next.Add(1)) {
				outcomes, err := playDirectory(t, seed, uint64(n))
				result.add(n, outcomes, err)
			}
		}()
	}
	players.Wait()
	for n := directories + 1; n <= maxDirectories && len(result.missing()) > 0; n++ {
		outcomes, err := playDirectory(t, seed, uint64(n))
		result.add(n, outcomes, err)
	}
	if err := errors.Join(result.failures...); err != nil {
		t.Errorf("%.2000s", err.Error())
	}
	t.Logf("%d directories of %d cuts: %v", result.played, livesPerDirectory, result.outcomes)
	for _, name := range result.missing() {
		t.Errorf("none were %s", name)
	}
}

// playDirectory plays the lives of one directory's servers.
func playDirectory(t *testing.T, seed, n uint64) (map[string]int, error) {
	c := &cluster{
		rng:     rand.New(rand.NewPCG(seed, n)),
		fsys:    vfs.NewStrictMem(),
		checker: invariant.New(keyWindow),
		now:     time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC),
		counts:  map[string]int{},
	}
	for life := range livesPerDirectory {
		if err := c.playLife(t); err != nil {
			return c.counts, fmt.Errorf("life %d: %w", life, err)
		}
	}
	if violations := c.checker.Violations(c.now.Add(48 * time.Hour)); len(violations) > 0 {
		return c.counts, fmt.Errorf("%d rules were broken, the first: %s", len(violations), violations[0])
	}
	return c.counts, nil
}
