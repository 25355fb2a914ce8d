package loadtest

import (
	"container/heap"
	"fmt"
	"syscall"
	"time"

	"tillerusher/internal/fake"
)

// drainTime is how long attempts are sent after SIGTERM. It is well within the drain grace period of the settings.
const drainTime = 120 * time.Millisecond

// drain stops the daemon under load. It waits until the daemon has exited and the readers of all connections have ended.
func (l *loadTest) drain() error {
	if err := l.target.process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("loadtest: %w", err)
	}
	l.mu.Lock()
	l.isDraining = true
	for i := range l.config.DrainRequests {
		at := time.Now().Add(drainTime * time.Duration(i) / time.Duration(l.config.DrainRequests))
		heap.Push(&l.queue, l.newRequest(l.config.Requests+i, at))
	}
	l.mu.Unlock()
	l.sendQueuedUntil(time.Now().Add(drainTime))
	if err := l.waitForExit(); err != nil {
		return err
	}
	for _, g := range l.gateways {
		g.close()
	}
	l.readers.Wait()
	return nil
}

// waitForExit waits until the daemon exits, and records its exit status, processor time and peak memory.
func (l *loadTest) waitForExit() error {
	state, err := l.target.wait()
	if err != nil {
		return err
	}
	l.result.ExitStatus = state.ExitCode()
	l.result.DaemonCPUSeconds = cpuTime(state).Seconds()
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		l.result.DaemonPeakKB = usage.Maxrss
	}
	return nil
}

// summarize completes the result after the daemon has exited.
func (l *loadTest) summarize() *Result {
	result := &l.result
	result.Seconds = time.Since(l.begin).Seconds()
	result.Rate = float64(result.Served+result.Rejected+result.Failed) / result.Seconds
	result.ServedShare = float64(l.servedRequests) / float64(max(result.Requests, 1))
	result.P50, result.P99, result.P999 = l.latencies.percentiles()
	result.LinkCount = l.target.interpreter.LinkCount()
	allDeadlinesPassed := time.Now().Add(fake.ReserveDeadline + time.Second)
	result.Violations = l.checker.Violations(allDeadlinesPassed)
	if result.ExitStatus != 0 {
		result.Violations = append(result.Violations, fmt.Sprintf("the daemon ended with status %d", result.ExitStatus))
	}
	result.Counters = l.target.log.Last("counters", nil)
	result.Capture = l.target.log.Last("capture", nil)
	return result
}
