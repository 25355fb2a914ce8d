package store

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
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
