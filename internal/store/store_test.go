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

// powerCuts is how many power cuts TestPowerCuts plays; docs/design/state.md has what more showed.
var powerCuts = flag.Int("cuts", 150, "how many power cuts are played")

// config is that of the tests' directory.
func config(fsys vfs.FS) Config {
	return Config{Dir: "/state", Server: "n3", SiteFingerprint: "s", FS: fsys}
}

// open opens the directory of the tests.
func open(t testing.TB, fsys vfs.FS) *Store {
	t.Helper()
	s, err := Open(config(fsys))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// contents returns all records.
func contents(t testing.TB, s *Store) map[string]string {
	t.Helper()
	m := map[string]string{}
	if err := s.ForEach("", func(name, value []byte) error { m[string(name)] = string(value); return nil }); err != nil {
		t.Fatal(err)
	}
	return m
}

// write writes changes and waits until they are durable.
func write(s *Store, changes ...Change) error {
	done := make(chan error, 1)
	if err := s.Write(changes, func(err error) { done <- err }); err != nil {
		return err
	}
	return <-done
}

// tails returns the bytes of the directory's logs, including those that were never synced.
func tails(t testing.TB, fsys *vfs.MemFS) map[string][]byte {
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
			continue // it was removed meanwhile, behind the writer
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

// sector is the unit that a disk writes atomically, in bytes; sectors may be written in any order.
const sector = 512

// tear keeps a part of the unsynced bytes, as a disk does that was writing at the power cut: a prefix, sometimes with
// sectors missing before its end or a flipped bit. It returns how many logs it tore.
func tear(t testing.TB, fsys *vfs.MemFS, before map[string][]byte, rng *rand.Rand) int {
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
			for from := 0; from < len(lost); { // to the next border of a sector of the file
				to := min(from+sector-int(info.Size()+int64(from))%sector, len(lost))
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

// randomChanges returns changes of up to three records, as a list and by name.
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

// writeLog is what was written to a store, and what of it was reported as durable.
type writeLog struct {
	mu         sync.Mutex
	durable    map[string]string   // records as of the requests that were reported
	unreported []map[string]string // requests that were not, in order
}

// writeRandom writes a request.
func (l *writeLog) writeRandom(t *testing.T, s *Store, rng *rand.Rand) {
	t.Helper()
	list, changes := randomChanges(rng)
	l.mu.Lock()
	l.unreported = append(l.unreported, changes)
	l.mu.Unlock()
	err := s.Write(list, func(err error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil { // requests are written in order
			apply(l.durable, l.unreported[0])
		}
		l.unreported = l.unreported[1:]
	})
	if err != nil {
		t.Fatal(err)
	}
}

// cutPower lets nothing be synced from here on. It returns what was reported and what was not, and the bytes of the logs.
func (l *writeLog) cutPower(t *testing.T, fsys *vfs.MemFS) (durable map[string]string, unreported []map[string]string, logs map[string][]byte) {
	t.Helper()
	l.mu.Lock() // nothing is reported meanwhile
	defer l.mu.Unlock()
	fsys.SetIgnoreSyncs(true)
	return maps.Clone(l.durable), append([]map[string]string(nil), l.unreported...), tails(t, fsys)
}

// TestPowerCuts cuts the power at random points of random writes: what was reported as durable is there after it, other
// requests are there whole or not at all, and nothing else is.
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
			t.Fatalf("cut %d: %d records instead of %d", cut, len(got), len(durable))
		}
		writes := &writeLog{durable: durable}
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
		torn += tear(t, fsys, logs, rng)
		s = open(t, fsys)
		got := contents(t, s)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		// What was reported is there, and of the rest a prefix, each request whole.
		durable = reported
		for n := 0; !maps.Equal(got, durable); n++ {
			if n == len(unreported) {
				t.Fatalf("cut %d: what is there is no beginning of what was written: %d records", cut, len(got))
			}
			apply(durable, unreported[n])
			kept++
		}
		dropped += len(unreported)
	}
	t.Logf("%d cuts, %d logs torn, %d requests open of which %d were durable", *powerCuts, torn, dropped, kept)
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

// TestErrors has each call to the file layer fail in turn, once and from there on: no panic, nothing that was reported as
// durable is lost, and the directory opens again once the disk works.
func TestErrors(t *testing.T) {
	for _, forever := range []bool{false, true} {
		injected := 0
		for index := int32(0); ; index++ {
			fsys := vfs.NewMem()
			at := errorfs.OnIndex(index)
			var hit atomic.Bool // files are removed in the background
			durable := map[string]string{}
			err := script(errorfs.Wrap(fsys, errorfs.InjectorFunc(func(op errorfs.Op, path string) error {
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
				break // the script has no more calls
			}
			injected++
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("call %d: an error of more than one line: %v", index, err)
			}
			s, err := Open(config(fsys))
			if err != nil {
				t.Fatalf("call %d failed, and the folder does not open again: %v", index, err)
			}
			got := contents(t, s)
			for name, value := range durable {
				if got[name] != value {
					t.Fatalf("call %d: %s was reported as durable and is %q", index, name, got[name])
				}
			}
			s.Close()
		}
		t.Logf("%d calls failed, forever after %t", injected, forever)
		if injected < 20 {
			t.Errorf("only %d calls of the file layer", injected)
		}
	}
}

// script opens a directory and writes; durable is what was reported to be there.
func script(fsys vfs.FS, durable map[string]string) (err error) {
	defer func() {
		if r := recover(); r != nil { // Pebble ends the process where its manifest can't be written
			err = fmt.Errorf("the store gave up: %v", r)
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
			delete(durable, name) // either value may be there
		} else {
			durable[name] = value
		}
	}
	if other := s.Close(); err == nil {
		err = other
	}
	return nil
}

// TestIdentity opens a directory for its own server and site only.
func TestIdentity(t *testing.T) {
	fsys := vfs.NewMem()
	s := open(t, fsys)
	secret := string(s.Secret())
	if err := s.Close(); err != nil || len(secret) != secretBytes {
		t.Fatalf("%v, a secret of %d bytes", err, len(secret))
	}
	s = open(t, fsys)
	if string(s.Secret()) != secret {
		t.Error("the secret is another after a restart")
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
			t.Errorf("%+v: %v, want %v", with, err, c.want)
		}
	}
}

// TestGroupCommit checks that changes that arrive during a sync are written together with the next one.
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
		t.Errorf("%+v", c)
	}
	if err := s.Write([]Change{{Name: "x", Value: make([]byte, maxPendingBytes+1)}}, nil); !errors.Is(err, ErrBusy) {
		t.Errorf("more than may be pending: %v", err)
	}
}
