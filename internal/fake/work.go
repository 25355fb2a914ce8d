package fake

import (
	"bytes"
	"fmt"
	"math"
	"time"
)

// pace is the longest time between two looks at runs that take time, shortest the least, and busyOver the time over which
// the gauge of the cores averages.
const (
	pace     = time.Millisecond
	shortest = 20 * time.Microsecond
	busyOver = 500 * time.Millisecond
)

// labour is how the interpreter spends time on runs: its cores are shared evenly by all that run.
type labour struct {
	cores int
	took  func(RunCommand) time.Duration
	left  map[string]time.Duration // of a core's time, by run
	last  time.Time                // up to which time was spent
	stop  func()                   // ends the looks
	look  func()                   // spends time, and plans the next look while something runs
	idle  bool                     // no look is planned
}

// Clock is the time that a stand-in lives in.
type Clock interface {
	Now() time.Time
	// After has something called after a while, unless it is cancelled before.
	After(wait time.Duration, fire func()) (cancel func())
}

// wallClock is the machine's.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) After(wait time.Duration, fire func()) (cancel func()) {
	t := time.AfterFunc(wait, fire)
	return func() { t.Stop() }
}

// SimulateWork has runs take as much time of a core as took says, shared with all others that run, and end with the body
// of their request behind "done ". It looks when the next of them is due, so that no core's time is lost between two looks.
func (it *Interpreter) SimulateWork(cores int, took func(RunCommand) time.Duration) {
	l := &labour{cores: cores, took: took, left: map[string]time.Duration{}, last: it.clock.Now()}
	l.stop = func() {}
	l.look = func() {
		it.set(func() {
			if it.labour != l {
				return
			}
			it.labourOn(l)
			if l.idle = len(it.running) == 0; !l.idle {
				l.stop = it.clock.After(it.nextEnd(l), l.look)
			}
		})
	}
	it.set(func() {
		it.labour, l.idle = l, true
		it.labours(l) // what runs already
	})
}

// labours has time be spent on what runs from now on.
func (it *Interpreter) labours(l *labour) {
	if l.idle && len(it.running) > 0 {
		l.idle = false
		l.stop = it.clock.After(it.nextEnd(l), l.look)
	}
}

// nextEnd is how long the next look may wait.
func (it *Interpreter) nextEnd(l *labour) time.Duration {
	wait := pace
	for _, id := range it.running {
		wait = min(wait, time.Duration(float64(l.left[id])*max(1, float64(len(it.running))/float64(l.cores))))
	}
	return max(wait, shortest)
}

// StopSimulatingWork has runs end at once again.
func (it *Interpreter) StopSimulatingWork() {
	it.set(func() {
		if it.labour != nil {
			it.labour.stop()
			it.labour = nil
		}
		it.prompt, it.busy = true, 0
	})
}

// labourOn spends the time since the last look.
func (it *Interpreter) labourOn(l *labour) {
	now := it.clock.Now()
	since := now.Sub(l.last)
	l.last = now
	n := len(it.running)
	part := math.Exp(-since.Seconds() / busyOver.Seconds())
	it.busy = it.busy*part + (1-part)*min(1, float64(n)/float64(l.cores))
	if n == 0 {
		return
	}
	spent := time.Duration(float64(since) * min(1, float64(l.cores)/float64(n)))
	var over []string
	for _, id := range it.running {
		if l.left[id] -= spent; l.left[id] <= 0 {
			over = append(over, id)
		}
	}
	for _, id := range over {
		it.end(id, "OK", WorkResult(it.bodies[id]))
	}
}

// WorkResult is what a run makes of a request's body where the interpreter works.
func WorkResult(body []byte) []byte { return append([]byte("done "), body...) }

// WorkBody is a body that names its request and says how long a run of it takes.
func WorkBody(name string, work time.Duration) []byte {
	return fmt.Appendf(nil, "%s work=%d", name, work.Microseconds())
}

// ParseWork reads how long a run takes from its body.
func ParseWork(a RunCommand) time.Duration {
	_, text, _ := bytes.Cut(a.Body, []byte("work="))
	us := 0
	if _, err := fmt.Sscan(string(text), &us); err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}
