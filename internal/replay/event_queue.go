package replay

import (
	"container/heap"
	"math"
	"time"

	"tillerusher/internal/capture"
)

// eventQueue is a priority queue of future events, ordered by time. Events of the same time are ordered by their pushes.
type eventQueue struct {
	heap   eventHeap
	pushed int // number of pushes
}

// queuedEvent is an event in an eventQueue.
type queuedEvent struct {
	at     time.Duration
	number int // sequence number of the push
	event  capture.Record
	wireID string // wire ID of the request; empty for other events
}

func (q *eventQueue) push(at time.Duration, event capture.Record, wireID string) {
	q.pushed++
	heap.Push(&q.heap, queuedEvent{at, q.pushed, event, wireID})
}

// pop removes and returns the next event. The queue must not be empty.
func (q *eventQueue) pop() queuedEvent { return heap.Pop(&q.heap).(queuedEvent) }

// nextTime returns the time of the next event, or math.MaxInt64 if the queue is empty.
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
