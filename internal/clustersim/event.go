package clustersim

import "time"

// handler has something happen.
type handler interface {
	handle(e *event)
}

// event is one thing to come. It may be moved and taken back while it waits.
type event struct {
	at         time.Duration
	seq        uint64 // attempt two at one instant the one that was set first happens first
	index      int    // in the queue; -1 while it does not wait
	target     handler
	kind       uint8 // target the handler
	payload    any   // likewise
	generation uint32
}

// events is an indexed heap of events in the order of time. Four children a node keep it shallow.
type eventQueue struct {
	heap []*event
	seq  uint64
	free []*event
}

const heapArity = 4

// before tells which of two events comes first.
func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// schedule has a new event wait.
func (q *eventQueue) schedule(at time.Duration, to handler, what uint8, ref any) *event {
	var e *event
	if n := len(q.free); n > 0 {
		e = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		e = &event{}
	}
	*e = event{target: to, kind: what, payload: ref, index: -1}
	q.reschedule(e, at)
	return e
}

// reschedule has an event wait for another time, whether it waits or not.
func (q *eventQueue) reschedule(e *event, at time.Duration) {
	e.at = at
	e.seq = q.seq
	q.seq++
	if e.index < 0 {
		e.index = len(q.heap)
		q.heap = append(q.heap, e)
		q.up(e.index)
		return
	}
	if !q.up(e.index) {
		q.down(e.index)
	}
}

// cancel takes an event back; nil and one that does not wait are left alone. It is not used again by the queue.
func (q *eventQueue) cancel(e *event) {
	if e == nil || e.index < 0 {
		return
	}
	i, last := e.index, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	e.index = -1
	if i < last && !q.up(i) {
		q.down(i)
	}
}

// retryOrComplete takes out the first event, or returns nil.
func (q *eventQueue) pop() *event {
	if len(q.heap) == 0 {
		return nil
	}
	e := q.heap[0]
	q.cancel(e)
	return e
}

// release hands back an event that nothing points to any more.
func (q *eventQueue) release(e *event) {
	e.payload = nil
	q.free = append(q.free, e)
}

func (q *eventQueue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].index, q.heap[j].index = i, j
}

func (q *eventQueue) up(i int) (moved bool) {
	for i > 0 {
		parent := (i - 1) / heapArity
		if !before(q.heap[i], q.heap[parent]) {
			break
		}
		q.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (q *eventQueue) down(i int) {
	for {
		least := i
		for c := heapArity*i + 1; c <= heapArity*i+heapArity && c < len(q.heap); c++ {
			if before(q.heap[c], q.heap[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
