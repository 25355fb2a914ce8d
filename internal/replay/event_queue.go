package replay

import (
	"container/heap"
	"math"
	"time"

	"tillerusher/internal/capture"
)

// eventQueue holds future events in the order of their times, and those of the same time in the order of their pushes.
type eventQueue struct {
	heap   eventHeap
	pushed int
}

// queuedEvent is a future event.
type queuedEvent struct {
	at     time.Duration
	number int // of the push
	event  capture.Record
	wireID string // of a request
}

func (q *eventQueue) push(at time.Duration, event capture.Record, wireID string) {
	q.pushed++
	heap.Push(&q.heap, queuedEvent{at, q.pushed, event, wireID})
}

// pop takes the next event off the queue, which must not be empty.
func (q *eventQueue) pop() queuedEvent { return heap.Pop(&q.heap).(queuedEvent) }

// nextTime returns the time of the next event, or the latest possible time where there is none.
func (q *eventQueue) nextTime() time.Duration {
	if len(q.heap) == 0 {
		return math.MaxInt64
	}
	return q.heap[0].at
}

// eventHeap implements heap.Interface.
type eventHeap []queuedEvent

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(queuedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
