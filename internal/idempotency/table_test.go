package idempotency

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1764576000, 0)

// fakeDisk holds the durable records by name.
type fakeDisk map[string][]byte

// apply makes changes durable.
func (d fakeDisk) apply(changes []Change) {
	for _, c := range changes {
		if c.Value == nil {
			delete(d, c.Name)
		} else {
			d[c.Name] = c.Value
		}
	}
}

// restart returns a new table, loaded from the disk.
func (d fakeDisk) restart(t *rapid.T, limits Limits) *Table {
	restarted := NewTable(limits)
	for name, value := range d {
		if err := restarted.Load(name, value); err != nil {
			t.Fatal(err)
		}
	}
	return restarted
}

// states returns the state of each key of a table.
func states(table *Table) map[Key]State {
	m := map[Key]State{}
	for k, e := range table.entries {
		m[k] = e.State
	}
	return m
}

// TestTableSurvivesRestart performs random operations and applies their changes to a fake disk. After each operation a table
// loaded from the disk must know every run that has not expired and must have the same states and sizes as the table in
// memory, and the limits must hold.
func TestTableSurvivesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxKeys: rapid.IntRange(1, 8).Draw(t, "entries"), MaxBytes: int64(rapid.IntRange(300, 4000).Draw(t, "bytes"))}
		table, disk, now := NewTable(limits), fakeDisk{}, start
		knownUntil := map[Key]time.Time{} // until when a restarted table must know a run
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			k := Key{"c", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			known := table.entries[k] != nil
			switch step := rapid.IntRange(0, 5).Draw(t, "what"); {
			case step <= 1 && !known:
				if table.Admit(now) == Admitted {
					disk.apply(table.Begin(Entry{Key: k, ReceivedAt: now, ExpiresAt: now.Add(18 * time.Second), BodyHash: 7}))
					knownUntil[k] = now.Add(18 * time.Second)
				}
			case step <= 3 && known:
				disk.apply(table.Complete(k, Response{Status: 200, Body: make([]byte, rapid.IntRange(0, 900).Draw(t, "body"))}))
			case step == 4 && known && table.entries[k].State == Intent:
				disk.apply(table.Abort(k))
				delete(knownUntil, k)
			default:
				disk.apply(table.Expire(now, rapid.IntRange(1, 5).Draw(t, "most")))
			}
			keys, bytes := table.Size()
			if keys > limits.MaxKeys || bytes > limits.MaxBytes+recordOverhead+20 {
				t.Fatalf("table has %d keys and %d bytes, limits are %+v", keys, bytes, limits)
			}
			restarted := disk.restart(t, limits)
			for k, until := range knownUntil {
				if e := restarted.entries[k]; e == nil && !now.After(until) {
					t.Fatalf("run of %v is unknown after a restart at %v, want it known until %v", k, now, until)
				}
			}
			inMemory, durable := states(table), states(restarted)
			if !maps.Equal(inMemory, durable) || restarted.usedBytes != table.usedBytes || restarted.evictableBytes != table.evictableBytes {
				t.Fatalf("states in memory %v, after a restart %v; used bytes %d and %d", inMemory, durable, table.usedBytes, restarted.usedBytes)
			}
		}
	})
}

// TestDiskStates checks that requests with a key are rejected while the disk fails, that the disk is probed with a backoff,
// and that requests are admitted again after a successful write.
func TestDiskStates(t *testing.T) {
	table, now := NewTable(Limits{MaxKeys: 10, MaxBytes: 1e6}), start
	if !table.ObserveWrite(errors.New("EIO"), now) || table.DiskState() != DiskFailing || table.Admit(now) != DiskUnavailable {
		t.Fatalf("disk state %v", table.DiskState())
	}
	probes := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if table.Admit(now) == Admitted {
			probes++
			if table.ObserveWrite(errors.New("EIO"), now) {
				t.Error("ObserveWrite reports a changed state after another failure, want an unchanged one")
			}
		}
	}
	if probes < 5 || probes > 15 {
		t.Errorf("a disk that fails for a minute is probed %d times, want 5 to 15", probes)
	}
	now = now.Add(maxProbeBackoff)
	if table.Admit(now) != Admitted || table.Admit(now) != DiskUnavailable {
		t.Error("want the first request admitted as a probe and the second rejected until the probe's outcome is known")
	}
	if !table.ObserveWrite(nil, now) || table.DiskState() != DiskHealthy || table.Admit(now) != Admitted || table.Counters.Recoveries != 1 {
		t.Errorf("disk state %v after a successful write", table.DiskState())
	}
}

// TestEvictionBeforeRejection checks that responses are evicted before requests are rejected, and that no key is lost.
func TestEvictionBeforeRejection(t *testing.T) {
	table, now := NewTable(Limits{MaxKeys: 100, MaxBytes: 3000}), start
	n := 0
	for ; table.Admit(now) == Admitted; n++ {
		k := Key{"c", fmt.Sprintf("%032d", n)}
		table.Begin(Entry{Key: k, ExpiresAt: now.Add(time.Second)})
		table.Complete(k, Response{Status: 200, Body: make([]byte, 500)})
	}
	count := map[State]int{}
	for _, e := range table.Entries() {
		count[e.State]++
	}
	if n < 10 || count[Evicted] == 0 || count[Completed]+count[Evicted] != n || table.Counters.RejectedFull != 1 {
		t.Errorf("%d requests admitted, entries by state %v, counters %+v", n, count, table.Counters)
	}
	table.Expire(now.Add(2*time.Second), 1000)
	if keys, bytes := table.Size(); keys != 0 || bytes != 0 || table.evictableBytes != 0 || table.Admit(now) != Admitted {
		t.Errorf("%d keys and %d bytes are left after all entries expired", keys, bytes)
	}
}

// TestAbortAfterWindow reuses a key after its window for a request that is aborted. The entry of the earlier run must be
// restored, in memory and on the disk, since late attempts of that run may still arrive.
func TestAbortAfterWindow(t *testing.T) {
	for name, end := range map[string]func(table *Table, k Key) []Change{
		"Abort":        (*Table).Abort,
		"RevertIntent": func(table *Table, k Key) []Change { table.RevertIntent(k); return nil }, // the record was not overwritten
	} {
		table, k := NewTable(Limits{MaxKeys: 10, MaxBytes: 1e6}), Key{"c", "k"}
		table.Begin(Entry{Key: k, ReceivedAt: start, ExpiresAt: start.Add(21 * time.Second)})
		table.Complete(k, Response{Status: 200, Body: []byte("first")})
		table.Begin(Entry{Key: k, ReceivedAt: start.Add(19 * time.Second), ExpiresAt: start.Add(40 * time.Second)})
		changes := end(table, k)
		if list := table.Entries(); len(list) != 1 || list[0].State != Evicted || !list[0].ReceivedAt.Equal(start) {
			t.Errorf("%s: entries %+v, want the earlier one without its response", name, list)
		}
		if name == "Abort" {
			if e, err := DecodeEntry(changes[0].Name, changes[0].Value); err != nil || !e.ReceivedAt.Equal(start) {
				t.Errorf("written entry %+v, error %v, want the earlier entry", e, err)
			}
		}
		table.Begin(Entry{Key: k, ReceivedAt: start.Add(20 * time.Second), ExpiresAt: start.Add(41 * time.Second)})
		table.Complete(k, Response{Status: 200})
		if c := table.Abort(k); len(c) != 1 || c[0].Value != nil {
			t.Errorf("%s: aborting a completed request writes %+v, want only the removal of its record", name, c)
		}
	}
}
