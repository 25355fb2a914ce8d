package workerpool

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
)

func TestRunOrderedDeliversInOrder(t *testing.T) {
	const first, end, workers = 3, 200, 7
	var running, most atomic.Int64
	var got []int
	err := RunOrdered(context.Background(), first, end, workers, func(_ context.Context, i int) (int, error) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		defer running.Add(-1)
		return i, nil
	}, func(i int) error {
		got = append(got, i)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != end-first || !slices.IsSorted(got) || got[0] != first {
		t.Errorf("results are delivered as %v", got)
	}
	if most.Load() > workers {
		t.Errorf("%d tasks ran at once, want at most %d", most.Load(), workers)
	}
}

func TestRunOrderedStopsAtTheFirstError(t *testing.T) {
	errTask, errDeliver := errors.New("task"), errors.New("deliver")
	for _, c := range []struct {
		name      string
		fail      int // index of the task that fails
		reject    int // result that deliver rejects
		want      error
		delivered int
	}{
		{"task", 5, -1, errTask, 5},
		{"deliver", -1, 2, errDeliver, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			delivered := 0
			err := RunOrdered(context.Background(), 0, 100, 3, func(_ context.Context, i int) (int, error) {
				if i == c.fail {
					return 0, errTask
				}
				return i, nil
			}, func(i int) error {
				if i == c.reject {
					return errDeliver
				}
				delivered++
				return nil
			})
			if !errors.Is(err, c.want) || delivered != c.delivered {
				t.Errorf("%d results and %v, want %d and %v", delivered, err, c.delivered, c.want)
			}
		})
	}
}

func TestRunOrderedStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	err := RunOrdered(ctx, 0, 100, 3, func(ctx context.Context, i int) (int, error) {
		if i == 10 {
			cancel()
			<-ctx.Done()
		}
		return i, ctx.Err()
	}, func(int) error { return nil })
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want %v", err, context.Canceled)
	}
}

func TestRunPassesEachItemToOneWorker(t *testing.T) {
	const items, workers = 200, 7
	var taken, running, most atomic.Int64
	var seen [items]atomic.Int64
	Run(workers, func() (int, bool) {
		i := int(taken.Add(1)) - 1
		return i, i < items
	}, func(i int) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		seen[i].Add(1)
		running.Add(-1)
	})
	for i := range seen {
		if n := seen[i].Load(); n != 1 {
			t.Errorf("item %d was worked on %d times", i, n)
		}
	}
	if most.Load() > workers {
		t.Errorf("%d items were worked on at once, want at most %d", most.Load(), workers)
	}
	if running.Load() != 0 {
		t.Errorf("%d workers run on after Run has returned", running.Load())
	}
}
