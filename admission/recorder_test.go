package admission

import (
	"fmt"
	"strings"
	"time"
)

// recorder records each action as a line of a word and its arguments, and passes some actions to the host if there is
// one.
type recorder struct {
	lines []string
	host  *randomHost
}

// add records an action.
func (r *recorder) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) Run(id RequestID) {
	r.add("run %d", id)
	if r.host != nil {
		r.host.run(id)
	}
}

func (r *recorder) Reject(id RequestID, retryAfter time.Duration, noRetry bool) {
	r.add("reject %d %v %v", id, retryAfter, noRetry)
	if r.host != nil {
		r.host.answer(id, true)
	}
}

func (r *recorder) Fail(id RequestID) {
	r.add("fail %d", id)
	if r.host != nil {
		r.host.answer(id, false)
	}
}

func (r *recorder) Call(id RequestID, timeout time.Duration) {
	r.add("call %d", id)
	if r.host != nil {
		r.host.call(id, timeout)
	}
}

func (r *recorder) SkipCall(id RequestID) {
	r.add("skip-call %d", id)
	if r.host != nil {
		r.host.skipCall(id)
	}
}

func (r *recorder) Stop(id RequestID) {
	r.add("stop %d", id)
	if r.host != nil {
		r.host.stop(id)
	}
}

func (r *recorder) KeepKey(id RequestID, lifetime time.Duration) {
	r.add("keep-key %d %v", id, lifetime)
	if r.host != nil {
		r.host.keepKey(id, lifetime)
	}
}

func (r *recorder) ReleaseKey(id RequestID) {
	r.add("release-key %d", id)
	if r.host != nil {
		r.host.releaseKey(id)
	}
}

func (r *recorder) ReplayResult(id RequestID) {
	r.add("replay %d", id)
	if r.host != nil {
		r.host.replayResult(id)
	}
}

func (r *recorder) AdvertiseLoad(value float64) { r.add("advertise %.3f", value) }

func (r *recorder) SetHealth(healthy, fromStore bool) { r.add("health %v %v", healthy, fromStore) }

func (r *recorder) CloseIdleConnections(idle time.Duration) { r.add("idle %v", idle) }

func (r *recorder) SetTimer(wait time.Duration, _ uint32) {
	r.add("timer %v", wait)
	if r.host != nil {
		r.host.timers = append(r.host.timers, r.host.now+wait)
	}
}

func (r *recorder) Log(line string) { r.add("log %s", line) }

// take returns the actions since the last take that begin with one of the words.
func (r *recorder) take(words ...string) []string {
	var taken []string
	for _, line := range r.lines {
		for _, word := range words {
			if strings.HasPrefix(line, word+" ") {
				taken = append(taken, line)
			}
		}
	}
	r.lines = nil
	return taken
}

// callTimeoutRecorder records the timeout of the last call.
type callTimeoutRecorder struct {
	*recorder
	timeout *time.Duration
}

func (c callTimeoutRecorder) Call(_ RequestID, timeout time.Duration) { *c.timeout = timeout }
