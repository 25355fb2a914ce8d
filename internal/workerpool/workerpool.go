// Package workerpool runs independent tasks on a limited number of goroutines. Run processes items in no
// guaranteed order and collects no results. RunOrdered delivers the results of tasks in the order of their indices.
package workerpool

import (
	"context"
	"sync"
)

// windowPerWorker is the limit, per worker, of tasks that were dispatched and whose results were not delivered yet. It
// bounds the memory of the results that wait behind a slow task.
const windowPerWorker = 4

// taskResult is the value and the error that a task returned.
type taskResult[T any] struct {
	value T
	err   error
}

// Run starts a number of goroutines that pass each item from next to work, until next returns false. It returns when all
// calls of work have returned. next and work must be safe for concurrent use.
func Run[T any](workers int, next func() (T, bool), work func(T)) {
	startWorkers(workers, next, work).Wait()
}

// startWorkers starts the goroutines of Run and returns the WaitGroup to wait for them.
func startWorkers[T any](workers int, next func() (T, bool), work func(T)) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for range workers {
		running.Go(func() {
			for item, ok := next(); ok; item, ok = next() {
				work(item)
			}
		})
	}
	return running
}

// RunOrdered runs the tasks with the indices from first to end-1 on a number of workers, and passes their results to
// deliver in the order of the indices. It calls deliver on the caller's goroutine only.
//
// RunOrdered stops at the first error of a task in that order, of deliver or of the context. It then cancels the context
// of the tasks that are still running, waits for all workers to end, and returns the error.
func RunOrdered[T any](ctx context.Context, first, end, workers int,
	task func(ctx context.Context, index int) (T, error), deliver func(T) error) error {
	ctx, cancel := context.WithCancel(ctx)
	results := make([]chan taskResult[T], end)
	for i := first; i < end; i++ {
		results[i] = make(chan taskResult[T], 1) // buffered, so that a worker never waits for the receiver
	}
	indices := make(chan int)
	window := make(chan struct{}, windowPerWorker*workers)
	go dispatch(ctx, first, end, indices, window)

	nextIndex := func() (int, bool) {
		i, ok := <-indices
		return i, ok
	}
	running := startWorkers(workers, nextIndex, func(i int) {
		value, err := task(ctx, i)
		results[i] <- taskResult[T]{value, err}
	})
	defer running.Wait()
	defer cancel()
	for i := first; i < end; i++ {
		select {
		case result := <-results[i]:
			if result.err != nil {
				return result.err
			}
			if err := deliver(result.value); err != nil {
				return err
			}
			<-window
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// dispatch sends the indices to the workers in order, and waits while the window is full. It closes indices after the last
// one or when the context ends.
func dispatch(ctx context.Context, first, end int, indices chan<- int, window chan<- struct{}) {
	defer close(indices)
	for i := first; i < end; i++ {
		select {
		case window <- struct{}{}:
		case <-ctx.Done():
			return
		}
		select {
		case indices <- i:
		case <-ctx.Done():
			return
		}
	}
}
