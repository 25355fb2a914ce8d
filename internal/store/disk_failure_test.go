package store

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"

	"tillerusher/internal/servertest"
)

// writeDeadline is how long a store may take to report the outcome of a write, far more than it needs.
const writeDeadline = 30 * time.Second

// failingDisk is a file system whose writes fail with cause once callsLeft is used up.
type failingDisk struct {
	vfs.FS
	callsLeft atomic.Int64
	cause     error
}

// unlimited is a value of callsLeft that no test uses up.
const unlimited = 1 << 40

// newFailingDisk returns a disk that works until callsLeft is set.
func newFailingDisk(cause error) *failingDisk {
	d := &failingDisk{cause: cause}
	d.callsLeft.Store(unlimited)
	d.FS = errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op, _ string) error {
		if d.callsLeft.Add(-1) < 0 && op.OpKind() == errorfs.OpKindWrite && op != errorfs.OpFileClose {
			return d.cause
		}
		return nil
	}))
	return d
}

// failAndRecover makes the disk fail after a random number of calls and writes records until three writes have failed. It then
// makes the disk work again and checks that a write succeeds within six attempts. It returns the number of writes that failed
// on the failing disk.
func (d *failingDisk) failAndRecover(t *testing.T, s *Store, rng *rand.Rand, durable map[string]string) (failed int) {
	t.Helper()
	d.callsLeft.Store(rng.Int64N(300))
	for i := 0; failed < 3 && i < 2000; i++ {
		if !putRandom(t, s, rng, durable) {
			failed++
		}
	}
	d.callsLeft.Store(unlimited)
	if failed == 0 {
		t.Fatal("no write failed although the disk failed")
	}
	for attempt := 0; !putRandom(t, s, rng, durable); attempt++ {
		if attempt == 5 {
			t.Fatal("writes fail although the disk works again")
		}
	}
	return failed
}

// checkDurable checks that a store has the records that were reported as durable. An empty value in durable is not checked.
func checkDurable(t *testing.T, s *Store, durable map[string]string, when string) {
	t.Helper()
	got := contents(t, s)
	for name, value := range durable {
		if value != "" && got[name] != value {
			t.Fatalf("%s: record %s was reported as durable and is %.20q, want %.20q", when, name, got[name], value)
		}
	}
}

// TestDiskRecovers uses a disk that is full or fails from a random call to the file system on, under enough writes for files
// to be created and compacted. The outcome of each write must be reported, nothing that was reported as durable may be lost,
// and the store must write again once the disk works, without a call of Open.
func TestDiskRecovers(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	failures, opened := 0, 0
	for round := range 60 {
		disk := newFailingDisk([]error{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)])
		s := open(t, disk)
		durable := map[string]string{}
		for range 3 {
			failures += disk.failAndRecover(t, s, rng, durable)
		}
		checkDurable(t, s, durable, fmt.Sprintf("round %d, before Close", round))
		opened += int(s.Stats().Reopens)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s = open(t, disk)
		checkDurable(t, s, durable, fmt.Sprintf("round %d, after reopening", round))
		s.Close()
	}
	t.Logf("%d writes failed, the database was reopened %d times", failures, opened)
}

// heldDisk is a file system on which the creation of the next table file is held after it was begun.
type heldDisk struct {
	vfs.FS
	isArmed atomic.Bool
	begun   chan struct{}
	proceed chan struct{}
	ended   chan struct{}
}

// Create implements vfs.FS.
func (d *heldDisk) Create(name string) (vfs.File, error) {
	if !strings.HasSuffix(name, ".sst") || !d.isArmed.CompareAndSwap(true, false) {
		return d.FS.Create(name)
	}
	close(d.begun)
	<-d.proceed
	defer close(d.ended)
	return d.FS.Create(name)
}

// TestLateFileCreation guards against the loss of durable records because a file creation that a failed engine began before it
// was detached truncates a table file of the next engine.
func TestLateFileCreation(t *testing.T) {
	failing := newFailingDisk(syscall.EIO)
	disk := &heldDisk{FS: failing, begun: make(chan struct{}), proceed: make(chan struct{}), ended: make(chan struct{})}
	s := open(t, disk)
	put := func(name string) error { return write(s, Change{Name: name, Value: []byte("value of " + name)}) }
	if err := put("first"); err != nil {
		t.Fatal(err)
	}
	disk.isArmed.Store(true)
	go s.CompactAll() // its flush creates a table file; the engine fails meanwhile, so it never returns
	<-disk.begun
	failing.callsLeft.Store(0)
	if err := put("fails"); err == nil {
		t.Fatal("a write succeeded although the disk failed")
	}
	failing.callsLeft.Store(unlimited)
	written := make(chan error, 1)
	go func() { written <- put("second") }()
	servertest.WaitFor(t, "the next engine, or that it waits for the file creation", func() bool {
		return len(written) > 0 || isAwaited(s.disk)
	})
	close(disk.proceed)
	<-disk.ended
	if err := <-written; err != nil {
		t.Errorf("write after the disk works again: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	s = open(t, disk)
	defer s.Close()
	checkDurable(t, s, map[string]string{"first": "value of first", "second": "value of second"}, "after reopening")
}

// isAwaited reports whether the next engine waits for a call of a detached one.
func isAwaited(disk *diskAccess) bool {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	return disk.idle != nil
}

// putRandom writes a record and reports whether the write succeeded. It sets the record in durable to the new value, or to ""
// if the write failed: the store may then have either value.
func putRandom(t *testing.T, s *Store, rng *rand.Rand, durable map[string]string) bool {
	t.Helper()
	name := fmt.Sprint("k", rng.IntN(50))
	value := make([]byte, 20000)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	done := make(chan error, 1)
	if err := s.Write([]Change{{Name: name, Value: value}}, func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		if durable[name] = string(value); err != nil {
			durable[name] = ""
		}
		return err == nil
	case <-time.After(writeDeadline):
		t.Fatal("the outcome of a write was not reported before writeDeadline")
		return false
	}
}
