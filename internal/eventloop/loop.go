package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxEvents = 256      // ready descriptors of one round
	readSize  = 32 << 10 // bytes read from one connection in a round
	// highWatermark is how many unsent bytes stop a connection from being read: a peer that does not take its responses
	// may not ask for more.
	highWatermark = 64 << 10
	// arenaSize bounds what one round reads from all connections: a flood of them must neither take the memory nor hold
	// up a round for long.
	arenaSize = 16 * readSize
	// unsentShareDivisor makes the share of the memory for output that one connection may hold while that is used up.
	unsentShareDivisor = 512
	// lingerTimeout is how long a connection that this side has ended is still read, and lingerReads how many reads it
	// gets in a round.
	lingerTimeout = time.Second
	lingerReads   = 8
	// Output buffers are kept for use again, up to maxFreeBuffers, and none that grew beyond a few responses.
	maxFreeBuffers    = 64
	maxFreeBufferSize = 16 << 10
	newBufferSize     = 512
)

// source handles the events of a descriptor.
type source interface {
	gather(events uint32) // read what is ready, without calling the owner
	report()              // call the owner
}

// Loop owns all that is registered with it. Its methods belong to the goroutine in Run, but for Post.
type Loop struct {
	system    System
	epollFD   int
	sources   map[int]source // by descriptor
	timers    *timerWheel
	now       time.Time // the clock reading of this round
	isStopped bool
	input     roundInput
	output    outputState
	posted    postQueue
}

// roundInput is what one round gathered.
type roundInput struct {
	ready       []source // to be reported
	arena       []byte   // bytes read from all connections
	isArenaFull bool     // some connection was not read for lack of space
	firstEvent  int      // index of the event that the next round begins with, modulo their number
	discarded   [readSize]byte
	peeked      [1]byte
}

// outputState is what connections have to send.
type outputState struct {
	dirty          []*Conn  // to be flushed at the end of the round
	failed         []source // connections that could not be written to, to be reported in the next round
	freeBuffers    [][]byte // empty buffers for use again
	unsentBytes    int      // that peers have not taken, of all connections
	maxUnsentBytes int      // above which connections with a large share of them are closed
}

// postQueue hands functions of other goroutines to the loop.
type postQueue struct {
	wakeFD   int // an eventfd: a write ends the loop's wait
	counter  [8]byte
	mu       sync.Mutex
	pending  []func()
	isClosed bool
}

// New returns a loop whose timers fire on the tick, and which keeps about maxUnsentBytes at most for peers that do not
// read.
func New(system System, tick time.Duration, maxUnsentBytes int) (*Loop, error) {
	epollFD, err := system.EpollCreate()
	if err != nil {
		return nil, fmt.Errorf("eventloop: epoll: %w", err)
	}
	wakeFD, err := system.Eventfd()
	if err != nil {
		system.Close(epollFD)
		return nil, fmt.Errorf("eventloop: eventfd: %w", err)
	}
	now := system.Now()
	loop := &Loop{system: system, epollFD: epollFD, sources: map[int]source{}, timers: newTimerWheel(tick, now), now: now}
	loop.input.arena = make([]byte, 0, arenaSize)
	loop.output.maxUnsentBytes = maxUnsentBytes
	loop.posted.wakeFD = wakeFD
	if err := loop.register(wakeFD, unix.EPOLLIN, wakeup{loop}); err != nil {
		loop.Close()
		return nil, err
	}
	return loop, nil
}

// Close closes the loop's own descriptors, after Run.
func (l *Loop) Close() {
	l.posted.mu.Lock()
	defer l.posted.mu.Unlock()
	if !l.posted.isClosed {
		l.posted.isClosed = true
		l.system.Close(l.epollFD)
		l.system.Close(l.posted.wakeFD)
	}
}

// System returns the system that the loop runs on.
func (l *Loop) System() System { return l.system }

// Now returns the clock reading of this round.
func (l *Loop) Now() time.Time { return l.now }

// AfterFunc calls callback on the loop's goroutine once the delay is over.
func (l *Loop) AfterFunc(delay time.Duration, callback func()) *Timer {
	return l.timers.schedule(l.now, delay, callback)
}

// CancelTimer cancels a timer. It does nothing for nil and for one that fired.
func (l *Loop) CancelTimer(t *Timer) { l.timers.cancel(t) }

// Stop ends Run after this round.
func (l *Loop) Stop() { l.isStopped = true }

// Post has the loop call fn in its next round. Any goroutine may call it. A closed loop calls nothing.
func (l *Loop) Post(fn func()) {
	l.posted.mu.Lock()
	defer l.posted.mu.Unlock()
	if l.posted.isClosed {
		return // the descriptor's number may be in use for another by now
	}
	l.posted.pending = append(l.posted.pending, fn)
	l.system.Write(l.posted.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // fails only while a wakeup is pending already
}

// Run runs the loop until Stop. After the events of a round it calls settle, which reports whether it left events of its own
// that need another round without a wait.
func (l *Loop) Run(settle func() (hasEvents bool)) error {
	events := make([]unix.EpollEvent, maxEvents)
	hasEvents := false
	for !l.isStopped {
		n, err := l.wait(events, hasEvents)
		if err != nil {
			return err
		}
		l.gather(events[:n])
		l.now = l.system.Now()
		for _, s := range l.input.ready {
			s.report()
		}
		l.timers.advance(l.now)
		hasEvents = settle()
		l.flush()
	}
	return nil
}

// wait waits until a descriptor is ready or a timer is due, and not at all where there is work already. It returns the
// number of events.
func (l *Loop) wait(events []unix.EpollEvent, hasEvents bool) (int, error) {
	ms := 0
	if !hasEvents && len(l.output.failed) == 0 {
		delay := l.timers.untilNext(l.system.Now())
		ms = int((delay + time.Millisecond - 1) / time.Millisecond)
	}
	n, err := l.system.EpollWait(l.epollFD, events, ms)
	if err != nil && !errors.Is(err, unix.EINTR) {
		return 0, fmt.Errorf("eventloop: epoll wait: %w", err)
	}
	return max(n, 0), nil
}

// gather reads what is ready and lists the sources to report. The order of the events rotates: were it the same each time, a
// few connections that never pause could keep all others from being read.
func (l *Loop) gather(events []unix.EpollEvent) {
	in := &l.input
	in.ready = append(in.ready[:0], l.output.failed...)
	in.arena = in.arena[:0]
	l.output.failed = l.output.failed[:0]
	for i := range events {
		event := events[(i+in.firstEvent)%len(events)]
		if s := l.sources[int(event.Fd)]; s != nil {
			s.gather(event.Events)
			in.ready = append(in.ready, s)
		}
	}
	if in.isArenaFull {
		in.isArenaFull = false
		in.firstEvent += arenaSize / readSize
	}
}

// flush sends what the round wrote, in one write for each connection.
func (l *Loop) flush() {
	for i := 0; i < len(l.output.dirty); i++ {
		l.output.dirty[i].flush()
	}
	l.output.dirty = l.output.dirty[:0]
}

// takeBuffer returns an empty output buffer.
func (o *outputState) takeBuffer() []byte {
	n := len(o.freeBuffers)
	if n == 0 {
		return make([]byte, 0, newBufferSize)
	}
	buf := o.freeBuffers[n-1]
	o.freeBuffers = o.freeBuffers[:n-1]
	return buf
}

// releaseBuffer keeps an output buffer for use again.
func (o *outputState) releaseBuffer(buf []byte) {
	if cap(buf) > 0 && cap(buf) <= maxFreeBufferSize && len(o.freeBuffers) < maxFreeBuffers {
		o.freeBuffers = append(o.freeBuffers, buf[:0])
	}
}

// register adds a descriptor.
func (l *Loop) register(fd int, events uint32, s source) error {
	if err := l.system.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return fmt.Errorf("eventloop: register: %w", err)
	}
	l.sources[fd] = s
	return nil
}

// modify changes the events that a descriptor is registered for.
func (l *Loop) modify(fd int, events uint32) {
	// It fails only for a descriptor that is not registered, which would be a bug of this package.
	if err := l.system.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, events); err != nil {
		panic(fmt.Sprintf("eventloop: modify: %v", err))
	}
}

// unregister closes a registered descriptor, which takes it out of the epoll set, too.
func (l *Loop) unregister(fd int) {
	delete(l.sources, fd)
	l.system.Close(fd)
}

// wakeup is the source of the eventfd that Post writes to.
type wakeup struct{ loop *Loop }

// gather implements source.
func (w wakeup) gather(uint32) {
	w.loop.system.Read(w.loop.posted.wakeFD, w.loop.posted.counter[:])
}

// report implements source: it calls the posted functions.
func (w wakeup) report() {
	w.loop.posted.mu.Lock()
	pending := w.loop.posted.pending
	w.loop.posted.pending = nil
	w.loop.posted.mu.Unlock()
	for _, fn := range pending {
		fn()
	}
}
