package eventloop

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testTick = 5 * time.Millisecond

// TestTimerWheel checks that random timers fire once, never early, not late by more than the tolerance of two ticks, and
// not after they are cancelled.
func TestTimerWheel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		w := newTimerWheel(testTick, now)
		type entry struct {
			timer       *Timer
			deadline    time.Time
			fired       int
			isCancelled bool
		}
		var all []*entry
		t.Repeat(map[string]func(*rapid.T){
			"schedule": func(t *rapid.T) {
				delay := time.Duration(rapid.Int64Range(-1e6, 8e9).Draw(t, "delay"))
				e := &entry{deadline: now.Add(max(delay, 0))}
				e.timer = w.schedule(now, delay, func() { e.fired++ })
				all = append(all, e)
			},
			"cancel": func(t *rapid.T) {
				if len(all) > 0 {
					e := rapid.SampledFrom(all).Draw(t, "timer")
					e.isCancelled = e.isCancelled || e.fired == 0
					w.cancel(e.timer)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "elapsed")))
				w.advance(now)
			},
			"advanceUntilNext": func(t *rapid.T) {
				wait := w.untilNext(now)
				w.advance(now.Add(wait - 1))
				now = now.Add(wait)
				w.advance(now)
			},
			"": func(t *rapid.T) {
				scheduled := 0
				for _, e := range all {
					late := now.Sub(e.deadline)
					switch {
					case e.fired > 1 || e.fired == 1 && (e.isCancelled || late < 0):
						t.Fatalf("timer fired %d times, cancelled %t, %v after its deadline", e.fired, e.isCancelled, late)
					case e.fired == 0 && !e.isCancelled && late > 2*testTick:
						t.Fatalf("timer has not fired %v after its deadline", late)
					case e.fired == 0 && !e.isCancelled:
						scheduled++
					}
				}
				if w.scheduled != scheduled {
					t.Fatalf("%d timers scheduled, want %d", w.scheduled, scheduled)
				}
			},
		})
	})
}

// TestTimerWheelOrder checks that timers fire in the order of their ticks and that a callback can schedule and cancel other
// timers.
func TestTimerWheelOrder(t *testing.T) {
	now := time.Now()
	w := newTimerWheel(testTick, now)
	var got []string
	record := func(s string) func() { return func() { got = append(got, s) } }
	w.schedule(now, 30*time.Millisecond, record("late"))
	cancelled := w.schedule(now, 10*time.Millisecond, record("cancelled"))
	w.schedule(now, 10*time.Millisecond, func() {
		record("first")()
		w.cancel(cancelled)
		w.schedule(now, 0, record("rescheduled"))
	})
	w.cancel(cancelled)
	w.cancel(cancelled)
	w.advance(now.Add(40 * time.Millisecond))
	w.advance(now.Add(50 * time.Millisecond))
	if want := []string{"first", "late", "rescheduled"}; !slices.Equal(got, want) {
		t.Errorf("fired %q, want %q", got, want)
	}
}
