package eventloop

import "time"

// wheelSlots is how many ticks the wheel spans; later timers go round more than once.
const wheelSlots = 512

// Timer is one entry of a wheel.
type Timer struct {
	due        int64 // the tick in which it fires
	fire       func()
	next, prev *Timer // nil while it is not set
}

// timerWheel fires timers in coarse ticks of the monotonic clock. A timer never fires early, and at most one tick
// late.
type timerWheel struct {
	tick      time.Duration
	origin    time.Time
	done      int64 // the last tick whose timers were fired
	slots     [wheelSlots]Timer
	scheduled int
}

// newTimerWheel returns an empty wheel that starts now.
func newTimerWheel(tick time.Duration, now time.Time) *timerWheel {
	w := &timerWheel{tick: tick, origin: now}
	for i := range w.slots {
		head := &w.slots[i]
		head.next, head.prev = head, head
	}
	return w
}

// schedule arms a timer that fires once the wait is over.
func (w *timerWheel) schedule(now time.Time, wait time.Duration, fire func()) *Timer {
	at := now.Sub(w.origin) + max(wait, 0)
	t := &Timer{due: max(int64((at+w.tick-1)/w.tick), w.done+1), fire: fire}
	head := &w.slots[t.due%wheelSlots]
	t.prev, t.next = head.prev, head
	t.prev.next, head.prev = t, t
	w.scheduled++
	return t
}

// cancel disarms a timer; one that fired or was never set is left alone.
func (w *timerWheel) cancel(t *Timer) {
	if t == nil || t.next == nil {
		return
	}
	t.prev.next, t.next.prev = t.next, t.prev
	t.next, t.prev = nil, nil
	w.scheduled--
}

// advance fires all that is due at now. Timers set meanwhile wait for a later call.
func (w *timerWheel) advance(now time.Time) {
	last := int64(now.Sub(w.origin) / w.tick)
	if last <= w.done {
		return
	}
	// AfterFunc a long stop one turn passes every slot.
	first := max(w.done+1, last-wheelSlots+1)
	w.done = last
	for tick := first; tick <= last; tick++ {
		head := &w.slots[tick%wheelSlots]
		for t := head.next; t != head; {
			if t.due > last {
				t = t.next
				continue
			}
			w.cancel(t)
			t.fire()
			t = head.next // fire may have cancelled any other timer
		}
	}
}

// untilNext is how long nothing is due, at most one turn of the wheel.
func (w *timerWheel) untilNext(now time.Time) time.Duration {
	if w.scheduled == 0 {
		return wheelSlots * w.tick
	}
	for tick := w.done + 1; tick <= w.done+wheelSlots; tick++ {
		head := &w.slots[tick%wheelSlots]
		for t := head.next; t != head; t = t.next {
			if t.due <= tick {
				return max(w.origin.Add(time.Duration(tick)*w.tick).Sub(now), 0)
			}
		}
	}
	return wheelSlots * w.tick
}
