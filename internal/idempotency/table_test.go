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

// fakeDisk is what is durable after the changes that a table asked for.
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

// restart returns a table that was loaded from the disk.
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

// TestTableSurvivesRestart checks random steps against plain maps: from what the changes made durable a restart always knows
// each run within its window, and the limits hold.
func TestTableSurvivesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxKeys: rapid.IntRange(1, 8).Draw(t, "entries"), MaxBytes: int64(rapid.IntRange(300, 4000).Draw(t, "bytes"))}
		table, disk, now := NewTable(limits), fakeDisk{}, start
		ran := map[Key]time.Time{} // until when a run must be known
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			k := Key{"c", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			known := table.entries[k] != nil
			switch step := rapid.IntRange(0, 5).Draw(t, "what"); {
			case step <= 1 && !known:
				if table.Admit(now) == Admitted {
					disk.apply(table.Begin(Entry{Key: k, ReceivedAt: now, ExpiresAt: now.Add(18 * time.Second), BodyHash: 7}))
					ran[k] = now.Add(18 * time.Second)
				}
			case step <= 3 && known:
				disk.apply(table.Complete(k, Response{Status: 200, Body: make([]byte, rapid.IntRange(0, 900).Draw(t, "body"))}))
			case step == 4 && known && table.entries[k].State == Intent:
				disk.apply(table.Abort(k))
				delete(ran, k)
			default:
				disk.apply(table.Expire(now, rapid.IntRange(1, 5).Draw(t, "most")))
			}
			keys, bytes := table.Size()
			if keys > limits.MaxKeys || bytes > limits.MaxBytes+recordOverhead+20 {
				t.Fatalf("%d keys and %d bytes of %+v", keys, bytes, limits)
			}
			restarted := disk.restart(t, limits)
			for k, until := range ran {
				if e := restarted.entries[k]; e == nil && !now.After(until) {
					t.Fatalf("%v ran, and a restart at %v would not know it until %v", k, now, until)
				}
			}
			inMemory, durable := states(table), states(restarted)
			if !maps.Equal(inMemory, durable) || restarted.usedBytes != table.usedBytes || restarted.evictableBytes != table.evictableBytes {
				t.Fatalf("in memory %v, on the disk %v; %d and %d bytes", inMemory, durable, table.usedBytes, restarted.usedBytes)
			}
		}
	})
}

// TestDiskStates has a failing disk reject requests with a key, be probed now and then, and admit them again once it works.
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
				t.Error("the state changed though it is the same")
			}
		}
	}
	if probes < 5 || probes > 15 {
		t.Errorf("a disk that fails for a minute is probed %d times", probes)
	}
	now = now.Add(maxProbeBackoff)
	if table.Admit(now) != Admitted || table.Admit(now) != DiskUnavailable {
		t.Error("one write probes the disk, and the others wait for what it shows")
	}
	if !table.ObserveWrite(nil, now) || table.DiskState() != DiskHealthy || table.Admit(now) != Admitted || table.Counters.Recoveries != 1 {
		t.Errorf("disk state %v after a write that succeeded", table.DiskState())
	}
}

// TestEvictionBeforeRejection evicts responses before it rejects requests, and never an intent.
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
		t.Errorf("%d admitted, %v, %+v", n, count, table.Counters)
	}
	table.Expire(now.Add(2*time.Second), 1000)
	if keys, bytes := table.Size(); keys != 0 || bytes != 0 || table.evictableBytes != 0 || table.Admit(now) != Admitted {
		t.Errorf("%d keys and %d bytes are left", keys, bytes)
	}
}

// TestAbortAfterWindow uses a key again after its window, for a run that is aborted: the run before is known again, in memory
// and on the disk, for its late attempts.
func TestAbortAfterWindow(t *testing.T) {
	for name, end := range map[string]func(table *Table, k Key) []Change{
		"dropped": (*Table).Abort,
		"undone":  func(table *Table, k Key) []Change { table.RevertIntent(k); return nil }, // nothing was written over the record
	} {
		table, k := NewTable(Limits{MaxKeys: 10, MaxBytes: 1e6}), Key{"c", "k"}
		table.Begin(Entry{Key: k, ReceivedAt: start, ExpiresAt: start.Add(21 * time.Second)})
		table.Complete(k, Response{Status: 200, Body: []byte("first")})
		table.Begin(Entry{Key: k, ReceivedAt: start.Add(19 * time.Second), ExpiresAt: start.Add(40 * time.Second)})
		changes := end(table, k)
		if list := table.Entries(); len(list) != 1 || list[0].State != Evicted || !list[0].ReceivedAt.Equal(start) {
			t.Errorf("%s: %+v", name, list)
		}
		if name == "dropped" {
			if e, err := DecodeEntry(changes[0].Name, changes[0].Value); err != nil || !e.ReceivedAt.Equal(start) {
				t.Errorf("written: %+v, %v", e, err)
			}
		}
		table.Begin(Entry{Key: k, ReceivedAt: start.Add(20 * time.Second), ExpiresAt: start.Add(41 * time.Second)})
		table.Complete(k, Response{Status: 200})
		if c := table.Abort(k); len(c) != 1 || c[0].Value != nil {
			t.Errorf("%s: a run of its own does not end the one before: %+v", name, c)
		}
	}
}
