package idempotency

import (
	"container/heap"
	"time"
)

// Change is one record to be written, or removed where its value is nil.
type Change struct {
	Name  string
	Value []byte
}

// StoreStats count what a store did with changes.
type StoreStats struct {
	Syncs   uint64 // of batches of changes
	Changes uint64 // that are down
	Reopens uint64 // times that the records were taken up anew after a failure
}

// Limits bound what is kept. The rule at the bound: an intent is never dropped within its window; answers are given up
// oldest first, and their repeats fail; where even that leaves no room, new keyed requests are turned away.
type Limits struct {
	MaxKeys  int   // keys
	MaxBytes int64 // of records
}

// DiskState is how the disk does.
type DiskState uint8

// The modes.
const (
	DiskHealthy DiskState = iota
	DiskFailing           // writes fail: keyed requests are turned away, all others are served; one write in a while asks whether it is over
)

// String says the mode.
func (m DiskState) String() string { return [...]string{"sound", "failing"}[m] }

// Decision is what becomes of a keyed request that repeats none.
type Decision uint8

// The verdicts.
const (
	Admitted        Decision = iota // it may be run once its intent is down
	TableFull                       // the bound is reached
	DiskUnavailable                 // the disk fails
)

// String says the verdict.
func (v Decision) String() string {
	return [...]string{"protected", "no room for its key", "the disk fails"}[v]
}

// The pace of asking a failing disk.
const (
	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 10 * time.Second
)

// recordOverhead is about what a record takes beside its answer.
const recordOverhead = 160

// trackedEntry is an Entry with its place among those that run out.
type trackedEntry struct {
	Entry
	heapIndex   int
	evictionSeq uint64 // of its answer, in the order of keeping
	size        int64
	replaced    *Entry // what an intent took the place of: where it comes to nothing, tries of the run before it may still come
}

// Counters count what was decided.
type Counters struct {
	Intents, Completed, Aborted, Expired, Evicted, RejectedFull, RejectedDisk, WriteFailures, Recoveries uint64
}

// Table is the state of all keyed requests that are kept.
type Table struct {
	limits          Limits
	entries         map[Key]*trackedEntry
	byExpiry        expiryHeap     // all, by when they run out
	evictionQueue   []evictionSlot // kept, oldest first
	lastEvictionSeq uint64
	usedBytes       int64
	evictableBytes  int64 // of that, answers, which may be given up
	diskState       DiskState
	nextProbe       time.Time
	probeBackoff    time.Duration
	Counters        Counters
}

// evictionSlot is a kept answer's place in the order of keeping.
type evictionSlot struct {
	entry *trackedEntry
	seq   uint64
}

// expiryHeap is a heap by when entries run out.
type expiryHeap []*trackedEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *expiryHeap) Push(x any)        { e := x.(*trackedEntry); e.heapIndex = len(*h); *h = append(*h, e) }
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// NewTable returns an empty journal.
func NewTable(l Limits) *Table { return &Table{limits: l, entries: map[Key]*trackedEntry{}} }

// Load takes in a record at the start. One that ran out is named for removal by Expire.
func (j *Table) Load(name string, value []byte) error {
	e, err := DecodeEntry(name, value)
	if err != nil {
		return err
	}
	j.insert(&trackedEntry{Entry: e})
	return nil
}

// MaxKeys are all that are kept, in no order.
func (j *Table) Entries() []Entry {
	list := make([]Entry, 0, len(j.byExpiry))
	for _, e := range j.byExpiry {
		list = append(list, e.Entry)
	}
	return list
}

// Size is how many keys are kept, and about how many bytes of records.
func (j *Table) Size() (keys int, bytes int64) { return len(j.entries), j.usedBytes }

// DiskState is how the disk does.
func (j *Table) DiskState() DiskState { return j.diskState }

// insert takes an entry in, in place of one of its key.
func (j *Table) insert(e *trackedEntry) {
	if old := j.entries[e.Key]; old != nil {
		j.remove(old)
	}
	j.entries[e.Key] = e
	heap.Push(&j.byExpiry, e)
	j.updateSize(e)
	if e.State == Completed {
		j.enqueueForEviction(e)
	}
}

// updateSize counts what an entry takes now.
func (j *Table) updateSize(e *trackedEntry) {
	j.usedBytes -= e.size
	e.size = int64(recordOverhead + len(e.Key.Class) + len(e.Key.Key) + e.Response.approximateSize())
	j.usedBytes += e.size
}

// enqueueForEviction puts an entry's answer at the end of the order of keeping.
func (j *Table) enqueueForEviction(e *trackedEntry) {
	j.lastEvictionSeq++
	e.evictionSeq = j.lastEvictionSeq
	j.evictableBytes += int64(e.Response.approximateSize())
	j.evictionQueue = append(j.evictionQueue, evictionSlot{e, e.evictionSeq})
}

// remove takes an entry out.
func (j *Table) remove(e *trackedEntry) {
	delete(j.entries, e.Key)
	heap.Remove(&j.byExpiry, e.heapIndex)
	j.usedBytes -= e.size
	j.dequeueFromEviction(e)
	e.size = 0
}

// dequeueFromEviction takes an entry out of the order of keeping.
func (j *Table) dequeueFromEviction(e *trackedEntry) {
	if e.evictionSeq != 0 {
		j.evictableBytes -= int64(e.Response.approximateSize())
		e.evictionSeq = 0
	}
}

// Admit decides whether a keyed request that repeats none may be taken in.
func (j *Table) Admit(now time.Time) Decision {
	switch {
	case j.diskState == DiskFailing && now.Before(j.nextProbe):
		j.Counters.RejectedDisk++
		return DiskUnavailable
	case len(j.entries) >= j.limits.MaxKeys || j.usedBytes-j.evictableBytes+recordOverhead > j.limits.MaxBytes:
		j.Counters.RejectedFull++
		return TableFull
	}
	if j.diskState == DiskFailing { // this one asks whether the disk is back; others wait for what it finds
		j.nextProbe = now.Add(j.probeBackoff)
	}
	return Admitted
}

// Begin is what has to be down before a request is run.
func (j *Table) Begin(e Entry) []Change {
	e.State, e.Response = Intent, Response{}
	n := &trackedEntry{Entry: e}
	if old := j.entries[e.Key]; old != nil {
		n.replaced = old.withoutResponse()
	}
	j.insert(n)
	j.Counters.Intents++
	return append(j.evictToFit(), Change{e.Key.RecordName(), n.Encode()})
}

// Complete is what is written after a run whose answer is to be kept for repeats.
func (j *Table) Complete(k Key, a Response) []Change {
	e := j.entries[k]
	if e == nil {
		return nil
	}
	j.dequeueFromEviction(e)
	e.replaced, e.State, e.Response = nil, Completed, a
	j.updateSize(e)
	j.enqueueForEviction(e)
	j.Counters.Completed++
	changes := j.evictToFit()
	if e.State == Completed { // else it was given up at once
		changes = append(changes, Change{k.RecordName(), e.Encode()})
	}
	return changes
}

// withoutResponse is an entry whose answer was given up.
func (e *Entry) withoutResponse() *Entry {
	o := *e
	if o.State == Completed {
		o.State, o.Response = Evicted, Response{}
	}
	return &o
}

// revert takes an intent back, and puts what it took the place of back in.
func (j *Table) revert(e *trackedEntry) {
	j.remove(e)
	if e.replaced != nil {
		j.insert(&trackedEntry{Entry: *e.replaced})
	}
}

// Abort is what is written where nothing ran after all: the key is as it was before.
func (j *Table) Abort(k Key) []Change {
	e := j.entries[k]
	if e == nil {
		return nil
	}
	j.revert(e)
	j.Counters.Aborted++
	if e.replaced != nil {
		return []Change{{k.RecordName(), e.replaced.Encode()}}
	}
	return []Change{{Name: k.RecordName()}}
}

// evictToFit gives up answers, oldest first, until all fits.
func (j *Table) evictToFit() (changes []Change) {
	for j.usedBytes > j.limits.MaxBytes && len(j.evictionQueue) > 0 {
		a := j.evictionQueue[0]
		j.evictionQueue = j.evictionQueue[1:]
		if a.entry.evictionSeq != a.seq {
			continue // it ran out, or another took its place
		}
		j.dequeueFromEviction(a.entry)
		a.entry.State, a.entry.Response = Evicted, Response{}
		j.updateSize(a.entry)
		j.Counters.Evicted++
		changes = append(changes, Change{a.entry.Key.RecordName(), a.entry.Encode()})
	}
	return changes
}

// Expire is the removal of what ran out, of so many records at the most.
func (j *Table) Expire(now time.Time, most int) (changes []Change) {
	for len(j.byExpiry) > 0 && len(changes) < most && now.After(j.byExpiry[0].ExpiresAt) {
		e := j.byExpiry[0]
		j.remove(e)
		j.Counters.Expired++
		changes = append(changes, Change{Name: e.Key.RecordName()})
	}
	if len(j.evictionQueue) > 64 && len(j.evictionQueue) > 2*len(j.entries) {
		kept := j.evictionQueue[:0]
		for _, a := range j.evictionQueue {
			if a.entry.evictionSeq == a.seq {
				kept = append(kept, a)
			}
		}
		j.evictionQueue = kept
	}
	return changes
}

// ObserveWrite hears of a write that is down, or of why it is not, and tells whether the mode changed.
func (j *Table) ObserveWrite(err error, now time.Time) (changed bool) {
	switch {
	case err == nil && j.diskState == DiskFailing:
		j.diskState, j.probeBackoff = DiskHealthy, 0
		j.Counters.Recoveries++
		return true
	case err == nil:
		return false
	}
	j.Counters.WriteFailures++
	changed = j.diskState == DiskHealthy
	j.diskState = DiskFailing
	j.probeBackoff = min(max(2*j.probeBackoff, minProbeBackoff), maxProbeBackoff)
	j.nextProbe = now.Add(j.probeBackoff)
	return changed
}

// RevertIntent takes an intent back that could not be written: its request is not run, so its key is as it was before.
func (j *Table) RevertIntent(k Key) {
	if e := j.entries[k]; e != nil && e.State == Intent {
		j.revert(e)
	}
}
