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
	keyWindow             = 18354 * time.Millisecond // time during which a key must not run again
	maxTransitTime        = 3 * time.Second          // longest time that an attempt may be in transit
	instancesPerDirectory = 100                      // server instances per directory, each ended by a power cut
	maxDirectories        = 50                       // directories to simulate at most until every required outcome has occurred
	keyCount              = 12
	maxCallsBeforeCut     = 160 // the power is cut at the latest at this call to the file system
	stepsPerInstance      = 60
)

// modelRequest is the expected state of a key in one server instance.
type modelRequest struct {
	windowEnd   time.Time
	isFinished  bool
	retriesFail bool          // it ran or may have run, and its response is unknown
	waiting     []string      // IDs of the attempts that have not been answered
	replaced    *modelRequest // an earlier request whose window has passed; late attempts of it may still arrive
}

// simulation simulates one directory, the callers of its server and the interpreter, over many server instances.
type simulation struct {
	rng      *rand.Rand
	fsys     *vfs.MemFS
	checker  *invariant.Checker
	now      time.Time     // time of the callers
	skew     time.Duration // of the server's clock from now
	attempts int
	counts   map[string]int
}

// serverInstance is one process of the server, from its start to the power cut.
type serverInstance struct {
	*simulation
	store       *Store
	table       *idempotency.Table
	known       map[idempotency.Key]*modelRequest
	running     []idempotency.Key
	callbacks   chan func() // from the store's writer, to be run on the instance's goroutine
	pending     int         // writes whose outcome has not been reported
	isPowerLost atomic.Bool
}

// clock returns the server's time. Its clock may have been stepped back since the previous instance.
func (sim *simulation) clock() time.Time { return sim.now.Add(sim.skew) }

// runInstance runs one server instance. The power is cut at a random call to the file system; data that was not synced is
// lost, torn or kept in part.
func (sim *simulation) runInstance(t *testing.T) error {
	inst := &serverInstance{simulation: sim, known: map[idempotency.Key]*modelRequest{}, callbacks: make(chan func(), 1024)}
	var calls atomic.Int64
	cutAt := int64(1 + sim.rng.IntN(maxCallsBeforeCut))
	disk := errorfs.Wrap(sim.fsys, errorfs.InjectorFunc(func(errorfs.Op, string) error {
		if calls.Add(1) == cutAt {
			inst.isPowerLost.Store(true) // before syncs are ignored: later reports of durable writes do not count
			sim.fsys.SetIgnoreSyncs(true)
		}
		return nil
	}))
	err := inst.run(disk)
	if !inst.isPowerLost.Swap(true) {
		sim.counts["cuts after the last step"]++
		sim.fsys.SetIgnoreSyncs(true)
		if err != nil {
			return fmt.Errorf("before the power cut: %w", err)
		}
	}
	before := readLogs(t, sim.fsys)
	if inst.store != nil {
		inst.store.Close() // the error is ignored: the power is off
	}
	sim.fsys.ResetToSyncedState()
	sim.fsys.SetIgnoreSyncs(false)
	sim.counts["torn logs"] += tearLogs(t, sim.fsys, before, sim.rng)
	for _, request := range inst.known {
		for _, id := range request.waiting {
			sim.checker.RecordLost(id)
			sim.counts["unanswered at a power cut"]++
		}
	}
	sim.now = sim.now.Add(time.Duration(sim.rng.ExpFloat64() * float64(2*time.Second)))
	sim.skew = 0
	if sim.rng.IntN(20) == 0 {
		sim.skew = -time.Duration(sim.rng.Int64N(int64(time.Hour)))
	}
	return nil
}

// run opens the directory, loads the records of earlier instances and serves until the power cut or the last step.
func (inst *serverInstance) run(disk vfs.FS) (err error) {
	if inst.store, err = Open(config(disk)); err != nil {
		return err
	}
	inst.table = idempotency.NewTable(idempotency.Limits{MaxKeys: 10, MaxBytes: 3000})
	err = inst.store.ForEach(idempotency.RecordPrefix, func(name, value []byte) error { return inst.table.Load(string(name), value) })
	if err != nil {
		return err
	}
	for _, e := range inst.table.Entries() {
		if !inst.clock().After(e.ExpiresAt) {
			inst.known[e.Key] = &modelRequest{windowEnd: e.ReceivedAt.Add(keyWindow), isFinished: true,
				retriesFail: e.State != idempotency.Completed}
			inst.counts["recovered "+e.State.String()]++
		}
	}
	for step := 0; step < stepsPerInstance && !inst.isPowerLost.Load(); step++ {
		switch n := inst.rng.IntN(10); {
		case n < 5:
			inst.receiveAttempt()
		case n < 7 && len(inst.running) > 0:
			inst.finishRun()
		case n < 8:
			inst.now = inst.now.Add(time.Duration(inst.rng.Int64N(int64(time.Second))))
			inst.write(inst.table.Expire(inst.clock(), 3), nil)
		case inst.pending > 0:
			(<-inst.callbacks)()
		}
		for len(inst.callbacks) > 0 {
			(<-inst.callbacks)()
		}
	}
	return nil
}

// write enqueues changes. It calls then with the outcome, on the instance's goroutine, unless the power was cut before the
// outcome was reported. then may be nil.
func (inst *serverInstance) write(changes []idempotency.Change, then func(err error)) {
	if len(changes) == 0 {
		return
	}
	inst.pending++
	err := inst.store.Write(changes, func(err error) {
		wasCut := inst.isPowerLost.Load()
		inst.callbacks <- func() {
			inst.pending--
			if !wasCut && then != nil {
				then(err)
			}
		}
	})
	if err != nil {
		inst.pending--
		if then != nil {
			then(err)
		}
	}
}

// receiveAttempt receives an attempt for a random key; low-numbered keys are drawn most often.
func (inst *serverInstance) receiveAttempt() {
	n := min(inst.rng.IntN(keyCount), inst.rng.IntN(keyCount))
	k := idempotency.Key{Class: "stock-reserve", Key: fmt.Sprint("slip ", n)}
	inst.attempts++
	attempt := invariant.Attempt{ID: fmt.Sprint(inst.attempts), Key: k.Key, AtMostOnce: true, ExpectedBody: k.Key,
		Deadline: inst.now.Add(24 * time.Hour),
		Received: inst.now.Add(-time.Duration(inst.rng.Int64N(int64(maxTransitTime))))}
	inst.checker.RecordSent(attempt)
	if request := inst.known[k]; request != nil && !attempt.Received.After(request.windowEnd) {
		switch {
		case !request.isFinished:
			request.waiting = append(request.waiting, attempt.ID)
		case request.retriesFail:
			inst.answer(attempt.ID, invariant.Failed, k)
		default:
			inst.answer(attempt.ID, invariant.Served, k)
		}
		return
	}
	if inst.table.Admit(inst.clock()) != idempotency.Admitted {
		inst.answer(attempt.ID, invariant.Rejected, k)
		return
	}
	request := &modelRequest{windowEnd: attempt.Received.Add(keyWindow), waiting: []string{attempt.ID}, replaced: inst.known[k]}
	inst.known[k] = request
	inst.write(inst.table.Begin(idempotency.Entry{
		Key: k, ReceivedAt: attempt.Received, ExpiresAt: request.windowEnd.Add(maxTransitTime),
	}), func(err error) {
		switch {
		case err != nil:
			inst.table.ObserveWrite(err, inst.clock())
			inst.table.RevertIntent(k)
			inst.rejectWaiting(k)
		case inst.rng.IntN(8) == 0: // cancelled before the run started
			inst.write(inst.table.Abort(k), nil)
			inst.rejectWaiting(k)
		default:
			inst.checker.RecordRun(attempt.ID)
			inst.counts["runs"]++
			inst.running = append(inst.running, k)
		}
	})
}

// rejectWaiting rejects the attempts that wait for a request that did not run, and restores the request that it replaced.
func (inst *serverInstance) rejectWaiting(k idempotency.Key) {
	inst.answerWaiting(k, invariant.Rejected)
	if inst.known[k] = inst.known[k].replaced; inst.known[k] == nil {
		delete(inst.known, k)
	}
}

// finishRun finishes a random run: its response is sent immediately, and its record is written afterwards.
func (inst *serverInstance) finishRun() {
	i := inst.rng.IntN(len(inst.running))
	k := inst.running[i]
	inst.running = append(inst.running[:i], inst.running[i+1:]...)
	inst.answerWaiting(k, invariant.Served)
	body := append([]byte(k.Key), make([]byte, inst.rng.IntN(600))...)
	inst.write(inst.table.Complete(k, idempotency.Response{Status: 200, Body: body}), nil)
}

// answerWaiting answers all attempts that wait for a request.
func (inst *serverInstance) answerWaiting(k idempotency.Key, kind invariant.Outcome) {
	request := inst.known[k]
	request.isFinished = true
	if kind == invariant.Served {
		request.replaced = nil
	}
	for _, id := range request.waiting {
		inst.answer(id, kind, k)
	}
	request.waiting = nil
}

// answer answers one attempt.
func (inst *serverInstance) answer(id string, kind invariant.Outcome, k idempotency.Key) {
	inst.counts[[]string{"served", "rejected", "failed"}[kind]]++
	inst.checker.RecordAnswer(id, kind, k.Key, inst.now)
}

// requiredOutcomes must all occur, otherwise TestPowerCutsKeepKeys does not cover the cases that it claims to.
var requiredOutcomes = []string{
	"served", "rejected", "failed", "runs", "recovered done", "recovered intent", "recovered answer given up",
}

// powerCutResult collects the outcomes of the directories that have been simulated.
type powerCutResult struct {
	mu        sync.Mutex
	simulated int
	outcomes  map[string]int
	failures  []error
}

// add adds the outcomes of one directory.
func (r *powerCutResult) add(number int, outcomes map[string]int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.simulated++
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

// TestPowerCutsKeepKeys retries keys while the power is cut at random calls to the file system, clocks are stepped back and
// the limits are reached. No key may run twice in its window, and every attempt must be answered or have been unanswered at a
// power cut. The number of directories follows from -cuts; more are simulated if a required outcome has not occurred by
// chance: about one directory in thirty lacks one.
func TestPowerCutsKeepKeys(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	directories := max(*powerCuts/instancesPerDirectory, 1)
	var next atomic.Int64
	var workers sync.WaitGroup
	result := &powerCutResult{outcomes: map[string]int{}}
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for n := int(next.Add(1)); n <= directories; n = int(next.Add(1)) {
				outcomes, err := simulateDirectory(t, seed, uint64(n))
				result.add(n, outcomes, err)
			}
		}()
	}
	workers.Wait()
	for n := directories + 1; n <= maxDirectories && len(result.missing()) > 0; n++ {
		outcomes, err := simulateDirectory(t, seed, uint64(n))
		result.add(n, outcomes, err)
	}
	if err := errors.Join(result.failures...); err != nil {
		t.Errorf("%.2000s", err.Error())
	}
	t.Logf("%d directories with %d power cuts each: %v", result.simulated, instancesPerDirectory, result.outcomes)
	for _, name := range result.missing() {
		t.Errorf("required outcome did not occur: %s", name)
	}
}

// simulateDirectory runs the server instances of one directory and returns how often each outcome occurred.
func simulateDirectory(t *testing.T, seed, n uint64) (map[string]int, error) {
	sim := &simulation{
		rng:     rand.New(rand.NewPCG(seed, n)),
		fsys:    vfs.NewStrictMem(),
		checker: invariant.New(keyWindow),
		now:     time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC),
		counts:  map[string]int{},
	}
	for index := range instancesPerDirectory {
		if err := sim.runInstance(t); err != nil {
			return sim.counts, fmt.Errorf("instance %d: %w", index, err)
		}
	}
	if violations := sim.checker.Violations(sim.now.Add(48 * time.Hour)); len(violations) > 0 {
		return sim.counts, fmt.Errorf("%d violations, the first: %s", len(violations), violations[0])
	}
	return sim.counts, nil
}
