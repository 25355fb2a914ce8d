package idempotency

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1764576000, 0)

// TestTableSurvivesRestart checks random steps against plain maps: what is on the disk, as the changes say, always allows a restart to
// know each run within its window, and the bounds hold.
func TestTableSurvivesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxKeys: rapid.IntRange(1, 8).Draw(t, "entries"), MaxBytes: int64(rapid.IntRange(300, 4000).Draw(t, "bytes"))}
		j, disk, now := NewTable(limits), map[string][]byte{}, start
		ran := map[Key]time.Time{} // until when it must be known
		write := func(changes []Change) {
			for _, c := range changes {
				if c.Value == nil {
					delete(disk, c.Name)
				} else {
					disk[c.Name] = c.Value
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			k := Key{"c", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			known := j.entries[k] != nil
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what <= 1 && !known:
				if j.Admit(now) == Admitted {
					write(j.Begin(Entry{Key: k, ReceivedAt: now, ExpiresAt: now.Add(18 * time.Second), BodyHash: 7}))
					ran[k] = now.Add(18 * time.Second)
				}
			case what <= 3 && known:
				write(j.Complete(k, Response{Status: 200, Body: make([]byte, rapid.IntRange(0, 900).Draw(t, "body"))}))
			case what == 4 && known && j.entries[k].State == Intent:
				write(j.Abort(k))
				delete(ran, k)
			default:
				write(j.Expire(now, rapid.IntRange(1, 5).Draw(t, "most")))
			}
			keys, bytes := j.Size()
			if keys > limits.MaxKeys || bytes > limits.MaxBytes+recordOverhead+20 {
				t.Fatalf("%d keys and %d bytes of %+v", keys, bytes, limits)
			}
			back := NewTable(limits)
			for name, value := range disk {
				if err := back.Load(name, value); err != nil {
					t.Fatal(err)
				}
			}
			for k, until := range ran {
				if e := back.entries[k]; e == nil && !now.After(until) {
					t.Fatalf("%v ran, and a restart at %v would not know it until %v", k, now, until)
				}
			}
			mine := map[Key]State{}
			for k, e := range j.entries {
				mine[k] = e.State
			}
			theirs := map[Key]State{}
			for k, e := range back.entries {
				theirs[k] = e.State
			}
			if !maps.Equal(mine, theirs) || back.usedBytes != j.usedBytes || back.evictableBytes != j.evictableBytes {
				t.Fatalf("in memory %v, on the disk %v; %d and %d bytes", mine, theirs, j.usedBytes, back.usedBytes)
			}
		}
	})
}

// TestDiskStates has a failing disk turn keyed requests away, asks it now and then, and takes them again once it is back.
func TestDiskStates(t *testing.T) {
	j, now := NewTable(Limits{MaxKeys: 10, MaxBytes: 1e6}), start
	if !j.ObserveWrite(errors.New("EIO"), now) || j.DiskState() != DiskFailing || j.Admit(now) != DiskUnavailable {
		t.Fatalf("mode %v", j.DiskState())
	}
	asked := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if j.Admit(now) == Admitted {
			asked++
			if j.ObserveWrite(errors.New("EIO"), now) {
				t.Error("the mode changed though it is the same")
			}
		}
	}
	if asked < 5 || asked > 15 {
		t.Errorf("a disk that fails for a minute is asked %d times", asked)
	}
	now = now.Add(maxProbeBackoff)
	if j.Admit(now) != Admitted || j.Admit(now) != DiskUnavailable {
		t.Error("one write asks, and the others wait for what it finds")
	}
	if !j.ObserveWrite(nil, now) || j.DiskState() != DiskHealthy || j.Admit(now) != Admitted || j.Counters.Recoveries != 1 {
		t.Errorf("mode %v after a write that went well", j.DiskState())
	}
}

// TestEvictionBeforeRejection gives up answers before it turns requests away, and never an intent.
func TestEvictionBeforeRejection(t *testing.T) {
	j, now := NewTable(Limits{MaxKeys: 100, MaxBytes: 3000}), start
	n := 0
	for ; j.Admit(now) == Admitted; n++ {
		k := Key{"c", fmt.Sprintf("%032d", n)}
		j.Begin(Entry{Key: k, ExpiresAt: now.Add(time.Second)})
		j.Complete(k, Response{Status: 200, Body: make([]byte, 500)})
	}
	states := map[State]int{}
	for _, e := range j.Entries() {
		states[e.State]++
	}
	if n < 10 || states[Evicted] == 0 || states[Completed]+states[Evicted] != n || j.Counters.RejectedFull != 1 {
		t.Errorf("%d taken, %v, %+v", n, states, j.Counters)
	}
	j.Expire(now.Add(2*time.Second), 1000)
	if keys, bytes := j.Size(); keys != 0 || bytes != 0 || j.evictableBytes != 0 || j.Admit(now) != Admitted {
		t.Errorf("%d keys and %d bytes are left", keys, bytes)
	}
}

// TestAbortAfterWindow has a key used anew after its window, for a run that comes to nothing: the run before it is known
// again, in memory and on the disk, for its late tries.
func TestAbortAfterWindow(t *testing.T) {
	for name, end := range map[string]func(j *Table, k Key) []Change{
		"dropped": (*Table).Abort,
		"undone":  func(j *Table, k Key) []Change { j.RevertIntent(k); return nil }, // nothing was written over the record
	} {
		j, k := NewTable(Limits{MaxKeys: 10, MaxBytes: 1e6}), Key{"c", "k"}
		j.Begin(Entry{Key: k, ReceivedAt: start, ExpiresAt: start.Add(21 * time.Second)})
		j.Complete(k, Response{Status: 200, Body: []byte("first")})
		j.Begin(Entry{Key: k, ReceivedAt: start.Add(19 * time.Second), ExpiresAt: start.Add(40 * time.Second)})
		changes := end(j, k)
		if list := j.Entries(); len(list) != 1 || list[0].State != Evicted || !list[0].ReceivedAt.Equal(start) {
			t.Errorf("%s: %+v", name, list)
		}
		if name == "dropped" {
			if e, err := DecodeEntry(changes[0].Name, changes[0].Value); err != nil || !e.ReceivedAt.Equal(start) {
				t.Errorf("written: %+v, %v", e, err)
			}
		}
		j.Begin(Entry{Key: k, ReceivedAt: start.Add(20 * time.Second), ExpiresAt: start.Add(41 * time.Second)})
		j.Complete(k, Response{Status: 200})
		if c := j.Abort(k); len(c) != 1 || c[0].Value != nil {
			t.Errorf("%s: a run of its own does not end the one before: %+v", name, c)
		}
	}
}

// TestEntryRoundTrip reads what it writes, and names any flipped bit.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Entry{Key: Key{rapid.StringMatching(`[a-z-]{1,9}`).Draw(t, "class"), rapid.StringMatching(`[0-9a-f]{32}`).Draw(t, "key")},
			State: State(rapid.IntRange(1, 3).Draw(t, "state")), ReceivedAt: start, ExpiresAt: start.Add(time.Hour), BodyHash: rapid.Uint64().Draw(t, "sum"),
			Response: Response{Status: 200, Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"), Header: []HeaderField{{"A", "b"}}}}
		if e.Response.Body == nil {
			e.Response.Body = []byte{}
		}
		b := e.Encode()
		back, err := DecodeEntry(e.Key.RecordName(), b)
		if err != nil || !reflect.DeepEqual(back, e) {
			t.Fatalf("%v: %+v, want %+v", err, back, e)
		}
		bit := rapid.IntRange(0, len(b)*8-1).Draw(t, "bit")
		b[bit/8] ^= 1 << (bit % 8)
		if _, err := DecodeEntry(e.Key.RecordName(), b); !errors.Is(err, ErrBadRecord) {
			t.Fatalf("a flipped bit: %v", err)
		}
	})
}

// FuzzDecodeEntry reads any bytes without a panic.
func FuzzDecodeEntry(f *testing.F) {
	e := Entry{Key: Key{"c", "k"}, State: Completed, ReceivedAt: start, ExpiresAt: start, Response: Response{Status: 200, Body: []byte("x")}}
	f.Add(e.Key.RecordName(), e.Encode())
	f.Add("k/", []byte{})
	f.Fuzz(func(t *testing.T, name string, b []byte) {
		if e, err := DecodeEntry(name, b); err == nil {
			if back, err := DecodeEntry(e.Key.RecordName(), e.Encode()); err != nil || !reflect.DeepEqual(back, e) {
				t.Errorf("%v: %+v, want %+v", err, back, e)
			}
		}
	})
}

// TestRunTimes reads what it writes, names any flipped bit, and counts what is old for less.
func TestRunTimes(t *testing.T) {
	l := &RunTimes{SavedAt: start, Machine: "m", Classes: []ClassRunTime{{"a", 20 * time.Millisecond, 30 * time.Millisecond, 500}, {Name: "never"},
		{"b", time.Second, 2 * time.Second, 3}}}
	b := l.Encode()
	back, err := DecodeRunTimes(b)
	if err != nil || !reflect.DeepEqual(back, l) {
		t.Fatalf("%v: %+v", err, back)
	}
	for bit := range len(b) * 8 {
		b[bit/8] ^= 1 << (bit % 8)
		if _, err := DecodeRunTimes(b); !errors.Is(err, ErrBadRecord) {
			t.Fatalf("bit %d flipped: %v", bit, err)
		}
		b[bit/8] ^= 1 << (bit % 8)
	}
	for _, c := range []struct {
		age     time.Duration
		machine string
		runs    []int
	}{{0, "m", []int{3, 3}}, {time.Hour, "m", []int{2, 2}}, {10 * time.Hour, "m", []int{1, 1}}, {25 * time.Hour, "m", nil}, {-time.Hour, "m", []int{3, 3}},
		{-3 * time.Hour, "m", nil}, {0, "other", nil}} {
		var runs []int
		for _, k := range l.WeightByAge(start.Add(c.age), c.machine) {
			runs = append(runs, k.Samples)
		}
		if !reflect.DeepEqual(runs, c.runs) {
			t.Errorf("aged %v on %s: counts as %v runs, want %v", c.age, c.machine, runs, c.runs)
		}
	}
}

// FuzzDecodeRunTimes reads any bytes without a panic.
func FuzzDecodeRunTimes(f *testing.F) {
	f.Add((&RunTimes{SavedAt: start, Machine: "m", Classes: []ClassRunTime{{"a", time.Second, time.Second, 1}}}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := DecodeRunTimes(b); err == nil {
			l.WeightByAge(start, "m")
			if back, err := DecodeRunTimes(l.Encode()); err != nil || !reflect.DeepEqual(back, l) {
				t.Errorf("%v: %+v, want %+v", err, back, l)
			}
		}
	})
}
