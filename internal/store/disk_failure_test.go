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

// writeDeadline is how long a store may take to report how a write ended, far more than it needs.
const writeDeadline = 30 * time.Second

// TestDiskRecovers has a disk that is full or fails from a random call to the file layer on, under enough writes for files to
// be created and compacted: each write is reported, nothing that was reported as durable is lost, and the store writes again
// once the disk works, without being opened anew.
func TestDiskRecovers(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	failures, opened := 0, 0
	for round := range 60 {
		var left atomic.Int64 // calls until the disk fails
		left.Store(1 << 40)
		cause := []error{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)]
		disk := errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op, _ string) error {
			if left.Add(-1) < 0 && op.OpKind() == errorfs.OpKindWrite && op != errorfs.OpFileClose {
				return cause
			}
			return nil
		}))
		s := open(t, disk)
		durable := map[string]string{}
		for failure := range 3 {
			left.Store(rng.Int64N(300))
			failed := 0
			for i := 0; failed < 3 && i < 2000; i++ {
				if !putRandom(t, s, rng, durable) {
					failed++
				}
			}
			failures += failed
			left.Store(1 << 40)
			if failed == 0 {
				t.Fatalf("round %d: a disk that fails was not noticed", round)
			}
			for attempt := 0; !putRandom(t, s, rng, durable); attempt++ {
				if attempt == 5 {
					t.Fatalf("round %d, failure %d: the disk works, and writes fail", round, failure)
				}
			}
		}
		check := func(when string, got map[string]string) {
			for name, value := range durable {
				if value != "" && got[name] != value {
					t.Fatalf("round %d, %s: %s was reported as durable and is %.20q, want %.20q", round, when, name, got[name], value)
				}
			}
		}
		check("open", contents(t, s))
		opened += int(s.Stats().Reopens)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s = open(t, disk)
		check("opened anew", contents(t, s))
		s.Close()
	}
	t.Logf("%d writes failed, %d times the database was opened again", failures, opened)
}

// putRandom writes a record, and notes in durable what was reported: after a failure either value may be there.
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
		t.Fatal("the end of a write is not reported")
		return false
	}
}
