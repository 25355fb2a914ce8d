package eventloop

import "time"

// wheelSlots is the number of ticks in one turn of the wheel. Timers with a longer delay stay in their slot for several
// turns.
const wheelSlots = 512

// Timer is a scheduled callback.
type Timer struct {
	tick       int64 // the tick in which the timer fires
	callback   func()
	next, prev *Timer // neighbours in the list of the slot; nil if the timer is not scheduled
}

// timerWheel fires timers in coarse ticks of the monotonic clock. A timer never fires early, and it fires at most one tick
// late.
type timerWheel struct {
	tick      time.Duration
	origin    time.Time         // the start of tick 0
	lastTick  int64             // the last tick whose timers have been fired
	slots     [wheelSlots]Timer // list heads
	scheduled int               // number of timers in all slots
}

// newTimerWheel returns an empty wheel whose tick 0 begins now.
func newTimerWheel(tick time.Duration, now time.Time) *timerWheel {
	w := &timerWheel{tick: tick, origin: now}
	for i := range w.slots {
		head := &w.slots[i]
		head.next, head.prev = head, head
	}
	return w
}

// schedule returns a timer that fires after the delay, but not in a tick whose timers have been fired.
func (w *timerWheel) schedule(now time.Time, delay time.Duration, callback func()) *Timer {
	due := now.Sub(w.origin) + max(delay, 0)
	tick := int64((due + w.tick - 1) / w.tick)
	t := &Timer{tick: max(tick, w.lastTick+1), callback: callback}
	head := &w.slots[t.tick%wheelSlots]
	t.prev, t.next = head.prev, head
	t.prev.next, head.prev = t, t
	w.scheduled++
	return t
}

// cancel removes a timer. It does nothing if t is nil, has fired or was cancelled.
func (w *timerWheel) cancel(t *Timer) {
	if t == nil || t.next == nil {
		return
	}
	t.prev.next, t.next.prev = t.next, t.prev
	t.next, t.prev = nil, nil
	w.scheduled--
}

// advance fires all timers that are due by now. Timers that their callbacks schedule fire in a later call.
func (w *timerWheel) advance(now time.Time) {
	current := int64(now.Sub(w.origin) / w.tick)
	if current <= w.lastTick {
		return
	}
	// After a pause of more than one turn, one turn is enough to visit every slot.
	first := max(w.lastTick+1, current-wheelSlots+1)
	w.lastTick = current
	for tick := first; tick <= current; tick++ {
		w.fireSlot(&w.slots[tick%wheelSlots], current)
	}
}

// fireSlot fires the timers of one slot that are due by the current tick.
func (w *timerWheel) fireSlot(head *Timer, current int64) {
	for t := head.next; t != head; {
		if t.tick > current {
			t = t.next
			continue
		}
		w.cancel(t)
		t.callback()
		t = head.next // restart, since the callback may have cancelled any other timer
	}
}

// untilNext returns the time until the next timer is due, limited to one turn of the wheel.
func (w *timerWheel) untilNext(now time.Time) time.Duration {
	if w.scheduled == 0 {
		return wheelSlots * w.tick
	}
	for tick := w.lastTick + 1; tick <= w.lastTick+wheelSlots; tick++ {
		head := &w.slots[tick%wheelSlots]
		for t := head.next; t != head; t = t.next {
			if t.tick <= tick {
				return max(w.origin.Add(time.Duration(tick)*w.tick).Sub(now), 0)
			}
		}
	}
	return wheelSlots * w.tick
}
