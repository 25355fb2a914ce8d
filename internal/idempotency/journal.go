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

// StoreCounts count what a store did with changes.
type StoreCounts struct {
	Syncs    uint64 // of batches of changes
	Changes  uint64 // that are down
	Reopened uint64 // times that the records were taken up anew after a failure
}

// Limits bound what is kept. The rule at the bound: an intent is never dropped within its window; answers are given up
// oldest first, and their repeats fail; where even that leaves no room, new keyed requests are turned away.
type Limits struct {
	Entries int   // keys
	Bytes   int64 // of records
}

// Mode is how the disk does.
type Mode uint8

// The modes.
const (
	Sound   Mode = iota
	Failing      // writes fail: keyed requests are turned away, all others are served; one write in a while asks whether it is over
)

// String says the mode.
func (m Mode) String() string { return [...]string{"sound", "failing"}[m] }

// Verdict is what becomes of a keyed request that repeats none.
type Verdict uint8

// The verdicts.
const (
	Protected Verdict = iota // it may be run once its intent is down
	NoRoom                   // the bound is reached
	NoDisk                   // the disk fails
)

// String says the verdict.
func (v Verdict) String() string {
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
	Intents, Results, Dropped, Expired, GivenUp, NoRoom, NoDisk, Failures, Recoveries uint64
}

// Journal is the state of all keyed requests that are kept.
type Journal struct {
	limits  Limits
	entries map[Key]*entry
	due     byUntil  // all, by when they run out
	answers []answer // kept, oldest first
	seq     uint64
	bytes   int64
	givable int64 // of that, answers, which may be given up
	mode    Mode
	probeAt time.Time
	pace    time.Duration
	Count   Counters
}

// answer is a kept answer's place in the order of keeping.
type answer struct {
	e   *entry
	seq uint64
}

// byUntil is a heap by when entries run out.
type byUntil []*entry

func (h byUntil) Len() int           { return len(h) }
func (h byUntil) Less(i, j int) bool { return h[i].Until.Before(h[j].Until) }
func (h byUntil) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }
func (h *byUntil) Push(x any)        { e := x.(*entry); e.pos = len(*h); *h = append(*h, e) }
func (h *byUntil) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// New returns an empty journal.
func New(l Limits) *Journal { return &Journal{limits: l, entries: map[Key]*entry{}} }

// Load takes in a record at the start. One that ran out is named for removal by Expire.
func (j *Journal) Load(name string, value []byte) error {
	e, err := Decode(name, value)
	if err != nil {
		return err
	}
	j.put(&entry{Entry: e})
	return nil
}

// Entries are all that are kept, in no order.
func (j *Journal) Entries() []Entry {
	list := make([]Entry, 0, len(j.due))
	for _, e := range j.due {
		list = append(list, e.Entry)
	}
	return list
}

// Size is how many keys are kept, and about how many bytes of records.
func (j *Journal) Size() (keys int, bytes int64) { return len(j.entries), j.bytes }

// Mode is how the disk does.
func (j *Journal) Mode() Mode { return j.mode }

// put takes an entry in, in place of one of its key.
func (j *Journal) put(e *entry) {
	if old := j.entries[e.Key]; old != nil {
		j.take(old)
	}
	j.entries[e.Key] = e
	heap.Push(&j.due, e)
	j.weigh(e)
	if e.State == Done {
		j.keep(e)
	}
}

// weigh counts what an entry takes now.
func (j *Journal) weigh(e *entry) {
	j.bytes -= e.size
	e.size = int64(overhead + len(e.Key.Class) + len(e.Key.Key) + e.Answer.size())
	j.bytes += e.size
}

// keep puts an entry's answer at the end of the order of keeping.
func (j *Journal) keep(e *entry) {
	j.seq++
	e.seq = j.seq
	j.givable += int64(e.Answer.size())
	j.answers = append(j.answers, answer{e, e.seq})
}

// take takes an entry out.
func (j *Journal) take(e *entry) {
	delete(j.entries, e.Key)
	heap.Remove(&j.due, e.pos)
	j.bytes -= e.size
	j.forgetAnswer(e)
	e.size = 0
}

// forgetAnswer takes an entry out of the order of keeping.
func (j *Journal) forgetAnswer(e *entry) {
	if e.seq != 0 {
		j.givable -= int64(e.Answer.size())
		e.seq = 0
	}
}

// Admit decides whether a keyed request that repeats none may be taken in.
func (j *Journal) Admit(now time.Time) Verdict {
	switch {
	case j.mode == Failing && now.Before(j.probeAt):
		j.Count.NoDisk++
		return NoDisk
	case len(j.entries) >= j.limits.Entries || j.bytes-j.givable+overhead > j.limits.Bytes:
		j.Count.NoRoom++
		return NoRoom
	}
	if j.mode == Failing { // this one asks whether the disk is back; others wait for what it finds
		j.probeAt = now.Add(j.pace)
	}
	return Protected
}

// Intend is what has to be down before a request is run.
func (j *Journal) Intend(e Entry) []Change {
	e.State, e.Answer = Intent, Answer{}
	n := &entry{Entry: e}
	if old := j.entries[e.Key]; old != nil {
		n.before = old.withoutAnswer()
	}
	j.put(n)
	j.Count.Intents++
	return append(j.fit(), Change{e.Key.Name(), n.Encode()})
}

// Finish is what is written after a run whose answer is to be kept for repeats.
func (j *Journal) Finish(k Key, a Answer) []Change {
	e := j.entries[k]
	if e == nil {
		return nil
	}
	j.forgetAnswer(e)
	e.before, e.State, e.Answer = nil, Done, a
	j.weigh(e)
	j.keep(e)
	j.Count.Results++
	changes := j.fit()
	if e.State == Done { // else it was given up at once
		changes = append(changes, Change{k.Name(), e.Encode()})
	}
	return changes
}

// withoutAnswer is an entry whose answer was given up.
func (e *Entry) withoutAnswer() *Entry {
	o := *e
	if o.State == Done {
		o.State, o.Answer = Lost, Answer{}
	}
	return &o
}

// takeBack takes an intent back, and puts what it took the place of back in.
func (j *Journal) takeBack(e *entry) {
	j.take(e)
	if e.before != nil {
		j.put(&entry{Entry: *e.before})
	}
}

// Drop is what is written where nothing ran after all: the key is as it was before.
func (j *Journal) Drop(k Key) []Change {
	e := j.entries[k]
	if e == nil {
		return nil
	}
	j.takeBack(e)
	j.Count.Dropped++
	if e.before != nil {
		return []Change{{k.Name(), e.before.Encode()}}
	}
	return []Change{{Name: k.Name()}}
}

// fit gives up answers, oldest first, until all fits.
func (j *Journal) fit() (changes []Change) {
	for j.bytes > j.limits.Bytes && len(j.answers) > 0 {
		a := j.answers[0]
		j.answers = j.answers[1:]
		if a.e.seq != a.seq {
			continue // it ran out, or another took its place
		}
		j.forgetAnswer(a.e)
		a.e.State, a.e.Answer = Lost, Answer{}
		j.weigh(a.e)
		j.Count.GivenUp++
		changes = append(changes, Change{a.e.Key.Name(), a.e.Encode()})
	}
	return changes
}

// Expire is the removal of what ran out, of so many records at the most.
func (j *Journal) Expire(now time.Time, most int) (changes []Change) {
	for len(j.due) > 0 && len(changes) < most && now.After(j.due[0].Until) {
		e := j.due[0]
		j.take(e)
		j.Count.Expired++
		changes = append(changes, Change{Name: e.Key.Name()})
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

// Wrote hears of a write that is down, or of why it is not, and tells whether the mode changed.
func (j *Journal) Wrote(err error, now time.Time) (changed bool) {
	switch {
	case err == nil && j.mode == Failing:
		j.mode, j.pace = Sound, 0
		j.Count.Recoveries++
		return true
	case err == nil:
		return false
	}
	j.Count.Failures++
	changed = j.mode == Sound
	j.mode = Failing
	j.pace = min(max(2*j.pace, probeFirst), probeMost)
	j.probeAt = now.Add(j.pace)
	return changed
}

// Undo takes an intent back that could not be written: its request is not run, so its key is as it was before.
func (j *Journal) Undo(k Key) {
	if e := j.entries[k]; e != nil && e.State == Intent {
		j.takeBack(e)
	}
}
