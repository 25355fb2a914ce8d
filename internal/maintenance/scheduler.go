// Package chores decides when background work runs: compaction, sweeping, checkpoints, saves. It does no I/O and reads no
// clock. Each chore has a priority, a least time between two runs, a cost that it is expected to have, and a deadline after
// which it runs whatever else goes on; all share budgets of time and bytes a second, and none runs before its deadline while
// the server is pressed.
package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Task is one kind of background work.
type Task struct {
	Name        string
	Priority    int           // the higher goes first
	MinInterval time.Duration // least time between two runs
	MaxInterval time.Duration // longest time between two runs, though the server is pressed or the budgets are used up; 0 is none
}

// Cost is what a run took.
type Cost struct {
	Duration time.Duration
	Bytes    int64
}

// Budget is what all chores may take.
type Budget struct {
	TimePerSecond  time.Duration // of each second
	BytesPerSecond int64         // a second
}

// burstSeconds is how many seconds of a budget may be used at once.
const burstSeconds = 2

// taskState is a chore's.
type taskState struct {
	Task
	lastEnd    time.Duration // when it last ended
	isRunning  bool
	runs       uint64
	forcedRuns uint64 // runs by their deadline
	totalCost  Cost   // in all
	meanCost   Cost   // of a run, of late
}

// Scheduler decides. Time is that of the caller, and never goes back.
type Scheduler struct {
	budget     Budget
	tasks      []*taskState
	refilledAt time.Duration
	timeLeft   float64 // seconds that may be used
	bytesLeft  float64
}

// New returns a scheduler of chores, all of which may run at once.
func New(b Budget, now time.Duration, tasks ...Task) (*Scheduler, error) {
	s := &Scheduler{budget: b, refilledAt: now, timeLeft: burstSeconds * b.TimePerSecond.Seconds(), bytesLeft: burstSeconds * float64(b.BytesPerSecond)}
	names := map[string]bool{}
	for _, c := range tasks {
		switch {
		case c.Name == "" || names[c.Name]:
			return nil, fmt.Errorf("chores: a chore called %q, want a name of its own", c.Name)
		case c.MinInterval < 0 || c.MaxInterval != 0 && c.MaxInterval < c.MinInterval:
			return nil, fmt.Errorf("chores: %s runs every %v and has to after %v", c.Name, c.MinInterval, c.MaxInterval)
		}
		names[c.Name] = true
		s.tasks = append(s.tasks, &taskState{Task: c, lastEnd: now})
	}
	slices.SortStableFunc(s.tasks, func(a, b *taskState) int { return -cmp.Compare(a.Priority, b.Priority) })
	return s, nil
}

// refill adds what time brings to the budgets.
func (s *Scheduler) refill(now time.Duration) {
	since := max(now-s.refilledAt, 0).Seconds()
	s.refilledAt = max(s.refilledAt, now)
	s.timeLeft = min(s.timeLeft+since*s.budget.TimePerSecond.Seconds(), burstSeconds*s.budget.TimePerSecond.Seconds())
	s.bytesLeft = min(s.bytesLeft+since*float64(s.budget.BytesPerSecond), burstSeconds*float64(s.budget.BytesPerSecond))
}

// Next is the chore that is to run now, or "". It counts as running until Done.
func (s *Scheduler) Next(now time.Duration, overloaded bool) string {
	s.refill(now)
	for _, c := range s.tasks { // those whose deadline is over, whatever else
		if !c.isRunning && c.MaxInterval > 0 && now-c.lastEnd >= c.MaxInterval {
			c.isRunning = true
			c.forcedRuns++
			return c.Name
		}
	}
	if overloaded {
		return ""
	}
	for _, c := range s.tasks {
		if c.isRunning || now-c.lastEnd < c.MinInterval {
			continue
		}
		if s.timeLeft < c.meanCost.Duration.Seconds() || s.bytesLeft < float64(c.meanCost.Bytes) || s.timeLeft <= 0 || s.bytesLeft <= 0 {
			return "" // one of lower priority must not use up what this one waits for
		}
		c.isRunning = true
		return c.Name
	}
	return ""
}

// meanCostWeight is the weight of one run in the mean cost.
const meanCostWeight = 0.3

// Finish hears of the end of a run and of what it took.
func (s *Scheduler) Finish(name string, now time.Duration, cost Cost) {
	s.refill(now)
	for _, c := range s.tasks {
		if c.Name != name || !c.isRunning {
			continue
		}
		c.isRunning, c.lastEnd = false, now
		if c.runs++; c.runs == 1 {
			c.meanCost = cost
		}
		c.meanCost.Duration += time.Duration(float64(cost.Duration-c.meanCost.Duration) * meanCostWeight)
		c.meanCost.Bytes += int64(float64(cost.Bytes-c.meanCost.Bytes) * meanCostWeight)
		c.totalCost.Duration, c.totalCost.Bytes = c.totalCost.Duration+cost.Duration, c.totalCost.Bytes+cost.Bytes
		s.timeLeft -= cost.Duration.Seconds() // below 0 where it took more than was thought: the next ones wait for it
		s.bytesLeft -= float64(cost.Bytes)
		return
	}
}

// TaskStats is what a chore did.
type TaskStats struct {
	Name         string
	Runs, Forced uint64
	Cost         Cost
}

// Stats are those of all chores, by priority.
func (s *Scheduler) Stats() []TaskStats {
	var list []TaskStats
	for _, c := range s.tasks {
		list = append(list, TaskStats{c.Name, c.runs, c.forcedRuns, c.totalCost})
	}
	return list
}
