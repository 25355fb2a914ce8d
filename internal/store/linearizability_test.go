package store

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/pebble/vfs"
)

// registerOp is an operation on a record: a write of value, or a read if value is nil.
type registerOp struct {
	name  string
	value []byte
}

// registerModel models the store as one register per record. Each register is checked separately.
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

// run performs the operation and returns its output, which is nil for a write.
func (o registerOp) run(t *testing.T, s *Store) any {
	if o.value != nil {
		if err := write(s, Change{Name: o.name, Value: o.value}); err != nil {
			t.Error(err)
		}
		return nil
	}
	got, err := s.Get(o.name)
	if err != nil {
		t.Error(err)
	}
	return string(got)
}

// TestLinearizable reads and writes concurrently from several goroutines, over several restarts. The history must be
// linearizable: a map protected by a lock could have produced it.
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
					in := registerOp{name: fmt.Sprint("k", rng.IntN(4))}
					if rng.IntN(2) == 0 {
						in.value = fmt.Appendf(nil, "%d-%d-%d", round, client, i)
					}
					op := porcupine.Operation{ClientId: client, Input: in}
					op.Call = time.Since(start).Nanoseconds()
					op.Output = in.run(t, s)
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
		t.Errorf("linearizability check of %d operations: %v", len(history), result)
	}
}
