package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/usage"
)

const (
	maxEvents = 256      // maximum number of ready descriptors handled in one round
	readSize  = 32 << 10 // maximum number of bytes read from one connection in one round
	// highWatermark is the number of unsent bytes from which on a connection is not read: a peer that does not read its
	// responses must not send further requests.
	highWatermark = 64 << 10
	// arenaSize is the maximum number of bytes that one round reads from all connections. It bounds the memory and the
	// duration of a round when many connections send at the same time.
	arenaSize = 16 * readSize
	// lingerTimeout is how long a connection is still read after this side has shut down its sending direction.
	// lingerReads is the maximum number of reads of such a connection in one round.
	lingerTimeout = time.Second
	lingerReads   = 8
	// At most maxFreeBuffers output buffers are kept for reuse, and none that has grown beyond a few responses
	// (maxFreeBufferSize).
	maxFreeBuffers    = 64
	maxFreeBufferSize = 16 << 10
	newBufferSize     = 512
)

// source handles the events of a registered descriptor.
type source interface {
	gather(events uint32) // reads the descriptor without calling any handler or callback
	report()              // calls the handler or callbacks for the gathered events
}

// Loop is an event loop. While Run is running, all methods except Post, and the methods of connections and listeners, must
// be called on the goroutine of Run.
type Loop struct {
	system    System
	epollFD   int
	sources   map[int]source // by descriptor
	timers    *timerWheel
	now       time.Time // the time read from the clock in this round
	isStopped bool
	input     roundInput
	output    outputState
	posted    postQueue
}

// roundInput holds the events and the input that a round gathered.
type roundInput struct {
	ready        []source       // sources whose report is called in this round
	arena        []byte         // bytes read from all connections
	isArenaFull  bool           // at least one connection was not read because the arena was full
	wasArenaFull bool           // isArenaFull of the last round
	firstEvent   int            // index of the event that the next round handles first, modulo the number of events
	discardBuf   [readSize]byte // receives the input of lingering connections, which is not used
	peekBuf      [1]byte        // receives the byte that HasPendingInput peeks at
}

// outputState is the output state of all connections.
type outputState struct {
	dirty       []*Conn  // connections to flush at the end of the round
	failed      []source // connections that failed while flushing, to be reported in the next round
	freeBuffers [][]byte // empty buffers for reuse
	// unsent is the output of accepted connections that remained unsent after their last flush. If it exceeds
	// maxUnsentBytes, the connection with the most unsent output is closed. Dialled connections do not count: their peers are
	// backends, which are sent requests, and the server limits requests itself.
	unsent         usage.Total[*Conn]
	maxUnsentBytes int
}

// postQueue holds the functions that Post passes from other goroutines to the loop.
type postQueue struct {
	wakeFD   int     // an eventfd; writing to it ends the loop's wait
	counter  [8]byte // receives the counter of the eventfd, which is not used
	mu       sync.Mutex
	pending  []func()
	isClosed bool
}

// New returns a loop whose timers have the resolution tick. maxUnsentBytes is the approximate limit of the output that is
// buffered for all accepted connections whose peers do not read.
func New(system System, tick time.Duration, maxUnsentBytes int) (*Loop, error) {
	epollFD, err := system.EpollCreate()
	if err != nil {
		return nil, fmt.Errorf("eventloop: create the epoll descriptor: %w", err)
	}
	wakeFD, err := system.Eventfd()
	if err != nil {
		system.Close(epollFD)
		return nil, fmt.Errorf("eventloop: create the eventfd: %w", err)
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

// Close closes the descriptors of the loop itself, not those of connections and listeners. Run must not be running.
func (l *Loop) Close() {
	l.posted.mu.Lock()
	defer l.posted.mu.Unlock()
	if !l.posted.isClosed {
		l.posted.isClosed = true
		l.system.Close(l.epollFD)
		l.system.Close(l.posted.wakeFD)
	}
}

// System returns the System on which the loop runs.
func (l *Loop) System() System { return l.system }

// Now returns the time at which the clock was read in the current round.
func (l *Loop) Now() time.Time { return l.now }

// AfterFunc schedules a call of callback on the loop's goroutine after the delay.
func (l *Loop) AfterFunc(delay time.Duration, callback func()) *Timer {
	return l.timers.schedule(l.now, delay, callback)
}

// CancelTimer cancels a timer. It does nothing if t is nil, has fired or was cancelled.
func (l *Loop) CancelTimer(t *Timer) { l.timers.cancel(t) }

// Stop makes Run return at the end of the current round.
func (l *Loop) Stop() { l.isStopped = true }

// Post makes the loop call fn in its next round. Any goroutine may call Post. After Close it does nothing.
func (l *Loop) Post(fn func()) {
	l.posted.mu.Lock()
	defer l.posted.mu.Unlock()
	if l.posted.isClosed {
		return // the descriptor number may have been reused
	}
	l.posted.pending = append(l.posted.pending, fn)
	l.system.Write(l.posted.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // fails only while a wakeup is already pending
}

// Run runs the loop until Stop is called. After the events and timers of each round it calls endRound, which reports
// whether it caused events that need another round without a wait.
func (l *Loop) Run(endRound func() (hasEvents bool)) error {
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
		hasEvents = endRound()
		l.flush()
	}
	return nil
}

// wait waits until a descriptor is ready or a timer is due, and returns the number of events. It does not block if hasEvents
// is true or if failed connections have to be reported.
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

// gather reads the ready sources and lists those whose report is called. After a round that filled the arena, the next one
// begins with a later event: in a fixed order, a few connections that always have input could keep all others from being
// read.
func (l *Loop) gather(events []unix.EpollEvent) {
	in := &l.input
	in.ready = append(in.ready[:0], l.output.failed...)
	in.arena = in.arena[:0]
	in.wasArenaFull, in.isArenaFull = in.isArenaFull, false
	l.output.failed = l.output.failed[:0]
	for i := range events {
		event := events[(i+in.firstEvent)%len(events)]
		if s := l.sources[int(event.Fd)]; s != nil {
			s.gather(event.Events)
			in.ready = append(in.ready, s)
		}
	}
	if in.isArenaFull {
		in.firstEvent += arenaSize / readSize
	}
}

// flush sends the output of the round, with one write per connection.
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

// releaseBuffer keeps an output buffer for reuse, unless it is too large or enough buffers are kept.
func (o *outputState) releaseBuffer(buf []byte) {
	if cap(buf) > 0 && cap(buf) <= maxFreeBufferSize && len(o.freeBuffers) < maxFreeBuffers {
		o.freeBuffers = append(o.freeBuffers, buf[:0])
	}
}

// register adds a descriptor to the epoll set. Its events go to s.
func (l *Loop) register(fd int, events uint32, s source) error {
	if err := l.system.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return fmt.Errorf("eventloop: register: %w", err)
	}
	l.sources[fd] = s
	return nil
}

// modify changes the events for which a descriptor is registered.
func (l *Loop) modify(fd int, events uint32) {
	// EpollCtl fails only for a descriptor that is not registered, which would be a bug in this package.
	if err := l.system.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, events); err != nil {
		panic(fmt.Sprintf("eventloop: modify the events of a descriptor: %v", err))
	}
}

// unregister closes a registered descriptor, which also removes it from the epoll set.
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

// report implements source. It calls the posted functions.
func (w wakeup) report() {
	w.loop.posted.mu.Lock()
	pending := w.loop.posted.pending
	w.loop.posted.pending = nil
	w.loop.posted.mu.Unlock()
	for _, fn := range pending {
		fn()
	}
}
