package loadtest

import "time"

// request is a caller's request, which is sent in one or more attempts.
type request struct {
	key           string // idempotency key, or ""
	tenant        string
	body          []byte
	firstIntended time.Time // when its first attempt was due to be sent
	attempts      int       // attempts so far, including a queued one
	wasServed     bool
}

// attempt is one attempt of a request.
type attempt struct {
	id       string
	request  *request
	number   int       // position among the attempts of its request, from 1
	intended time.Time // when it was due to be sent
	received time.Time // the value of its Received-At header
}

// attemptQueue is a min-heap of attempts, ordered by the time at which they are due to be sent.
type attemptQueue []*attempt

// Len implements heap.Interface.
func (q attemptQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q attemptQueue) Less(i, j int) bool { return q[i].intended.Before(q[j].intended) }

// Swap implements heap.Interface.
func (q attemptQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *attemptQueue) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop implements heap.Interface.
func (q *attemptQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
