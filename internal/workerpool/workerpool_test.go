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
	var running, peak atomic.Int64
	var got []int
	err := RunOrdered(context.Background(), first, end, workers, func(_ context.Context, i int) (int, error) {
		n := running.Add(1)
		for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
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
		t.Errorf("got results %v, want one for each index in ascending order", got)
	}
	if peak.Load() > workers {
		t.Errorf("%d tasks ran concurrently, want at most %d", peak.Load(), workers)
	}
}

func TestRunOrderedStopsAtTheFirstError(t *testing.T) {
	errTask, errDeliver := errors.New("task"), errors.New("deliver")
	for _, c := range []struct {
		name      string
		fail      int // index of the task that returns an error
		reject    int // result for which deliver returns an error
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
				t.Errorf("got %d results and error %v, want %d and %v", delivered, err, c.delivered, c.want)
			}
		})
	}
}

func TestRunOrderedStopsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	err := RunOrdered(ctx, 0, 100, 3, func(ctx context.Context, i int) (int, error) {
		if i == 10 {
			cancel()
			<-ctx.Done()
		}
		return i, ctx.Err()
	}, func(int) error { return nil })
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
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
			t.Errorf("item %d was processed %d times, want once", i, n)
		}
	}
	if most.Load() > workers {
		t.Errorf("%d items were processed concurrently, want at most %d", most.Load(), workers)
	}
	if running.Load() != 0 {
		t.Errorf("%d calls of work have not returned when Run returns, want 0", running.Load())
	}
}
