package idempotency

// recordOverhead is an estimate of the bytes that a record takes in addition to its key and its response.
const recordOverhead = 160

// minQueueToCompact is the length up to which the eviction queue is never compacted.
const minQueueToCompact = 64

// evictionSlot is a response's position in the eviction queue. The slot becomes stale when its entry's evictionSeq changes:
// the entry was removed or has a newer response.
type evictionSlot struct {
	entry *trackedEntry
	seq   uint64
}

// isStale reports whether the slot no longer refers to a response.
func (s evictionSlot) isStale() bool { return s.entry.evictionSeq != s.seq }

// updateSize recomputes the size of an entry and updates usedBytes.
func (t *Table) updateSize(e *trackedEntry) {
	t.usedBytes -= e.size
	e.size = int64(recordOverhead + len(e.Key.Class) + len(e.Key.Key) + e.Response.approximateSize())
	t.usedBytes += e.size
}

// enqueueForEviction appends an entry's response to the eviction queue.
func (t *Table) enqueueForEviction(e *trackedEntry) {
	t.lastEvictionSeq++
	e.evictionSeq = t.lastEvictionSeq
	t.evictableBytes += int64(e.Response.approximateSize())
	t.evictionQueue = append(t.evictionQueue, evictionSlot{e, e.evictionSeq})
}

// dequeueFromEviction makes an entry's slot stale, if it has one. The slot stays in the queue until evictToFit or
// compactEvictionQueue drops it.
func (t *Table) dequeueFromEviction(e *trackedEntry) {
	if e.evictionSeq == 0 {
		return
	}
	t.evictableBytes -= int64(e.Response.approximateSize())
	e.evictionSeq = 0
}

// evictToFit evicts responses, oldest first, until the records fit into MaxBytes or no response is left, and returns the
// records to rewrite.
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

// compactEvictionQueue drops the stale slots of a long queue if most of its slots are stale: it has more than twice as many
// slots as the table has entries.
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
