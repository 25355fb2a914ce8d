package store

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/pebble/vfs"

	"tillerusher/internal/idempotency"
)

// registerOp is one operation on one record: a write of a value, or a read where it is nil.
type registerOp struct {
	name  string
	value []byte
}

// registerModel is a map of registers, each checked on its own.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var names []string
		for _, op := range history {
			name := op.Input.(registerOp).name
			if by[name] == nil {
				names = append(names, name)
			}
			by[name] = append(by[name], op)
		}
		var parts [][]porcupine.Operation
		for _, name := range names {
			parts = append(parts, by[name])
		}
		return parts
	},
	Init: func() interface{} { return "" },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		in := input.(registerOp)
		if in.value != nil {
			return true, string(in.value)
		}
		return output.(string) == state.(string), state
	},
}

// TestLinearizable has many goroutines write and read concurrently, over restarts: the history must be one that a map under a
// lock could have had.
func TestLinearizable(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	fsys := vfs.NewMem()
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	for round := range 3 {
		s := open(t, fsys)
		var clients sync.WaitGroup
		for client := range 6 {
			rng := rand.New(rand.NewPCG(seed, uint64(10*round+client)))
			clients.Add(1)
			go func() {
				defer clients.Done()
				for i := range 60 {
					op := porcupine.Operation{ClientId: client, Input: registerOp{name: fmt.Sprint("k", rng.IntN(4))}}
					in := op.Input.(registerOp)
					if rng.IntN(2) == 0 {
						in.value = fmt.Appendf(nil, "%d-%d-%d", round, client, i)
						op.Input = in
					}
					op.Call = time.Since(start).Nanoseconds()
					if in.value != nil {
						if err := write(s, Change{Name: in.name, Value: in.value}); err != nil {
							t.Error(err)
						}
					} else {
						got, err := s.Get(in.name)
						if err != nil {
							t.Error(err)
						}
						op.Output = string(got)
					}
					op.Return = time.Since(start).Nanoseconds()
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			}()
		}
		clients.Wait()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, history, time.Minute); result != porcupine.Ok {
		t.Errorf("%d operations: %v", len(history), result)
	}
}

// BenchmarkRecovery opens folders with many records and reads them clients.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			s, err := Open(Config{Dir: dir, Server: "n3", SiteHash: "s"})
			if err != nil {
				b.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			body := make([]byte, 150) // of which nothing can be compressed away
			for at := 0; at < n; at += 1000 {
				var changes []Change
				for range 1000 {
					for i := range body {
						body[i] = byte(rng.Uint32())
					}
					e := idempotency.Entry{Key: idempotency.Key{Class: "stock-reserve", Key: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())},
						State: idempotency.Completed, ReceivedAt: time.Now(), ExpiresAt: time.Now(), BodyHash: rng.Uint64(), Response: idempotency.Response{Status: 200, Body: body,
							Header: []idempotency.HeaderField{{Name: "Content-Type", Value: "application/json"}}}}
					changes = append(changes, Change{Name: e.Key.RecordName(), Value: e.Encode()})
				}
				if err := write(s, changes...); err != nil {
					b.Fatal(err)
				}
			}
			if _, err := s.Compact(); err != nil { // as a server does while it is idle
				b.Fatal(err)
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			size := int64(0)
			for b.Loop() {
				s, err := Open(Config{Dir: dir, Server: "n3", SiteHash: "s"})
				if err != nil {
					b.Fatal(err)
				}
				size = s.Size()
				read := 0
				if err := s.ForEach("", func(_, _ []byte) error { read++; return nil }); err != nil || read != n {
					b.Fatalf("%d records, %v", read, err)
				}
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "B/record")
		})
	}
}

// BenchmarkSyncs writes intents at fixed rates to a real folder, and reports the syncs that each took.
func BenchmarkSyncs(b *testing.B) {
	for _, rate := range []int{1, 50, 500, 5000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			s, err := Open(Config{Dir: b.TempDir(), Server: "n3", SiteHash: "s"})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			value := make([]byte, 100)
			before := s.Stats().Syncs
			var written sync.WaitGroup
			next, n := time.Now(), 0
			for b.Loop() {
				next = next.Add(time.Second / time.Duration(rate))
				time.Sleep(time.Until(next))
				written.Add(1)
				n++
				if err := s.Write([]Change{{Name: fmt.Sprint(n), Value: value}}, func(error) { written.Done() }); err != nil {
					b.Fatal(err)
				}
			}
			written.Wait()
			b.ReportMetric(float64(s.Stats().Syncs-before)/float64(n), "syncs/write")
		})
	}
}
