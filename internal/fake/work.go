package fake

import (
	"bytes"
	"fmt"
	"math"
	"time"
)

const (
	// maxWorkInterval and minWorkInterval bound the time between two updates of runs that take time.
	maxWorkInterval = time.Millisecond
	minWorkInterval = 20 * time.Microsecond
	// utilizationWindow is the time constant of the cores' gauge, an exponential moving average.
	utilizationWindow = 500 * time.Millisecond
)

// simulatedWork is the processor time that runs take: the cores are shared evenly by all that run.
type simulatedWork struct {
	cores       int
	runTime     func(RunCommand) time.Duration
	remaining   map[string]time.Duration // core time, by request ID
	spentUntil  time.Time                // the time of the last update
	cancelTimer func()
	onTimer     func() // spends time, and sets the timer again while something runs
	isIdle      bool   // no timer is set
}

// Clock is the source of time of an interpreter.
type Clock interface {
	Now() time.Time
	// After has the function called after the wait, unless it is cancelled before.
	After(wait time.Duration, fire func()) (cancel func())
}

// wallClock is the machine's clock.
type wallClock struct{}

// Now implements Clock.
func (wallClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (wallClock) After(wait time.Duration, fire func()) (cancel func()) {
	t := time.AfterFunc(wait, fire)
	return func() { t.Stop() }
}

// SimulateWork has each run take the core time that runTime returns, on cores that are shared evenly by all that run, and
// end with WorkResult of its request's body. Runs are updated when the next of them is to end, so that no core time is lost
// between two updates.
func (it *Interpreter) SimulateWork(cores int, runTime func(RunCommand) time.Duration) {
	work := &simulatedWork{cores: cores, runTime: runTime, remaining: map[string]time.Duration{}, spentUntil: it.clock.Now()}
	work.cancelTimer = func() {}
	work.onTimer = func() {
		it.update(func() {
			if it.work != work {
				return
			}
			it.spendWork(work)
			work.isIdle = len(it.runs.running) == 0
			if !work.isIdle {
				work.cancelTimer = it.clock.After(it.untilNextEnd(work), work.onTimer)
			}
		})
	}
	it.update(func() {
		it.work, work.isIdle = work, true
		it.scheduleWork(work) // for what runs already
	})
}

// StopSimulatingWork has runs end as they start, as FinishImmediately does.
func (it *Interpreter) StopSimulatingWork() {
	it.update(func() {
		it.stopWork()
		it.behavior.finishImmediately, it.behavior.utilization = true, 0
	})
}

// stopWork ends simulated work. The caller holds the lock.
func (it *Interpreter) stopWork() {
	if it.work != nil {
		it.work.cancelTimer()
		it.work = nil
	}
}

// scheduleWork sets the timer if something runs and no timer is set. The caller holds the lock.
func (it *Interpreter) scheduleWork(w *simulatedWork) {
	if w.isIdle && len(it.runs.running) > 0 {
		w.isIdle = false
		w.cancelTimer = it.clock.After(it.untilNextEnd(w), w.onTimer)
	}
}

// untilNextEnd returns the time until the first run is to end, within the bounds of the timer.
func (it *Interpreter) untilNextEnd(w *simulatedWork) time.Duration {
	runsPerCore := max(1, float64(len(it.runs.running))/float64(w.cores))
	wait := maxWorkInterval
	for _, id := range it.runs.running {
		wait = min(wait, time.Duration(float64(w.remaining[id])*runsPerCore))
	}
	return max(wait, minWorkInterval)
}

// spendWork spends the time since the last update on the running requests, and ends the runs whose core time is used up.
func (it *Interpreter) spendWork(work *simulatedWork) {
	now := it.clock.Now()
	elapsed := now.Sub(work.spentUntil)
	work.spentUntil = now
	running := len(it.runs.running)
	decay := math.Exp(-elapsed.Seconds() / utilizationWindow.Seconds())
	it.behavior.utilization = it.behavior.utilization*decay + (1-decay)*min(1, float64(running)/float64(work.cores))
	if running == 0 {
		return
	}
	spent := time.Duration(float64(elapsed) * min(1, float64(work.cores)/float64(running)))
	var finished []string
	for _, id := range it.runs.running {
		work.remaining[id] -= spent
		if work.remaining[id] <= 0 {
			finished = append(finished, id)
		}
	}
	for _, id := range finished {
		it.endRun(id, statusOK, WorkResult(it.runs.bodies[id]))
	}
}

// WorkResult returns the result of a run with simulated work.
func WorkResult(body []byte) []byte { return append([]byte("done "), body...) }

// WorkBody returns a request body that names the request and the core time of its run, which ParseWork reads.
func WorkBody(name string, coreTime time.Duration) []byte {
	return fmt.Appendf(nil, "%s work=%d", name, coreTime.Microseconds())
}

// ParseWork returns the core time that the command's body names, or 0 where it names none.
func ParseWork(command RunCommand) time.Duration {
	_, text, _ := bytes.Cut(command.Body, []byte("work="))
	microseconds := 0
	if _, err := fmt.Sscan(string(text), &microseconds); err != nil {
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}
