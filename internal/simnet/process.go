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
	// firstDescriptor is the lowest one a process gets: 0 to 2 are the standard streams.
	firstDescriptor = 3
	// iterationCost is how long a process works on what one EpollWait returned. What arrives meanwhile is seen by the next.
	iterationCost = 20 * time.Microsecond
)

// Process is one program: a coroutine that runs until it waits. It implements eventloop.System.
type Process struct {
	sim  *Simulation
	name string
	addr netip.Addr

	descriptors    map[int]*descriptor
	maxDescriptors int

	resume func() (struct{}, bool) // runs the coroutine until it waits
	stop   func()                  // ends it: its pending yield returns false
	yield  func(struct{}) bool     // suspends it; called by the coroutine itself

	isWaiting   bool // in EpollWait
	isScheduled bool // an event that continues it is queued
	isKilled    bool
	hasExited   bool
	exitErr     error
	busyUntil   time.Duration // by the work of the current iteration
	pausedUntil time.Duration
}

// killSignal unwinds the coroutine of a process that was killed.
type killSignal struct{}

// Start starts a program on the machine with an address. It may have up to maxDescriptors open.
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

// exit ends the coroutine. It is deferred, and recovers from the panic by which a killed process unwinds.
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

// step runs the program until it waits, or later if it is paused.
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

// wake schedules a waiting program to run as soon as it is neither busy nor paused.
func (p *Process) wake() {
	if !p.isWaiting || p.isScheduled || p.isKilled {
		return
	}
	p.isScheduled = true
	p.sim.After(max(p.busyUntil, p.pausedUntil)-p.sim.now, p.step)
}

// wait suspends the program until something is ready, for at most timeout; a negative timeout is infinite.
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

// Kill ends the program at once, as SIGKILL does.
func (p *Process) Kill() {
	if p.hasExited || p.isKilled {
		return
	}
	p.sim.Stats.Kills++
	p.isKilled = true
	p.closeAll()
	p.stop()
}

// Pause stops the program for a while, as on a machine that gives it no processor.
func (p *Process) Pause(length time.Duration) {
	p.sim.Stats.Pauses++
	p.pausedUntil = max(p.pausedUntil, p.sim.now+length)
}

// Exited reports whether the program has ended or was killed, and the error that it returned.
func (p *Process) Exited() (hasExited bool, err error) { return p.hasExited || p.isKilled, p.exitErr }

// OpenDescriptors returns how many descriptors are open.
func (p *Process) OpenDescriptors() int { return len(p.descriptors) }

// closeAll closes all sockets, in the order of their descriptors so that a run can be repeated.
func (p *Process) closeAll() {
	for _, fd := range p.sortedDescriptors() {
		if sk := p.descriptors[fd].socket; sk != nil {
			sk.close()
		}
	}
	p.descriptors = map[int]*descriptor{}
}

// sortedDescriptors returns the descriptors that are open, in ascending order.
func (p *Process) sortedDescriptors() []int {
	list := make([]int, 0, len(p.descriptors))
	for fd := range p.descriptors {
		list = append(list, fd)
	}
	slices.Sort(list)
	return list
}

// allocate gives desc the lowest descriptor that is free.
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
