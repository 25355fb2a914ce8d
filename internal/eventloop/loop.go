// Package loop runs one goroutine over epoll: sockets, coarse timers and work handed over from elsewhere. A
// round gathers all that is ready, reads the clock once, reports what came in order, lets the owner settle,
// and then sends what each connection has to send in one write.
package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxEvents     = 256      // ready descriptors of one round
	readSize      = 32 << 10 // bytes read from one connection in a round
	highWatermark = 64 << 10 // unsent bytes over which a connection is not read
	// arenaSize bounds what one round reads from all connections: a flood of them must neither take the memory
	// nor hold up a round for long.
	arenaSize = 16 * readSize
	// untakenParts is the part of the memory for output that a connection may hold while that is used up.
	untakenParts = 512
	// lingerMost is how long a connection that this side has ended is still read, and lingerReads how many
	// reads it gets in a round.
	lingerMost  = time.Second
	lingerReads = 8
	// The output buffers that are kept for use again: so many, and none that grew beyond a few answers.
	spareBuffers, spareSize = 64, 16 << 10
)

// source is what stands behind a registered descriptor.
type source interface {
	gather(events uint32) // take in what is ready
	report()              // hand it on
}

// Loop owns all that is registered with it. Its methods belong to the goroutine in Run, but for Post.
type Loop struct {
	system         System
	epoll, wake    int
	sources        map[int]source
	ready          []source
	arena          []byte // what this round read
	full           bool   // the arena had no room for all of it
	turn           int    // where the next round begins to read
	waste          [readSize]byte
	one            [8]byte  // of the wakeups, and of looks into sockets
	spare          [][]byte // empty output buffers
	unsentBytes    int      // bytes that peers have not taken
	maxUnsentBytes int      // unsentBytes bytes over which peers that hold many of them are cut off
	dirty          []*Conn
	failed         []source // connections that could not be written to, to be reported next
	now            time.Time
	wheel          *timerWheel
	stopped        bool

	mu     sync.Mutex
	posted []func()
	closed bool
}

// New returns a loop on a system whose timers fire on the tick, and which keeps about so many bytes at most for peers that
// do not read.
func New(system System, tick time.Duration, untaken int) (*Loop, error) {
	epoll, err := system.EpollCreate()
	if err != nil {
		return nil, fmt.Errorf("loop: epoll: %w", err)
	}
	wake, err := system.Eventfd()
	if err != nil {
		system.Close(epoll)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	now := system.Now()
	l := &Loop{system: system, epoll: epoll, wake: wake, sources: map[int]source{}, now: now, wheel: newTimerWheel(tick, now),
		arena: make([]byte, 0, arenaSize), maxUnsentBytes: untaken}
	if err := l.add(wake, unix.EPOLLIN, wakeup{l}); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close gives up the loop's own descriptors, after Run.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.system.Close(l.epoll)
		l.system.Close(l.wake)
	}
}

// System is what the loop runs on.
func (l *Loop) System() System { return l.system }

// Now is the clock reading of this round.
func (l *Loop) Now() time.Time { return l.now }

// AfterFunc fires once the wait is over.
func (l *Loop) AfterFunc(wait time.Duration, fire func()) *Timer {
	return l.wheel.schedule(l.now, wait, fire)
}

// CancelTimer disarms a timer; nil and one that fired are left alone.
func (l *Loop) CancelTimer(t *Timer) { l.wheel.cancel(t) }

// Stop ends Run after this round.
func (l *Loop) Stop() { l.stopped = true }

// Post has the loop call fn in its next round; any goroutine may call it. A loop that ended calls nothing.
func (l *Loop) Post(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return // the descriptor's number may be another's by now
	}
	l.posted = append(l.posted, fn)
	l.system.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // fails only when a wakeup is pending already
}

// Run goes on until Stop. After the events of a round it calls settle, which tells whether it left events of
// its own for a next round at once.
func (l *Loop) Run(settle func() (again bool)) error {
	events := make([]unix.EpollEvent, maxEvents)
	again := false
	for !l.stopped {
		wait := 0
		if !again && len(l.failed) == 0 {
			wait = int((l.wheel.untilNext(l.system.Now()) + time.Millisecond - 1) / time.Millisecond)
		}
		n, err := l.system.EpollWait(l.epoll, events, wait)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("loop: epoll wait: %w", err)
		}
		l.ready, l.arena = append(l.ready[:0], l.failed...), l.arena[:0]
		l.failed = l.failed[:0]
		n = max(n, 0)
		for i := range n {
			// Were the order the same each time, a few that never pause could keep all others from being read.
			e := events[(i+l.turn)%n]
			if s := l.sources[int(e.Fd)]; s != nil {
				s.gather(e.Events)
				l.ready = append(l.ready, s)
			}
		}
		if l.full {
			l.full = false
			l.turn += arenaSize / readSize
		}
		l.now = l.system.Now()
		for _, s := range l.ready {
			s.report()
		}
		l.wheel.advance(l.now)
		again = settle()
		l.flush()
	}
	return nil
}

// flush sends what the round wrote, one write a connection.
func (l *Loop) flush() {
	for i := 0; i < len(l.dirty); i++ {
		l.dirty[i].flush()
	}
	l.dirty = l.dirty[:0]
}

// buffer returns an empty output buffer.
func (l *Loop) buffer() []byte {
	n := len(l.spare)
	if n == 0 {
		return make([]byte, 0, 512)
	}
	b := l.spare[n-1]
	l.spare = l.spare[:n-1]
	return b
}

// reuse keeps an output buffer for later.
func (l *Loop) reuse(b []byte) {
	if cap(b) > 0 && cap(b) <= spareSize && len(l.spare) < spareBuffers {
		l.spare = append(l.spare, b[:0])
	}
}

// add registers a descriptor.
func (l *Loop) add(fd int, events uint32, s source) error {
	if err := l.system.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return fmt.Errorf("loop: register: %w", err)
	}
	l.sources[fd] = s
	return nil
}

// watch changes what a descriptor is registered for.
func (l *Loop) watch(fd int, events uint32) {
	// It fails only for a descriptor that is not registered, which would be an error of this package.
	if err := l.system.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, events); err != nil {
		panic(fmt.Sprintf("loop: watch: %v", err))
	}
}

// drop closes a registered descriptor.
func (l *Loop) drop(fd int) {
	delete(l.sources, fd)
	l.system.Close(fd)
}

// wakeup stands behind the descriptor that Post writes to.
type wakeup struct{ l *Loop }

func (w wakeup) gather(uint32) {
	w.l.system.Read(w.l.wake, w.l.one[:])
}

func (w wakeup) report() {
	w.l.mu.Lock()
	posted := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, fn := range posted {
		fn()
	}
}
