package idempotency

import "time"

// trackedEntry is an Entry with its places in the table's indices.
type trackedEntry struct {
	Entry
	heapIndex   int
	evictionSeq uint64 // of its response in the eviction queue; 0 where it has none
	size        int64
	// replaced is the entry that an intent replaced. If the intent is aborted, attempts of the earlier run may still come.
	replaced *Entry
}

// Table is the state of all keys that are kept. It has no lock: it belongs to the server's goroutine.
type Table struct {
	Counters Counters

	limits   Limits
	entries  map[Key]*trackedEntry
	byExpiry expiryHeap

	// Eviction.
	evictionQueue   []evictionSlot // completed entries, oldest first
	lastEvictionSeq uint64
	usedBytes       int64
	evictableBytes  int64 // the part of usedBytes that eviction can free

	// The disk.
	diskState    DiskState
	nextProbe    time.Time
	probeBackoff time.Duration
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*trackedEntry{}}
}

// Load adds a record that was read at the start. If it has expired, the next Expire removes it.
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

// Size returns the number of keys and an estimate of the bytes of their records.
func (t *Table) Size() (keys int, bytes int64) { return len(t.entries), t.usedBytes }

// DiskState reports whether the last writes to the disk succeeded.
func (t *Table) DiskState() DiskState { return t.diskState }

// Begin records the intent to run a request and returns the changes that have to be durable before it runs.
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

// Complete records the response of a run, to be replayed to retries, and returns the changes to write.
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
	if entry.State == Completed { // a response larger than the limit was evicted by evictToFit, and its change is among those
		changes = append(changes, Change{key.RecordName(), entry.Encode()})
	}
	return changes
}

// Abort reverts an intent whose request did not run after all, and returns the change to write. The key gets back its earlier
// entry, if it had one.
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

// RevertIntent reverts an intent that could not be written. Its request does not run, so the key gets back its earlier entry,
// which is still the one on the disk.
func (t *Table) RevertIntent(key Key) {
	if e := t.entries[key]; e != nil && e.State == Intent {
		t.revert(e)
	}
}

// revert removes an entry and restores the one that it replaced.
func (t *Table) revert(e *trackedEntry) {
	t.remove(e)
	if e.replaced != nil {
		t.insert(&trackedEntry{Entry: *e.replaced})
	}
}
