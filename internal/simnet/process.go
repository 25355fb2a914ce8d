package simnet

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstDescriptor is the lowest descriptor that a process allocates: 0 to 2 are the standard streams.
	firstDescriptor = 3
	// iterationCost is the time that a process takes for one iteration of its event loop. The next EpollWait returns the
	// events that occur meanwhile.
	iterationCost = 20 * time.Microsecond
)

// Process is a simulated process: a coroutine that runs until it waits in EpollWait. It implements eventloop.System.
type Process struct {
	sim  *Simulation
	name string
	addr netip.Addr

	descriptors    map[int]*descriptor
	maxDescriptors int

	resume func() (struct{}, bool) // runs the coroutine until it waits
	stop   func()                  // ends the coroutine: its pending yield returns false
	yield  func(struct{}) bool     // suspends the coroutine; only the coroutine itself calls it

	isWaiting   bool // in EpollWait
	isScheduled bool // the event queue has an event that resumes the process
	isKilled    bool
	hasExited   bool
	exitErr     error
	busyUntil   time.Duration // end of the current event loop iteration
	pausedUntil time.Duration
}

// killSignal is the panic value that unwinds the coroutine of a killed process.
type killSignal struct{}

// Start starts a process that runs main on the machine with the address. The process may have at most maxDescriptors
// descriptors open.
func (s *Simulation) Start(name string, addr netip.Addr, maxDescriptors int, main func(p *Process) error) *Process {
	p := &Process{sim: s, name: name, addr: addr, maxDescriptors: maxDescriptors, descriptors: map[int]*descriptor{}}
	p.resume, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer p.exit()
		p.yield = yield
		p.exitErr = main(p)
	})
	s.After(0, func() { p.step() })
	return p
}

// exit records that the process has ended and closes its descriptors. It is deferred in the coroutine and recovers the
// panic of a killed process; any other panic is raised again with the name of the process and the virtual time.
func (p *Process) exit() {
	p.hasExited = true
	p.isWaiting = false
	p.closeAll()
	if r := recover(); r != nil {
		if _, ok := r.(killSignal); !ok {
			panic(fmt.Sprintf("simnet: %s at %v: %v", p.name, p.sim.now, r))
		}
	}
}

// step runs the process until it waits. If the process is paused, step schedules itself for the end of the pause instead.
func (p *Process) step() {
	if p.hasExited || p.isKilled {
		return
	}
	if wait := p.pausedUntil - p.sim.now; wait > 0 {
		p.isScheduled = true
		p.sim.After(wait, p.step)
		return
	}
	p.isScheduled = false
	p.resume()
}

// wake schedules a waiting process to run as soon as it is neither busy nor paused.
func (p *Process) wake() {
	if !p.isWaiting || p.isScheduled || p.isKilled {
		return
	}
	p.isScheduled = true
	p.sim.After(max(p.busyUntil, p.pausedUntil)-p.sim.now, p.step)
}

// wait suspends the process until it is woken or the timeout has passed. A negative timeout is infinite. A pause extends the
// timeout to its end.
func (p *Process) wait(timeout time.Duration) {
	p.isWaiting = true
	cancel := func() {}
	if timeout >= 0 {
		cancel = p.sim.After(max(timeout, p.pausedUntil-p.sim.now), func() {
			if !p.isScheduled {
				p.step()
			}
		})
	}
	if !p.yield(struct{}{}) {
		panic(killSignal{})
	}
	cancel()
	p.isWaiting = false
}

// Kill ends the process immediately, as SIGKILL does.
func (p *Process) Kill() {
	if p.hasExited || p.isKilled {
		return
	}
	p.sim.Stats.Kills++
	p.isKilled = true
	p.closeAll()
	p.stop()
}

// Pause suspends the process for a duration, as if its machine gave it no processor time.
func (p *Process) Pause(length time.Duration) {
	p.sim.Stats.Pauses++
	p.pausedUntil = max(p.pausedUntil, p.sim.now+length)
}

// Exited reports whether the process has ended or was killed, and returns the error that its main function returned.
func (p *Process) Exited() (hasExited bool, err error) { return p.hasExited || p.isKilled, p.exitErr }

// OpenDescriptors returns the number of open descriptors.
func (p *Process) OpenDescriptors() int { return len(p.descriptors) }

// closeAll closes all descriptors. It closes the sockets in ascending order of their descriptors, so that a simulation can
// be repeated exactly.
func (p *Process) closeAll() {
	for _, fd := range p.sortedDescriptors() {
		if sk := p.descriptors[fd].socket; sk != nil {
			sk.close()
		}
	}
	p.descriptors = map[int]*descriptor{}
}

// sortedDescriptors returns the open descriptors in ascending order.
func (p *Process) sortedDescriptors() []int {
	list := make([]int, 0, len(p.descriptors))
	for fd := range p.descriptors {
		list = append(list, fd)
	}
	slices.Sort(list)
	return list
}

// allocate assigns the lowest free descriptor to desc and returns it. It returns EMFILE if the process has no descriptor
// left, and EBADF if the process was killed.
func (p *Process) allocate(desc *descriptor) (int, error) {
	switch {
	case p.isKilled:
		return -1, unix.EBADF
	case len(p.descriptors) >= p.maxDescriptors:
		p.sim.Stats.OutOfFiles++
		return -1, unix.EMFILE
	}
	fd := firstDescriptor
	for p.descriptors[fd] != nil {
		fd++
	}
	p.descriptors[fd] = desc
	return fd, nil
}
