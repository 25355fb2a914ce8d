package eventloop

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testTick = 5 * time.Millisecond

// TestWheel checks random timers against the rule: never early, at most a tick late, once, unless cancelled.
func TestWheel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		w := newTimerWheel(testTick, now)
		type entry struct {
			timer *Timer
			due   time.Time
			fired int
			off   bool
		}
		var all []*entry
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				wait := time.Duration(rapid.Int64Range(-1e6, 8e9).Draw(t, "wait"))
				e := &entry{due: now.Add(max(wait, 0))}
				e.timer = w.schedule(now, wait, func() { e.fired++ })
				all = append(all, e)
			},
			"cancel": func(t *rapid.T) {
				if len(all) > 0 {
					e := rapid.SampledFrom(all).Draw(t, "timer")
					e.off = e.off || e.fired == 0
					w.cancel(e.timer)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "time")))
				w.advance(now)
			},
			"sleep": func(t *rapid.T) {
				wait := w.untilNext(now)
				w.advance(now.Add(wait - 1))
				now = now.Add(wait)
				w.advance(now)
			},
			"": func(t *rapid.T) {
				armed := 0
				for _, e := range all {
					late := now.Sub(e.due)
					switch {
					case e.fired > 1 || e.fired == 1 && (e.off || late < 0):
						t.Fatalf("fired %d times, cancelled %t, %v after it was due", e.fired, e.off, late)
					case e.fired == 0 && !e.off && late > 2*testTick:
						t.Fatalf("not fired %v after it was due", late)
					case e.fired == 0 && !e.off:
						armed++
					}
				}
				if w.scheduled != armed {
					t.Fatalf("%d armed, want %d", w.scheduled, armed)
				}
			},
		})
	})
}

// TestTimerWheelOrder fires in the order of the ticks, and lets a timer that fires set and cancel others.
func TestTimerWheelOrder(t *testing.T) {
	now := time.Now()
	w := newTimerWheel(testTick, now)
	var got []string
	note := func(s string) func() { return func() { got = append(got, s) } }
	w.schedule(now, 30*time.Millisecond, note("late"))
	cancelled := w.schedule(now, 10*time.Millisecond, note("cancelled"))
	w.schedule(now, 10*time.Millisecond, func() {
		note("first")()
		w.cancel(cancelled)
		w.schedule(now, 0, note("again"))
	})
	w.cancel(cancelled)
	w.cancel(cancelled)
	w.advance(now.Add(40 * time.Millisecond))
	w.advance(now.Add(50 * time.Millisecond))
	if want := []string{"first", "late", "again"}; !slices.Equal(got, want) {
		t.Errorf("fired %q, want %q", got, want)
	}
}
