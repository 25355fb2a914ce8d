package idempotency

// recordOverhead is about what a record takes beside its key and its response.
const recordOverhead = 160

// minQueueToCompact is the length from which an eviction queue is worth compacting.
const minQueueToCompact = 64

// evictionSlot is a response's place in the eviction queue. The slot is stale once its entry has another evictionSeq: the
// entry was removed, or got a newer response.
type evictionSlot struct {
	entry *trackedEntry
	seq   uint64
}

// isStale reports whether the slot no longer refers to a response.
func (s evictionSlot) isStale() bool { return s.entry.evictionSeq != s.seq }

// updateSize updates the accounting to an entry's current size.
func (t *Table) updateSize(e *trackedEntry) {
	t.usedBytes -= e.size
	e.size = int64(recordOverhead + len(e.Key.Class) + len(e.Key.Key) + e.Response.approximateSize())
	t.usedBytes += e.size
}

// enqueueForEviction makes an entry's response the last to be evicted.
func (t *Table) enqueueForEviction(e *trackedEntry) {
	t.lastEvictionSeq++
	e.evictionSeq = t.lastEvictionSeq
	t.evictableBytes += int64(e.Response.approximateSize())
	t.evictionQueue = append(t.evictionQueue, evictionSlot{e, e.evictionSeq})
}

// dequeueFromEviction makes an entry's slot stale; the slot itself is dropped later.
func (t *Table) dequeueFromEviction(e *trackedEntry) {
	if e.evictionSeq == 0 {
		return
	}
	t.evictableBytes -= int64(e.Response.approximateSize())
	e.evictionSeq = 0
}

// evictToFit evicts responses, oldest first, until all records fit, and returns the records to rewrite.
func (t *Table) evictToFit() (changes []Change) {
	for t.usedBytes > t.limits.MaxBytes && len(t.evictionQueue) > 0 {
		slot := t.evictionQueue[0]
		t.evictionQueue = t.evictionQueue[1:]
		if slot.isStale() {
			continue
		}
		e := slot.entry
		t.dequeueFromEviction(e)
		e.State, e.Response = Evicted, Response{}
		t.updateSize(e)
		t.Counters.Evicted++
		changes = append(changes, Change{e.Key.RecordName(), e.Encode()})
	}
	return changes
}

// compactEvictionQueue drops stale slots once they are the larger part of a long queue.
func (t *Table) compactEvictionQueue() {
	if len(t.evictionQueue) <= minQueueToCompact || len(t.evictionQueue) <= 2*len(t.entries) {
		return
	}
	kept := t.evictionQueue[:0]
	for _, slot := range t.evictionQueue {
		if !slot.isStale() {
			kept = append(kept, slot)
		}
	}
	t.evictionQueue = kept
}
