package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Budget limits the total cost of all tasks.
type Budget struct {
	TimePerSecond  time.Duration
	BytesPerSecond int64
}

// burstSeconds is the time in seconds whose budget the token buckets can hold.
const burstSeconds = 2

// Scheduler decides which task runs. Times passed to it must not decrease. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	budget     Budget
	tasks      []*taskState // in descending order of priority
	refilledAt time.Duration
	timeLeft   float64 // in seconds; negative after a run that cost more than expected
	bytesLeft  float64
}

// New returns a scheduler of the tasks with full token buckets. It returns an error if a task is invalid.
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

// capacity returns the capacities of the token buckets.
func (s *Scheduler) capacity() (seconds, bytes float64) {
	return burstSeconds * s.budget.TimePerSecond.Seconds(), burstSeconds * float64(s.budget.BytesPerSecond)
}

// refill adds the tokens that accrued since the last refill.
func (s *Scheduler) refill(now time.Duration) {
	elapsed := max(now-s.refilledAt, 0).Seconds()
	s.refilledAt = max(s.refilledAt, now)
	maxTime, maxBytes := s.capacity()
	s.timeLeft = min(s.timeLeft+elapsed*s.budget.TimePerSecond.Seconds(), maxTime)
	s.bytesLeft = min(s.bytesLeft+elapsed*float64(s.budget.BytesPerSecond), maxBytes)
}

// Next returns the name of the task to run now, or "" if none should run. It marks the task as running; the caller must call
// Finish when the run ends.
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
			return "" // a task of lower priority must not use the tokens that this one waits for
		}
		task.isRunning = true
		return task.Name
	}
	return ""
}

// canAfford reports whether the token buckets have enough left for a run with the expected cost.
func (s *Scheduler) canAfford(expected Cost) bool {
	return s.timeLeft >= expected.Duration.Seconds() && s.bytesLeft >= float64(expected.Bytes) &&
		s.timeLeft > 0 && s.bytesLeft > 0
}

// Finish records the end of a run and charges its cost to the budget. It ignores a task that is not running.
func (s *Scheduler) Finish(name string, now time.Duration, cost Cost) {
	s.refill(now)
	for _, task := range s.tasks {
		if task.Name != name || !task.isRunning {
			continue
		}
		task.finish(now, cost)
		s.timeLeft -= cost.Duration.Seconds() // may become negative: later runs wait until it is refilled
		s.bytesLeft -= float64(cost.Bytes)
		return
	}
}

// Stats returns the statistics of all tasks, in descending order of priority.
func (s *Scheduler) Stats() []TaskStats {
	var list []TaskStats
	for _, task := range s.tasks {
		list = append(list, TaskStats{task.Name, task.runs, task.forcedRuns, task.totalCost})
	}
	return list
}
