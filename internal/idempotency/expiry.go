package idempotency

import (
	"container/heap"
	"time"
)

// expiryHeap is a min-heap of entries by ExpiresAt. It implements heap.Interface and updates each entry's heapIndex.
type expiryHeap []*trackedEntry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*trackedEntry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil // allow garbage collection of the entry
	*h = old[:len(old)-1]
	return e
}

// Expire removes at most limit expired entries and returns the changes that remove their records.
func (t *Table) Expire(now time.Time, limit int) (changes []Change) {
	for len(t.byExpiry) > 0 && len(changes) < limit && now.After(t.byExpiry[0].ExpiresAt) {
		e := t.byExpiry[0]
		t.remove(e)
		t.Counters.Expired++
		changes = append(changes, Change{Name: e.Key.RecordName()})
	}
	t.compactEvictionQueue()
	return changes
}

// insert adds an entry. It replaces an entry with the same key.
func (t *Table) insert(e *trackedEntry) {
	if old := t.entries[e.Key]; old != nil {
		t.remove(old)
	}
	t.entries[e.Key] = e
	heap.Push(&t.byExpiry, e)
	t.updateSize(e)
	if e.State == Completed {
		t.enqueueForEviction(e)
	}
}

// remove removes an entry from the table, the heap and the eviction queue.
func (t *Table) remove(e *trackedEntry) {
	delete(t.entries, e.Key)
	heap.Remove(&t.byExpiry, e.heapIndex)
	t.usedBytes -= e.size
	t.dequeueFromEviction(e)
	e.size = 0
}
