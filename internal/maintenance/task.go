package maintenance

import (
	"fmt"
	"time"
)

// Task is one kind of background work and its schedule.
type Task struct {
	Name        string
	Priority    int           // the higher goes first
	MinInterval time.Duration // between two runs
	MaxInterval time.Duration // between two runs, even while the server is overloaded or the budget is used up; 0 is no limit
}

// Cost is the time and the I/O that a run took.
type Cost struct {
	Duration time.Duration
	Bytes    int64
}

// add returns the sum of two costs.
func (c Cost) add(other Cost) Cost {
	return Cost{c.Duration + other.Duration, c.Bytes + other.Bytes}
}

// TaskStats counts a task's runs since the start.
type TaskStats struct {
	Name   string
	Runs   uint64
	Forced uint64 // runs at MaxInterval
	Cost   Cost   // of all runs
}

// meanCostWeight is the weight of the last run in the moving average of costs.
const meanCostWeight = 0.3

// taskState is a task with its history.
type taskState struct {
	Task
	lastEnd    time.Duration
	isRunning  bool
	runs       uint64
	forcedRuns uint64
	totalCost  Cost
	meanCost   Cost // exponentially weighted moving average
}

// isOverdue reports whether the task's MaxInterval has passed.
func (t *taskState) isOverdue(now time.Duration) bool {
	return !t.isRunning && t.MaxInterval > 0 && now-t.lastEnd >= t.MaxInterval
}

// isDue reports whether the task's MinInterval has passed.
func (t *taskState) isDue(now time.Duration) bool {
	return !t.isRunning && now-t.lastEnd >= t.MinInterval
}

// finish records the end of a run.
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

// validate reports an invalid task; names are those of the tasks before it.
func (t Task) validate(names map[string]bool) error {
	switch {
	case t.Name == "" || names[t.Name]:
		return fmt.Errorf("maintenance: a task called %q, want a name of its own", t.Name)
	case t.MinInterval < 0 || t.MaxInterval != 0 && t.MaxInterval < t.MinInterval:
		return fmt.Errorf("maintenance: %s runs every %v and has to after %v", t.Name, t.MinInterval, t.MaxInterval)
	}
	return nil
}
