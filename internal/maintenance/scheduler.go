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

// burst is how many seconds of a budget may be used at once.
const burst = 2

// state is a chore's.
type state struct {
	Task
	last    time.Duration // when it last ended
	running bool
	runs    uint64
	forced  uint64 // runs by their deadline
	cost    Cost   // in all
	mean    Cost   // of a run, of late
}

// Scheduler decides. Time is that of the caller, and never goes back.
type Scheduler struct {
	budget Budget
	chores []*state
	at     time.Duration
	time   float64 // seconds that may be used
	bytes  float64
}

// New returns a scheduler of chores, all of which may run at once.
func New(b Budget, now time.Duration, chores ...Task) (*Scheduler, error) {
	s := &Scheduler{budget: b, at: now, time: burst * b.TimePerSecond.Seconds(), bytes: burst * float64(b.BytesPerSecond)}
	seen := map[string]bool{}
	for _, c := range chores {
		switch {
		case c.Name == "" || seen[c.Name]:
			return nil, fmt.Errorf("chores: a chore called %q, want a name of its own", c.Name)
		case c.MinInterval < 0 || c.MaxInterval != 0 && c.MaxInterval < c.MinInterval:
			return nil, fmt.Errorf("chores: %s runs every %v and has to after %v", c.Name, c.MinInterval, c.MaxInterval)
		}
		seen[c.Name] = true
		s.chores = append(s.chores, &state{Task: c, last: now})
	}
	slices.SortStableFunc(s.chores, func(a, b *state) int { return -cmp.Compare(a.Priority, b.Priority) })
	return s, nil
}

// refill adds what time brings to the budgets.
func (s *Scheduler) refill(now time.Duration) {
	since := max(now-s.at, 0).Seconds()
	s.at = max(s.at, now)
	s.time = min(s.time+since*s.budget.TimePerSecond.Seconds(), burst*s.budget.TimePerSecond.Seconds())
	s.bytes = min(s.bytes+since*float64(s.budget.BytesPerSecond), burst*float64(s.budget.BytesPerSecond))
}

// Next is the chore that is to run now, or "". It counts as running until Done.
func (s *Scheduler) Next(now time.Duration, pressed bool) string {
	s.refill(now)
	for _, c := range s.chores { // those whose deadline is over, whatever else
		if !c.running && c.MaxInterval > 0 && now-c.last >= c.MaxInterval {
			c.running = true
			c.forced++
			return c.Name
		}
	}
	if pressed {
		return ""
	}
	for _, c := range s.chores {
		if c.running || now-c.last < c.MinInterval {
			continue
		}
		if s.time < c.mean.Duration.Seconds() || s.bytes < float64(c.mean.Bytes) || s.time <= 0 || s.bytes <= 0 {
			return "" // one of lower priority must not use up what this one waits for
		}
		c.running = true
		return c.Name
	}
	return ""
}

// meanPart is the weight of one run in the mean cost.
const meanPart = 0.3

// Finish hears of the end of a run and of what it took.
func (s *Scheduler) Finish(name string, now time.Duration, cost Cost) {
	s.refill(now)
	for _, c := range s.chores {
		if c.Name != name || !c.running {
			continue
		}
		c.running, c.last = false, now
		if c.runs++; c.runs == 1 {
			c.mean = cost
		}
		c.mean.Duration += time.Duration(float64(cost.Duration-c.mean.Duration) * meanPart)
		c.mean.Bytes += int64(float64(cost.Bytes-c.mean.Bytes) * meanPart)
		c.cost.Duration, c.cost.Bytes = c.cost.Duration+cost.Duration, c.cost.Bytes+cost.Bytes
		s.time -= cost.Duration.Seconds() // below 0 where it took more than was thought: the next ones wait for it
		s.bytes -= float64(cost.Bytes)
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
	for _, c := range s.chores {
		list = append(list, TaskStats{c.Name, c.runs, c.forced, c.cost})
	}
	return list
}
