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
	probeFirst = 500 * time.Millisecond
	probeMost  = 10 * time.Second
)

// overhead is about what a record takes beside its answer.
const overhead = 160

// entry is an Entry with its place among those that run out.
type entry struct {
	Entry
	pos    int
	seq    uint64 // of its answer, in the order of keeping
	size   int64
	before *Entry // what an intent took the place of: where it comes to nothing, tries of the run before it may still come
}

// Counters count what was decided.
type Counters struct {
	Intents, Completed, Aborted, Expired, Evicted, RejectedFull, RejectedDisk, WriteFailures, Recoveries uint64
}

// Table is the state of all keyed requests that are kept.
type Table struct {
	limits   Limits
	entries  map[Key]*entry
	due      byUntil  // all, by when they run out
	answers  []answer // kept, oldest first
	seq      uint64
	bytes    int64
	givable  int64 // of that, answers, which may be given up
	mode     DiskState
	probeAt  time.Time
	pace     time.Duration
	Counters Counters
}

// answer is a kept answer's place in the order of keeping.
type answer struct {
	e   *entry
	seq uint64
}

// byUntil is a heap by when entries run out.
type byUntil []*entry

func (h byUntil) Len() int           { return len(h) }
func (h byUntil) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
func (h byUntil) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }
func (h *byUntil) Push(x any)        { e := x.(*entry); e.pos = len(*h); *h = append(*h, e) }
func (h *byUntil) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// NewTable returns an empty journal.
func NewTable(l Limits) *Table { return &Table{limits: l, entries: map[Key]*entry{}} }

// Load takes in a record at the start. One that ran out is named for removal by Expire.
func (j *Table) Load(name string, value []byte) error {
	e, err := DecodeEntry(name, value)
	if err != nil {
		return err
	}
	j.put(&entry{Entry: e})
	return nil
}

// MaxKeys are all that are kept, in no order.
func (j *Table) Entries() []Entry {
	list := make([]Entry, 0, len(j.due))
	for _, e := range j.due {
		list = append(list, e.Entry)
	}
	return list
}

// Size is how many keys are kept, and about how many bytes of records.
func (j *Table) Size() (keys int, bytes int64) { return len(j.entries), j.bytes }

// DiskState is how the disk does.
func (j *Table) DiskState() DiskState { return j.mode }

// put takes an entry in, in place of one of its key.
func (j *Table) put(e *entry) {
	if old := j.entries[e.Key]; old != nil {
		j.take(old)
	}
	j.entries[e.Key] = e
	heap.Push(&j.due, e)
	j.weigh(e)
	if e.State == Completed {
		j.keep(e)
	}
}

// weigh counts what an entry takes now.
func (j *Table) weigh(e *entry) {
	j.bytes -= e.size
	e.size = int64(overhead + len(e.Key.Class) + len(e.Key.Key) + e.Response.size())
	j.bytes += e.size
}

// keep puts an entry's answer at the end of the order of keeping.
func (j *Table) keep(e *entry) {
	j.seq++
	e.seq = j.seq
	j.givable += int64(e.Response.size())
	j.answers = append(j.answers, answer{e, e.seq})
}

// take takes an entry out.
func (j *Table) take(e *entry) {
	delete(j.entries, e.Key)
	heap.Remove(&j.due, e.pos)
	j.bytes -= e.size
	j.forgetAnswer(e)
	e.size = 0
}

// forgetAnswer takes an entry out of the order of keeping.
func (j *Table) forgetAnswer(e *entry) {
	if e.seq != 0 {
		j.givable -= int64(e.Response.size())
		e.seq = 0
	}
}

// Admit decides whether a keyed request that repeats none may be taken in.
func (j *Table) Admit(now time.Time) Decision {
	switch {
	case j.mode == DiskFailing && now.Before(j.probeAt):
		j.Counters.RejectedDisk++
		return DiskUnavailable
	case len(j.entries) >= j.limits.MaxKeys || j.bytes-j.givable+overhead > j.limits.MaxBytes:
		j.Counters.RejectedFull++
		return TableFull
	}
	if j.mode == DiskFailing { // this one asks whether the disk is back; others wait for what it finds
		j.probeAt = now.Add(j.pace)
	}
	return Admitted
}

// Begin is what has to be down before a request is run.
func (j *Table) Begin(e Entry) []Change {
	e.State, e.Response = Intent, Response{}
	n := &entry{Entry: e}
	if old := j.entries[e.Key]; old != nil {
		n.before = old.withoutAnswer()
	}
	j.put(n)
	j.Counters.Intents++
	return append(j.fit(), Change{e.Key.RecordName(), n.Encode()})
}

// Complete is what is written after a run whose answer is to be kept for repeats.
func (j *Table) Complete(k Key, a Response) []Change {
	e := j.entries[k]
	if e == nil {
		return nil
	}
	j.forgetAnswer(e)
	e.before, e.State, e.Response = nil, Completed, a
	j.weigh(e)
	j.keep(e)
	j.Counters.Completed++
	changes := j.fit()
	if e.State == Completed { // else it was given up at once
		changes = append(changes, Change{k.RecordName(), e.Encode()})
	}
	return changes
}

// withoutAnswer is an entry whose answer was given up.
func (e *Entry) withoutAnswer() *Entry {
	o := *e
	if o.State == Completed {
		o.State, o.Response = Evicted, Response{}
	}
	return &o
}

// takeBack takes an intent back, and puts what it took the place of back in.
func (j *Table) takeBack(e *entry) {
	j.take(e)
	if e.before != nil {
		j.put(&entry{Entry: *e.before})
	}
}

// Abort is what is written where nothing ran after all: the key is as it was before.
func (j *Table) Abort(k Key) []Change {
	e := j.entries[k]
	if e == nil {
		return nil
	}
	j.takeBack(e)
	j.Counters.Aborted++
	if e.before != nil {
		return []Change{{k.RecordName(), e.before.Encode()}}
	}
	return []Change{{Name: k.RecordName()}}
}

// fit gives up answers, oldest first, until all fits.
func (j *Table) fit() (changes []Change) {
	for j.bytes > j.limits.MaxBytes && len(j.answers) > 0 {
		a := j.answers[0]
		j.answers = j.answers[1:]
		if a.e.seq != a.seq {
			continue // it ran out, or another took its place
		}
		j.forgetAnswer(a.e)
		a.e.State, a.e.Response = Evicted, Response{}
		j.weigh(a.e)
		j.Counters.Evicted++
		changes = append(changes, Change{a.e.Key.RecordName(), a.e.Encode()})
	}
	return changes
}

// Expire is the removal of what ran out, of so many records at the most.
func (j *Table) Expire(now time.Time, most int) (changes []Change) {
	for len(j.due) > 0 && len(changes) < most && now.After(j.due[0].ExpiresAt) {
		e := j.due[0]
		j.take(e)
		j.Counters.Expired++
		changes = append(changes, Change{Name: e.Key.RecordName()})
	}
	if len(j.answers) > 64 && len(j.answers) > 2*len(j.entries) {
		kept := j.answers[:0]
		for _, a := range j.answers {
			if a.e.seq == a.seq {
				kept = append(kept, a)
			}
		}
		j.answers = kept
	}
	return changes
}

// ObserveWrite hears of a write that is down, or of why it is not, and tells whether the mode changed.
func (j *Table) ObserveWrite(err error, now time.Time) (changed bool) {
	switch {
	case err == nil && j.mode == DiskFailing:
		j.mode, j.pace = DiskHealthy, 0
		j.Counters.Recoveries++
		return true
	case err == nil:
		return false
	}
	j.Counters.WriteFailures++
	changed = j.mode == DiskHealthy
	j.mode = DiskFailing
	j.pace = min(max(2*j.pace, probeFirst), probeMost)
	j.probeAt = now.Add(j.pace)
	return changed
}

// RevertIntent takes an intent back that could not be written: its request is not run, so its key is as it was before.
func (j *Table) RevertIntent(k Key) {
	if e := j.entries[k]; e != nil && e.State == Intent {
		j.takeBack(e)
	}
}
