package clustersim

import "time"

// handler has something happen.
type handler interface {
	handle(e *event)
}

// event is one thing to come. It may be moved and taken back while it waits.
type event struct {
	at   time.Duration
	seq  uint64 // of two at one instant the one that was set first happens first
	pos  int    // in the queue; -1 while it does not wait
	to   handler
	what uint8 // to the handler
	ref  any   // likewise
	n    uint32
}

// queue is an indexed heap of events in the order of time. Four children a node keep it shallow.
type queue struct {
	heap []*event
	seq  uint64
	free []*event
}

const arity = 4

// before tells which of two events comes first.
func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// set has a new event wait.
func (q *queue) set(at time.Duration, to handler, what uint8, ref any) *event {
	var e *event
	if n := len(q.free); n > 0 {
		e = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		e = &event{}
	}
	*e = event{to: to, what: what, ref: ref, pos: -1}
	q.put(e, at)
	return e
}

// put has an event wait for another time, whether it waits or not.
func (q *queue) put(e *event, at time.Duration) {
	e.at = at
	e.seq = q.seq
	q.seq++
	if e.pos < 0 {
		e.pos = len(q.heap)
		q.heap = append(q.heap, e)
		q.up(e.pos)
		return
	}
	if !q.up(e.pos) {
		q.down(e.pos)
	}
}

// drop takes an event back; nil and one that does not wait are left alone. It is not used again by the queue.
func (q *queue) drop(e *event) {
	if e == nil || e.pos < 0 {
		return
	}
	i, last := e.pos, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	e.pos = -1
	if i < last && !q.up(i) {
		q.down(i)
	}
}

// next takes out the first event, or returns nil.
func (q *queue) next() *event {
	if len(q.heap) == 0 {
		return nil
	}
	e := q.heap[0]
	q.drop(e)
	return e
}

// recycle hands back an event that nothing points to any more.
func (q *queue) recycle(e *event) {
	e.ref = nil
	q.free = append(q.free, e)
}

func (q *queue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].pos, q.heap[j].pos = i, j
}

func (q *queue) up(i int) (moved bool) {
	for i > 0 {
		parent := (i - 1) / arity
		if !before(q.heap[i], q.heap[parent]) {
			break
		}
		q.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (q *queue) down(i int) {
	for {
		least := i
		for c := arity*i + 1; c <= arity*i+arity && c < len(q.heap); c++ {
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
