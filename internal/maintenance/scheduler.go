package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Budget limits the cost of all tasks together.
type Budget struct {
	TimePerSecond  time.Duration
	BytesPerSecond int64
}

// burstSeconds is the size of the token buckets, in seconds of the budget.
const burstSeconds = 2

// Scheduler decides which task runs. The caller's clock must never go back. A Scheduler belongs to one goroutine.
type Scheduler struct {
	budget     Budget
	tasks      []*taskState // by priority, the highest first
	refilledAt time.Duration
	timeLeft   float64 // seconds; below 0 after a run that took more than expected
	bytesLeft  float64
}

// New returns a scheduler of the tasks.
func New(budget Budget, now time.Duration, tasks ...Task) (*Scheduler, error) {
	scheduler := &Scheduler{budget: budget, refilledAt: now}
	scheduler.timeLeft, scheduler.bytesLeft = scheduler.capacity()
	names := map[string]bool{}
	for _, task := range tasks {
		if err := task.validate(names); err != nil {
			return nil, err
		}
		names[task.Name] = true
		scheduler.tasks = append(scheduler.tasks, &taskState{Task: task, lastEnd: now})
	}
	slices.SortStableFunc(scheduler.tasks, func(a, b *taskState) int { return -cmp.Compare(a.Priority, b.Priority) })
	return scheduler, nil
}

// capacity returns the sizes of the token buckets.
func (s *Scheduler) capacity() (seconds, bytes float64) {
	return burstSeconds * s.budget.TimePerSecond.Seconds(), burstSeconds * float64(s.budget.BytesPerSecond)
}

// refill adds the tokens of the time since the last refill.
func (s *Scheduler) refill(now time.Duration) {
	elapsed := max(now-s.refilledAt, 0).Seconds()
	s.refilledAt = max(s.refilledAt, now)
	maxTime, maxBytes := s.capacity()
	s.timeLeft = min(s.timeLeft+elapsed*s.budget.TimePerSecond.Seconds(), maxTime)
	s.bytesLeft = min(s.bytesLeft+elapsed*float64(s.budget.BytesPerSecond), maxBytes)
}

// Next returns the name of the task to run now, or "". The task counts as running until Finish.
func (s *Scheduler) Next(now time.Duration, overloaded bool) string {
	s.refill(now)
	for _, task := range s.tasks {
		if task.isOverdue(now) {
			task.isRunning = true
			task.forcedRuns++
			return task.Name
		}
	}
	if overloaded {
		return ""
	}
	for _, task := range s.tasks {
		if !task.isDue(now) {
			continue
		}
		if !s.canAfford(task.meanCost) {
			return "" // a task of lower priority must not use up what this one waits for
		}
		task.isRunning = true
		return task.Name
	}
	return ""
}

// canAfford reports whether the budget has enough left for a run.
func (s *Scheduler) canAfford(expected Cost) bool {
	return s.timeLeft >= expected.Duration.Seconds() && s.bytesLeft >= float64(expected.Bytes) &&
		s.timeLeft > 0 && s.bytesLeft > 0
}

// Finish records the end of a run and charges its cost to the budget.
func (s *Scheduler) Finish(name string, now time.Duration, cost Cost) {
	s.refill(now)
	for _, task := range s.tasks {
		if task.Name != name || !task.isRunning {
			continue
		}
		task.finish(now, cost)
		s.timeLeft -= cost.Duration.Seconds() // may go below 0: later runs wait for it
		s.bytesLeft -= float64(cost.Bytes)
		return
	}
}

// Stats returns the statistics of all tasks, by priority.
func (s *Scheduler) Stats() []TaskStats {
	var list []TaskStats
	for _, task := range s.tasks {
		list = append(list, TaskStats{task.Name, task.runs, task.forcedRuns, task.totalCost})
	}
	return list
}
