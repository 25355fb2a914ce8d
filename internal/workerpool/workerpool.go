// Package workerpool runs independent tasks on a limited number of goroutines. Run leaves the order of the results to the
// tasks; RunOrdered delivers results in the order of the tasks.
package workerpool

import (
	"context"
	"sync"
)

// windowPerWorker limits how many tasks may have started without their results being delivered, per worker: it bounds the
// memory of results that wait for a slow task before them.
const windowPerWorker = 4

// taskResult is what a task returned.
type taskResult[T any] struct {
	value T
	err   error
}

// Run passes each item that next returns to work, on a number of goroutines, until next reports that there are no more
// items, and returns after all of them have ended. next and work are called concurrently.
func Run[T any](workers int, next func() (T, bool), work func(T)) {
	start(workers, next, work).Wait()
}

// start starts the goroutines of Run and returns the group that they belong to.
func start[T any](workers int, next func() (T, bool), work func(T)) *sync.WaitGroup {
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

// RunOrdered runs the tasks with the indices from first up to end, which is excluded, on a number of workers, and delivers
// their results in the order of the indices. Only the caller's goroutine calls deliver.
//
// It stops at the first error of a task, of deliver or of the context, and returns it after all workers have ended. Tasks
// that run at that time see their context canceled.
func RunOrdered[T any](ctx context.Context, first, end, workers int,
	task func(ctx context.Context, index int) (T, error), deliver func(T) error) error {
	ctx, cancel := context.WithCancel(ctx)
	results := make([]chan taskResult[T], end)
	for i := first; i < end; i++ {
		results[i] = make(chan taskResult[T], 1) // so that a worker never waits for the receiver
	}
	indices := make(chan int)
	window := make(chan struct{}, windowPerWorker*workers)
	go dispatch(ctx, first, end, indices, window)

	nextIndex := func() (int, bool) {
		i, ok := <-indices
		return i, ok
	}
	running := start(workers, nextIndex, func(i int) {
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

// dispatch sends the indices to the workers, as far as the window allows, until the context ends.
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
