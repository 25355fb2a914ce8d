package store

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
)

// powerCuts is the number of power cuts of TestPowerCuts; docs/design/state.md has the results of runs with more cuts.
var powerCuts = flag.Int("cuts", 150, "number of power cuts to simulate")

// config returns the configuration of the tests' directory on a file system.
func config(fsys vfs.FS) Config {
	return Config{Dir: "/state", Server: "n3", SiteFingerprint: "s", FS: fsys}
}

// open opens the tests' directory.
func open(t testing.TB, fsys vfs.FS) *Store {
	t.Helper()
	s, err := Open(config(fsys))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// contents returns all records of a store.
func contents(t testing.TB, s *Store) map[string]string {
	t.Helper()
	m := map[string]string{}
	if err := s.ForEach("", func(name, value []byte) error { m[string(name)] = string(value); return nil }); err != nil {
		t.Fatal(err)
	}
	return m
}

// write writes changes, waits for the outcome and returns it.
func write(s *Store, changes ...Change) error {
	done := make(chan error, 1)
	if err := s.Write(changes, func(err error) { done <- err }); err != nil {
		return err
	}
	return <-done
}

// readLogs returns the bytes of the directory's write-ahead logs by name, including bytes that were never synced.
func readLogs(t testing.TB, fsys *vfs.MemFS) map[string][]byte {
	t.Helper()
	names, err := fsys.List("/state")
	if err != nil {
		t.Fatal(err)
	}
	logs := map[string][]byte{}
	for _, name := range names {
		if filepath.Ext(name) != ".log" {
			continue
		}
		f, err := fsys.Open(fsys.PathJoin("/state", name))
		if errors.Is(err, fs.ErrNotExist) {
			continue // the database has removed it in the background
		}
		if err != nil {
			t.Fatal(err)
		}
		if logs[name], err = io.ReadAll(f); err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	return logs
}

// sectorBytes is the unit that a disk writes atomically, in bytes; sectors may be written in any order.
const sectorBytes = 512

// tearLogs restores a part of the logs' unsynced bytes, as if the disk had been writing at the power cut: a prefix, sometimes
// with sectors missing before its end or with a flipped bit. before has the logs' bytes at the power cut. It returns how many
// logs it tore.
func tearLogs(t testing.TB, fsys *vfs.MemFS, before map[string][]byte, rng *rand.Rand) int {
	t.Helper()
	torn := 0
	for name, content := range before {
		path := fsys.PathJoin("/state", name)
		info, err := fsys.Stat(path)
		if err != nil || info.Size() >= int64(len(content)) {
			continue
		}
		lost := append([]byte(nil), content[info.Size():]...)
		lost = lost[:rng.IntN(len(lost)+1)]
		if rng.IntN(3) == 0 {
			for from := 0; from < len(lost); { // up to the next sector boundary of the file
				to := min(from+sectorBytes-int(info.Size()+int64(from))%sectorBytes, len(lost))
				if rng.IntN(2) == 0 {
					clear(lost[from:to])
				}
				from = to
			}
		}
		if len(lost) > 0 && rng.IntN(2) == 0 {
			lost[rng.IntN(len(lost))] ^= 1 << rng.IntN(8)
		}
		f, err := fsys.OpenReadWrite(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.WriteAt(lost, info.Size()); err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
		f.Close()
		torn++
	}
	return torn
}

// randomChanges returns random changes of up to three records, as a list and as a map from name to value; "" is a removal.
func randomChanges(rng *rand.Rand) ([]Change, map[string]string) {
	byName := map[string]string{}
	var list []Change
	for range 1 + rng.IntN(3) {
		name := fmt.Sprint("k", rng.IntN(40))
		if _, twice := byName[name]; twice {
			continue
		}
		c := Change{Name: name}
		if rng.IntN(4) > 0 {
			c.Value = fmt.Appendf(nil, "%d %s", rng.Uint64(), strings.Repeat("x", rng.IntN(400)))
		}
		byName[name] = string(c.Value)
		list = append(list, c)
	}
	return list, byName
}

// writeHistory tracks the requests that were written to a store and which of them were reported as durable.
type writeHistory struct {
	mu         sync.Mutex
	durable    map[string]string   // records after the requests that were reported as durable
	unreported []map[string]string // requests whose outcome was not reported, in order
}

// writeRandom writes a request with random changes.
func (h *writeHistory) writeRandom(t *testing.T, s *Store, rng *rand.Rand) {
	t.Helper()
	list, changes := randomChanges(rng)
	h.mu.Lock()
	h.unreported = append(h.unreported, changes)
	h.mu.Unlock()
	err := s.Write(list, func(err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if err == nil { // requests are written and reported in order, so this is the first unreported one
			apply(h.durable, h.unreported[0])
		}
		h.unreported = h.unreported[1:]
	})
	if err != nil {
		t.Fatal(err)
	}
}

// cutPower makes the file system ignore all further syncs. It returns the records that were reported as durable, the requests
// that were not reported, and the bytes of the logs.
func (h *writeHistory) cutPower(t *testing.T, fsys *vfs.MemFS) (
	durable map[string]string, unreported []map[string]string, logs map[string][]byte,
) {
	t.Helper()
	h.mu.Lock() // prevents reports meanwhile
	defer h.mu.Unlock()
	fsys.SetIgnoreSyncs(true)
	return maps.Clone(h.durable), append([]map[string]string(nil), h.unreported...), readLogs(t, fsys)
}

// TestPowerCuts cuts the power at random points of random writes. Afterwards the store must have all requests that were
// reported as durable, each other request completely or not at all, and nothing else.
func TestPowerCuts(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	fsys := vfs.NewStrictMem()
	durable := map[string]string{}
	torn, kept, dropped := 0, 0, 0
	for cut := range *powerCuts {
		s := open(t, fsys)
		if got := contents(t, s); !maps.Equal(got, durable) {
			t.Fatalf("cut %d: %d records after reopening, want the same %d records as before", cut, len(got), len(durable))
		}
		writes := &writeHistory{durable: durable}
		for range rng.IntN(20) {
			writes.writeRandom(t, s, rng)
			if rng.IntN(3) == 0 {
				time.Sleep(time.Duration(rng.IntN(60)) * time.Microsecond)
			}
		}
		reported, unreported, logs := writes.cutPower(t, fsys)
		s.Close()
		fsys.ResetToSyncedState()
		fsys.SetIgnoreSyncs(false)
		torn += tearLogs(t, fsys, logs, rng)
		s = open(t, fsys)
		got := contents(t, s)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		// The records must be the result of all reported requests and a prefix of the unreported ones, each applied completely.
		durable = reported
		for n := 0; !maps.Equal(got, durable); n++ {
			if n == len(unreported) {
				t.Fatalf("cut %d: the store does not have the state after a prefix of the requests: %d records", cut, len(got))
			}
			apply(durable, unreported[n])
			kept++
		}
		dropped += len(unreported)
	}
	t.Logf("%d power cuts, %d logs torn, %d requests unreported at a cut, of which %d were durable", *powerCuts, torn, dropped, kept)
}

// apply applies a request's changes to a map.
func apply(m, changes map[string]string) {
	for name, value := range changes {
		if value == "" {
			delete(m, name)
		} else {
			m[name] = value
		}
	}
}

// TestEveryCallFails makes each call to the file system fail in turn, either only this call or this and all later ones.
// There must be no panic in the background, nothing that was reported as durable may be lost, and the directory must open
// again once the disk works.
func TestEveryCallFails(t *testing.T) {
	for _, forever := range []bool{false, true} {
		injected := 0
		for index := int32(0); ; index++ {
			fsys := vfs.NewMem()
			at := errorfs.OnIndex(index)
			var hit atomic.Bool // atomic because the database removes files in the background
			durable := map[string]string{}
			err := openAndWrite(errorfs.Wrap(fsys, errorfs.InjectorFunc(func(op errorfs.Op, path string) error {
				if hit.Load() && forever {
					return errorfs.ErrInjected
				}
				err := at.MaybeError(op, path)
				if err != nil {
					hit.Store(true)
				}
				return err
			})), durable)
			if !hit.Load() {
				break // openAndWrite makes no more calls
			}
			injected++
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("call %d failed: the error has more than one line: %v", index, err)
			}
			s, err := Open(config(fsys))
			if err != nil {
				t.Fatalf("call %d failed: the directory does not open again: %v", index, err)
			}
			got := contents(t, s)
			for name, value := range durable {
				if got[name] != value {
					t.Fatalf("call %d failed: record %s was reported as durable and is now %q", index, name, got[name])
				}
			}
			s.Close()
		}
		t.Logf("%d calls failed in turn; all later calls failed as well: %t", injected, forever)
		if injected < 20 {
			t.Errorf("%d calls to the file system failed in turn, want at least 20", injected)
		}
	}
}

// openAndWrite opens a directory, writes six times and closes it. It adds the records that were reported as durable to durable.
func openAndWrite(fsys vfs.FS, durable map[string]string) (err error) {
	defer func() {
		if r := recover(); r != nil { // Pebble ends the process if it cannot write its manifest
			err = fmt.Errorf("the store panicked: %v", r)
		}
	}()
	s, err := Open(config(fsys))
	if err != nil {
		return err
	}
	for i := range 6 {
		name, value := fmt.Sprint("k", i%4), fmt.Sprint("v", i)
		if other := write(s, Change{Name: name, Value: []byte(value)}); other != nil {
			err = errors.Join(err, other)
			delete(durable, name) // the store may have the old or the new value
		} else {
			durable[name] = value
		}
	}
	if other := s.Close(); err == nil {
		err = other
	}
	return nil
}

// TestIdentity checks that a directory keeps its secret over a restart, that it opens only for its own server and site, and
// that a directory without a store does not open read-only.
func TestIdentity(t *testing.T) {
	fsys := vfs.NewMem()
	s := open(t, fsys)
	secret := string(s.Secret())
	if err := s.Close(); err != nil || len(secret) != secretBytes {
		t.Fatalf("error %v on Close, the secret has %d bytes", err, len(secret))
	}
	s = open(t, fsys)
	if string(s.Secret()) != secret {
		t.Error("the secret differs after a restart")
	}
	s.Close()
	for _, c := range []struct {
		change func(c *Config)
		want   error
	}{{func(c *Config) { c.Server = "n4" }, ErrForeign}, {func(c *Config) { c.SiteFingerprint = "t" }, ErrForeign},
		{func(c *Config) { c.Dir, c.ReadOnly = "nowhere", true }, ErrNoStore}} {
		with := config(fsys)
		c.change(&with)
		if _, err := Open(with); !errors.Is(err, c.want) {
			t.Errorf("opening with %+v: error %v, want %v", with, err, c.want)
		}
	}
}

// TestGroupCommit checks that changes that arrive during a sync are written together with the next sync, and that Write
// rejects a request larger than maxPendingBytes.
func TestGroupCommit(t *testing.T) {
	s := open(t, vfs.NewMem())
	defer s.Close()
	var written sync.WaitGroup
	for i := range 5000 {
		written.Add(1)
		if err := s.Write([]Change{{Name: fmt.Sprint(i), Value: []byte("x")}}, func(error) { written.Done() }); err != nil {
			t.Fatal(err)
		}
	}
	written.Wait()
	if c := s.Stats(); c.Changes != 5000 || c.Syncs > 4000 {
		t.Errorf("stats %+v, want 5000 changes and at most 4000 syncs", c)
	}
	if err := s.Write([]Change{{Name: "x", Value: make([]byte, maxPendingBytes+1)}}, nil); !errors.Is(err, ErrBusy) {
		t.Errorf("writing more than maxPendingBytes: error %v, want ErrBusy", err)
	}
}
