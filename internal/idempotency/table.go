package idempotency

import "time"

// trackedEntry is an Entry with its positions in the table's indexes.
type trackedEntry struct {
	Entry
	heapIndex   int
	evictionSeq uint64 // sequence number of its response in the eviction queue; 0 if it is not queued
	size        int64  // estimated size of its record in bytes
	// replaced is the entry that this intent replaced, without its response; nil if there was none. It is restored when the
	// intent is aborted, since late attempts of the earlier request may still arrive.
	replaced *Entry
}

// Table holds the entries of all keys until Expire removes them. It has no lock: only the server's goroutine may use it.
type Table struct {
	Counters Counters

	limits   Limits
	entries  map[Key]*trackedEntry
	byExpiry expiryHeap

	// Size and eviction.
	evictionQueue   []evictionSlot // responses of completed entries, oldest first
	lastEvictionSeq uint64
	usedBytes       int64 // estimated size of all records
	evictableBytes  int64 // the part of usedBytes that eviction can free

	// Disk state.
	diskState    DiskState
	nextProbe    time.Time
	probeBackoff time.Duration
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*trackedEntry{}}
}

// Load adds a record that was read from the store at startup. If it has expired, a later call of Expire removes it.
func (t *Table) Load(name string, value []byte) error {
	e, err := DecodeEntry(name, value)
	if err != nil {
		return err
	}
	t.insert(&trackedEntry{Entry: e})
	return nil
}

// Entries returns all entries, in no particular order.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.byExpiry))
	for _, e := range t.byExpiry {
		list = append(list, e.Entry)
	}
	return list
}

// Size returns the number of keys and the estimated size of their records in bytes.
func (t *Table) Size() (keys int, bytes int64) { return len(t.entries), t.usedBytes }

// DiskState returns whether the last writes to the disk succeeded.
func (t *Table) DiskState() DiskState { return t.diskState }

// Begin records the intent to run a request and returns the changes that must be durable before the request runs.
func (t *Table) Begin(e Entry) []Change {
	e.State, e.Response = Intent, Response{}
	intent := &trackedEntry{Entry: e}
	if old := t.entries[e.Key]; old != nil {
		intent.replaced = old.withoutResponse()
	}
	t.insert(intent)
	t.Counters.Intents++
	return append(t.evictToFit(), Change{e.Key.RecordName(), intent.Encode()})
}

// Complete records the response of a run, which is replayed to retries, and returns the changes to write.
func (t *Table) Complete(key Key, response Response) []Change {
	entry := t.entries[key]
	if entry == nil {
		return nil
	}
	t.dequeueFromEviction(entry)
	entry.replaced = nil
	entry.State, entry.Response = Completed, response
	t.updateSize(entry)
	t.enqueueForEviction(entry)
	t.Counters.Completed++
	changes := t.evictToFit()
	// If evicting all older responses did not free enough, evictToFit has also evicted this one and returned its change.
	if entry.State == Completed {
		changes = append(changes, Change{key.RecordName(), entry.Encode()})
	}
	return changes
}

// Abort reverts an intent whose request did not run and returns the change to write. It restores the entry that the intent
// replaced, if there was one.
func (t *Table) Abort(key Key) []Change {
	e := t.entries[key]
	if e == nil {
		return nil
	}
	t.revert(e)
	t.Counters.Aborted++
	if e.replaced != nil {
		return []Change{{key.RecordName(), e.replaced.Encode()}}
	}
	return []Change{{Name: key.RecordName()}}
}

// RevertIntent reverts an intent that could not be written and whose request therefore does not run. It restores the entry
// that the intent replaced, if there was one. There is no change to write: the disk still has that entry.
func (t *Table) RevertIntent(key Key) {
	if e := t.entries[key]; e != nil && e.State == Intent {
		t.revert(e)
	}
}

// revert removes an entry and restores the entry that it replaced, if there was one.
func (t *Table) revert(e *trackedEntry) {
	t.remove(e)
	if e.replaced != nil {
		t.insert(&trackedEntry{Entry: *e.replaced})
	}
}
