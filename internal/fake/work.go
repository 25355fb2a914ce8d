package fake

import (
	"bytes"
	"fmt"
	"math"
	"time"
)

const (
	// maxWorkInterval and minWorkInterval bound the time between two updates of the simulation while requests run.
	maxWorkInterval = time.Millisecond
	minWorkInterval = 20 * time.Microsecond
	// utilizationWindow is the time constant of the gauge of the cores' utilization, an exponential moving average.
	utilizationWindow = 500 * time.Millisecond
)

// simulatedWork simulates the processor time of runs. All running requests share the cores evenly.
type simulatedWork struct {
	cores       int
	runTime     func(RunCommand) time.Duration
	remaining   map[string]time.Duration // core time that each run still needs, by request ID
	updatedAt   time.Time                // the time of the last update
	cancelTimer func()
	onTimer     func() // updates the simulation, and sets the timer again while requests run
	isIdle      bool   // no timer is set
}

// Clock is the time source of an interpreter.
type Clock interface {
	Now() time.Time
	// After calls fire after the wait, unless cancel is called before.
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

// SimulateWork makes each run take the core time that runTime returns, on cores that all running requests share evenly. The
// result of a run is WorkResult of its request's body. The simulation is updated when the next run is due to end, so that no
// core time is lost between two updates. The interpreter is locked during a call of runTime, so runTime must not call its
// methods.
func (it *Interpreter) SimulateWork(cores int, runTime func(RunCommand) time.Duration) {
	work := &simulatedWork{cores: cores, runTime: runTime, remaining: map[string]time.Duration{}, updatedAt: it.clock.Now()}
	work.cancelTimer = func() {}
	work.onTimer = func() {
		it.update(func() {
			if it.work != work {
				return
			}
			it.advanceWork(work)
			work.isIdle = len(it.runs.running) == 0
			if !work.isIdle {
				work.cancelTimer = it.clock.After(it.untilNextEnd(work), work.onTimer)
			}
		})
	}
	it.update(func() {
		it.work, work.isIdle = work, true
		it.scheduleWork(work) // requests may be running already
	})
}

// StopSimulatingWork stops the simulation. Each later run ends as soon as it starts, as after FinishImmediately.
func (it *Interpreter) StopSimulatingWork() {
	it.update(func() {
		it.stopWork()
		it.behavior.finishImmediately, it.behavior.utilization = true, 0
	})
}

// stopWork stops the simulation of work, if there is one. The caller holds the lock.
func (it *Interpreter) stopWork() {
	if it.work != nil {
		it.work.cancelTimer()
		it.work = nil
	}
}

// scheduleWork sets the timer if requests are running and no timer is set. The caller holds the lock.
func (it *Interpreter) scheduleWork(w *simulatedWork) {
	if w.isIdle && len(it.runs.running) > 0 {
		w.isIdle = false
		w.cancelTimer = it.clock.After(it.untilNextEnd(w), w.onTimer)
	}
}

// untilNextEnd returns the time until the next run is due to end, limited to the range from minWorkInterval to
// maxWorkInterval. The caller holds the lock.
func (it *Interpreter) untilNextEnd(w *simulatedWork) time.Duration {
	runsPerCore := max(1, float64(len(it.runs.running))/float64(w.cores))
	wait := maxWorkInterval
	for _, id := range it.runs.running {
		wait = min(wait, time.Duration(float64(w.remaining[id])*runsPerCore))
	}
	return max(wait, minWorkInterval)
}

// advanceWork simulates the time since the last update: it reduces the core time that the runs still need, updates the
// utilization and ends the runs that need no more core time. The caller holds the lock.
func (it *Interpreter) advanceWork(work *simulatedWork) {
	now := it.clock.Now()
	elapsed := now.Sub(work.updatedAt)
	work.updatedAt = now
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

// WorkBody returns a request body with the request's name and the core time of its run, which ParseWork parses.
func WorkBody(name string, coreTime time.Duration) []byte {
	return fmt.Appendf(nil, "%s work=%d", name, coreTime.Microseconds())
}

// ParseWork returns the core time that the command's body states, or 0 if it states none.
func ParseWork(command RunCommand) time.Duration {
	_, text, _ := bytes.Cut(command.Body, []byte("work="))
	microseconds := 0
	if _, err := fmt.Sscan(string(text), &microseconds); err != nil {
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}
