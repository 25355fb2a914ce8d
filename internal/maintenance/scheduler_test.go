package maintenance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgets plays random chores on a virtual clock: over any stretch they take no more than the budgets and a burst,
// but for what deadlines force; none runs while the server is pressed but by its deadline; none is late by its deadline.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{TimePerSecond: time.Duration(rapid.IntRange(5, 200).Draw(t, "ms")) * time.Millisecond, BytesPerSecond: int64(rapid.IntRange(1, 100).Draw(t, "kb")) << 10}
		list := []Task{{"compact", 1, time.Second, time.Minute}, {"sweep", 3, 100 * time.Millisecond, 5 * time.Second}, {"save", 2, 2 * time.Second, 0}}
		s, err := New(b, 0, list...)
		if err != nil {
			t.Fatal(err)
		}
		now, overloaded := time.Duration(0), false
		used, forced, biggest := Cost{}, Cost{}, Cost{}
		last := map[string]time.Duration{}
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * time.Millisecond
			if rapid.IntRange(0, 20).Draw(t, "turn") == 0 {
				overloaded = !overloaded
			}
			name := s.Next(now, overloaded)
			for _, c := range list {
				if c.MaxInterval > 0 && name == "" && now-last[c.Name] >= c.MaxInterval {
					t.Fatalf("%s is %v late", c.Name, now-last[c.Name]-c.MaxInterval)
				}
			}
			if name == "" {
				continue
			}
			cost := Cost{time.Duration(rapid.IntRange(0, 20).Draw(t, "took")) * time.Millisecond, int64(rapid.IntRange(0, 8<<10).Draw(t, "bytes"))}
			var c Task
			for _, k := range list {
				if k.Name == name {
					c = k
				}
			}
			byDeadline := c.MaxInterval > 0 && now-last[name] >= c.MaxInterval
			if overloaded && !byDeadline {
				t.Fatalf("%s runs while the server is pressed", name)
			}
			if now-last[name] < c.MinInterval {
				t.Fatalf("%s runs again after %v", name, now-last[name])
			}
			s.Finish(name, now, cost)
			last[name] = now
			used.Duration, used.Bytes = used.Duration+cost.Duration, used.Bytes+cost.Bytes
			biggest.Duration, biggest.Bytes = max(biggest.Duration, cost.Duration), max(biggest.Bytes, cost.Bytes)
			if byDeadline {
				forced.Duration, forced.Bytes = forced.Duration+cost.Duration, forced.Bytes+cost.Bytes
			}
			most := (now.Seconds() + burstSeconds) * b.TimePerSecond.Seconds()
			if (used.Duration - forced.Duration - biggest.Duration).Seconds() > most {
				t.Fatalf("%v used after %v, %v of it forced, of %v a second", used.Duration, now, forced.Duration, b.TimePerSecond)
			}
			if float64(used.Bytes-forced.Bytes-biggest.Bytes) > (now.Seconds()+burstSeconds)*float64(b.BytesPerSecond) {
				t.Fatalf("%d bytes used after %v, %d of them forced, of %d a second", used.Bytes, now, forced.Bytes, b.BytesPerSecond)
			}
		}
	})
}

// TestPriorityOrder has the higher priority go first, and one that waits for its budget not be starved by a lower one.
func TestPriorityOrder(t *testing.T) {
	s, err := New(Budget{time.Second, 1000}, 0, Task{"low", 1, 0, 0}, Task{"high", 2, 0, 0})
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Next(10*time.Second, false); got != "high" {
		t.Fatalf("%q goes first", got)
	}
	s.Finish("high", 10*time.Second, Cost{Bytes: 2000})
	if got := s.Next(20*time.Second, false); got != "high" {
		t.Fatalf("%q goes first", got)
	}
	s.Finish("high", 20*time.Second, Cost{Bytes: 2000})
	if got := s.Next(20*time.Second+time.Millisecond, false); got != "" {
		t.Errorf("%q runs without a budget", got)
	}
	for _, c := range []Task{{"", 1, 0, 0}, {"a", 1, time.Second, time.Millisecond}} {
		if _, err := New(Budget{}, 0, c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}
