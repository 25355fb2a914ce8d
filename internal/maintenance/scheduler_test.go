package maintenance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// usage is the cost of the tasks of a test.
type usage struct {
	budget  Budget
	total   Cost
	forced  Cost // of all forced runs
	largest Cost // maximum duration and maximum bytes of a single run
}

// add adds the cost of a run.
func (u *usage) add(cost Cost, isForced bool) {
	u.total = u.total.add(cost)
	u.largest.Duration, u.largest.Bytes = max(u.largest.Duration, cost.Duration), max(u.largest.Bytes, cost.Bytes)
	if isForced {
		u.forced = u.forced.add(cost)
	}
}

// check fails the test if the usage exceeds the budget by more than a burst, one run and all forced runs.
func (u *usage) check(t *rapid.T, now time.Duration) {
	maxSeconds := (now.Seconds() + burstSeconds) * u.budget.TimePerSecond.Seconds()
	if (u.total.Duration - u.forced.Duration - u.largest.Duration).Seconds() > maxSeconds {
		t.Fatalf("%v used after %v, %v of it by forced runs; the budget is %v per second",
			u.total.Duration, now, u.forced.Duration, u.budget.TimePerSecond)
	}
	if float64(u.total.Bytes-u.forced.Bytes-u.largest.Bytes) > (now.Seconds()+burstSeconds)*float64(u.budget.BytesPerSecond) {
		t.Fatalf("%d bytes used after %v, %d of them by forced runs; the budget is %d per second",
			u.total.Bytes, now, u.forced.Bytes, u.budget.BytesPerSecond)
	}
}

// TestBudgets runs tasks of random cost on a virtual clock. Apart from forced runs, the tasks must never use more than the
// budget, a burst and one run. While the server is overloaded, only forced runs may start. No task may be idle after its
// MaxInterval has passed, and none may run again before its MinInterval has passed.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := Budget{
			TimePerSecond:  time.Duration(rapid.IntRange(5, 200).Draw(t, "ms")) * time.Millisecond,
			BytesPerSecond: int64(rapid.IntRange(1, 100).Draw(t, "kb")) << 10,
		}
		tasks := []Task{{"compact", 1, time.Second, time.Minute}, {"sweep", 3, 100 * time.Millisecond, 5 * time.Second}, {"save", 2, 2 * time.Second, 0}}
		s, err := New(budget, 0, tasks...)
		if err != nil {
			t.Fatal(err)
		}
		now, overloaded, used := time.Duration(0), false, usage{budget: budget}
		last := map[string]time.Duration{}
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * time.Millisecond
			if rapid.IntRange(0, 20).Draw(t, "turn") == 0 {
				overloaded = !overloaded
			}
			name := s.Next(now, overloaded)
			for _, task := range tasks {
				if task.MaxInterval > 0 && name == "" && now-last[task.Name] >= task.MaxInterval {
					t.Fatalf("%s is not started %v after its MaxInterval", task.Name, now-last[task.Name]-task.MaxInterval)
				}
			}
			if name == "" {
				continue
			}
			cost := Cost{time.Duration(rapid.IntRange(0, 20).Draw(t, "took")) * time.Millisecond, int64(rapid.IntRange(0, 8<<10).Draw(t, "bytes"))}
			task := tasks[slices.IndexFunc(tasks, func(task Task) bool { return task.Name == name })]
			isForced := task.MaxInterval > 0 && now-last[name] >= task.MaxInterval
			if overloaded && !isForced {
				t.Fatalf("%s starts while the server is overloaded, and the run is not forced", name)
			}
			if now-last[name] < task.MinInterval {
				t.Fatalf("%s runs again after %v, before its MinInterval has passed", name, now-last[name])
			}
			s.Finish(name, now, cost)
			last[name] = now
			used.add(cost, isForced)
			used.check(t, now)
		}
	})
}

// TestPriorityOrder checks that the task of higher priority runs first, that a task of lower priority cannot use up the budget
// before it, and that New rejects invalid tasks.
func TestPriorityOrder(t *testing.T) {
	s, err := New(Budget{time.Second, 1000}, 0, Task{"low", 1, 0, 0}, Task{"high", 2, 0, 0})
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Next(10*time.Second, false); got != "high" {
		t.Fatalf("Next returns %q, want \"high\"", got)
	}
	s.Finish("high", 10*time.Second, Cost{Bytes: 2000})
	if got := s.Next(20*time.Second, false); got != "high" {
		t.Fatalf("Next returns %q, want \"high\"", got)
	}
	s.Finish("high", 20*time.Second, Cost{Bytes: 2000})
	if got := s.Next(20*time.Second+time.Millisecond, false); got != "" {
		t.Errorf("Next returns %q although the budget is used up", got)
	}
	for _, c := range []Task{{"", 1, 0, 0}, {"a", 1, time.Second, time.Millisecond}} {
		if _, err := New(Budget{}, 0, c); err == nil {
			t.Errorf("New accepts the invalid task %+v", c)
		}
	}
}
