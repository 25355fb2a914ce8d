package maintenance

import (
	"fmt"
	"time"
)

// Task is one kind of background work and its schedule. Intervals are measured from the end of a run.
type Task struct {
	Name        string        // unique among the tasks of a Scheduler
	Priority    int           // a task of higher priority runs first
	MinInterval time.Duration // minimum time between two runs
	// MaxInterval is the maximum time between two runs, even if the server is overloaded or the budget is used up. 0 means no
	// maximum.
	MaxInterval time.Duration
}

// Cost is the time and the I/O of a run.
type Cost struct {
	Duration time.Duration
	Bytes    int64
}

// add returns the sum of two costs.
func (c Cost) add(other Cost) Cost {
	return Cost{c.Duration + other.Duration, c.Bytes + other.Bytes}
}

// TaskStats counts a task's runs since the Scheduler was created.
type TaskStats struct {
	Name   string
	Runs   uint64
	Forced uint64 // runs that were forced by MaxInterval
	Cost   Cost   // total of all runs
}

// meanCostWeight is the weight of the last run in the moving average of costs.
const meanCostWeight = 0.3

// taskState is a task and its run history.
type taskState struct {
	Task
	lastEnd    time.Duration // end of the last run; before the first run, the time at which the Scheduler was created
	isRunning  bool
	runs       uint64
	forcedRuns uint64
	totalCost  Cost
	meanCost   Cost // exponentially weighted moving average, the expected cost of the next run
}

// isOverdue reports whether the task is not running and its MaxInterval has passed.
func (t *taskState) isOverdue(now time.Duration) bool {
	return !t.isRunning && t.MaxInterval > 0 && now-t.lastEnd >= t.MaxInterval
}

// isDue reports whether the task is not running and its MinInterval has passed.
func (t *taskState) isDue(now time.Duration) bool {
	return !t.isRunning && now-t.lastEnd >= t.MinInterval
}

// finish records the end and the cost of a run.
func (t *taskState) finish(now time.Duration, cost Cost) {
	t.isRunning = false
	t.lastEnd = now
	t.runs++
	if t.runs == 1 {
		t.meanCost = cost
	}
	t.meanCost.Duration += time.Duration(float64(cost.Duration-t.meanCost.Duration) * meanCostWeight)
	t.meanCost.Bytes += int64(float64(cost.Bytes-t.meanCost.Bytes) * meanCostWeight)
	t.totalCost = t.totalCost.add(cost)
}

// validate returns an error if the task is invalid. names has the names of the preceding tasks.
func (t Task) validate(names map[string]bool) error {
	switch {
	case t.Name == "" || names[t.Name]:
		return fmt.Errorf("maintenance: task name %q is empty or not unique", t.Name)
	case t.MinInterval < 0 || t.MaxInterval != 0 && t.MaxInterval < t.MinInterval:
		return fmt.Errorf("maintenance: task %s has MinInterval %v and MaxInterval %v, want 0 <= MinInterval <= MaxInterval or MaxInterval 0",
			t.Name, t.MinInterval, t.MaxInterval)
	}
	return nil
}
