package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
	"tillerusher/server"
)

// What each server has, and the grace between SIGTERM and SIGKILL.
const (
	serverMemoryMB    = 64
	serverDescriptors = 384
	stopTimeout       = 3200 * time.Millisecond
)

// node is a server with its interpreter, over any number of lives of both.
type node struct {
	run                   *runner
	number                int
	host, interpreterHost netip.Addr
	process               *simnet.Process
	server                *server.Server
	interpreter           *fake.Interpreter
	slowdown              float64
	incarnation           int
	isKilled              bool           // it was killed in this life
	latestLink            *simnet.Stream // of the links
	counters              *counterLog
	addressChanges        uint16 // how often the interpreter moved between its two addresses
	isDraining            bool
	drainStartedAt        time.Duration // when it was told to leave
	pausedUntil           time.Duration // until when its machine stood still
	startedAt             time.Duration // in this life
	runs                  int           // in all lives
}

func newNode(r *runner, number int) *node {
	n := &node{run: r, number: number, slowdown: 1, host: netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}),
		interpreterHost: netip.AddrFrom4([4]byte{10, 2, byte(number >> 8), byte(number)})}
	n.startInterpreter()
	for range 2 {
		r.sim.Listen(n.interpreterAddr(), n.acceptLink)
		n.addressChanges++
	}
	n.start()
	return n
}

func (n *node) addr() netip.AddrPort { return netip.AddrPortFrom(n.host, 9000) }
func (n *node) interpreterAddr() netip.AddrPort {
	return netip.AddrPortFrom(n.interpreterHost, 9100+n.addressChanges%2)
}
func (n *node) name() string { return fmt.Sprint("n", n.number) }

// startInterpreter has a new interpreter take the links that come from now on.
func (n *node) startInterpreter() {
	it := fake.NewInterpreterWithClock(n.run.sim)
	it.SimulateWork(n.run.scenario.Cores, func(a fake.RunCommand) time.Duration {
		return time.Duration(float64(fake.ParseWork(a)) * n.slowdown)
	})
	it.OnRun(func(a fake.RunCommand) {
		n.runs++
		n.run.recordRun(a.ID)
	})
	if n.run.coldRestarts && n.incarnation > 0 {
		it.MarkCold()
	}
	n.interpreter = it
}

// acceptLink is a server's connection to the interpreter.
type link struct {
	peer   *fake.Link
	stream *simnet.Stream
}

func (n *node) acceptLink(s *simnet.Stream) simnet.StreamHandler {
	n.latestLink = s
	return &link{n.interpreter.Attach(s), s}
}

// Connected implements simos.Actor.
func (l *link) Connected() {}

// Data implements simos.Actor.
func (l *link) Data(p []byte) {
	if !l.peer.Feed(p) {
		l.stream.Close()
	}
}

// Closed implements simos.Actor.
func (l *link) Closed(error) {}

// start starts the server's program, unless it runs already.
func (n *node) start() {
	if n.process != nil {
		if ended, _ := n.process.Exited(); !ended {
			return
		}
	}
	n.incarnation++
	n.startedAt = n.run.sim.Elapsed()
	n.isDraining, n.isKilled, n.counters = false, false, &counterLog{}
	n.process = n.run.sim.Start(n.name(), n.host, n.run.scenario.MaxOpenFiles, func(p *simnet.Process) error {
		s, err := server.NewOnSystem(p, n.config(), zap.New(n.counters))
		if err != nil {
			return err
		}
		n.server = s
		return s.Run()
	})
}

func (n *node) config() *config.Config {
	return &config.Config{Name: n.name(), Listen: n.addr(), Interpreter: n.interpreterAddr(), LoadReports: loadReportAddr, StopTimeout: stopTimeout, Settings: n.run.site,
		Limits: config.Limits{Cores: 1, MemoryMB: serverMemoryMB, Sockets: serverDescriptors}}
}

// kill ends server and interpreter at once; another interpreter is there for the next server.
func (n *node) kill() {
	n.isKilled = true
	n.process.Kill()
	n.server = nil
	n.interpreter.Close()
	n.startInterpreter()
	n.run.markDown(n)
}

// drain tells the server to drain, and kills it where it does not end in time.
func (n *node) drain(onExit func()) {
	if n.server == nil || n.isDraining {
		return
	}
	n.isDraining, n.drainStartedAt = true, n.run.sim.Elapsed()
	n.server.Drain()
	life := n.incarnation
	n.run.sim.After(stopTimeout, func() {
		if ended, _ := n.process.Exited(); ended || n.incarnation != life {
			return
		}
		if n.pausedUntil < n.drainStartedAt { // a machine that stands still can't help it
			n.run.recordViolation("%s was told to leave at %v and did not end before it was killed", n.name(), n.drainStartedAt)
		}
		n.isKilled = true
		n.process.Kill()
	})
	var look func()
	look = func() {
		ended, err := n.process.Exited()
		switch {
		case n.incarnation != life:
		case !ended:
			n.run.sim.After(10*time.Millisecond, look)
		default:
			if err != nil {
				n.run.recordViolation("%s ended with %v", n.name(), err)
			}
			if left := n.process.OpenDescriptors(); left > 0 {
				n.run.recordViolation("%s ended with %d descriptors open", n.name(), left)
			}
			if in, out, told := n.counters.totals(); err == nil && !n.isKilled && (!told || in != out) {
				n.run.recordViolation("%s took %d requests in, and %d were served, refused, failed, invalid or lost with their connection", n.name(), in, out)
			}
			n.server = nil
			n.run.markDown(n)
			if onExit != nil {
				onExit()
			}
		}
	}
	look()
}
