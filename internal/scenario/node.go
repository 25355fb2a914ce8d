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
	serverMB    = 64
	serverFiles = 384
	stopAfter   = 3200 * time.Millisecond
)

// node is a server with its interpreter, over any number of lives of both.
type node struct {
	run         *run
	number      int
	host, vm    netip.Addr
	process     *simnet.Process
	server      *server.Server
	interpreter *fake.Interpreter
	slow        float64
	life        int
	dead        bool           // it was killed in this life
	newest      *simnet.Stream // of the links
	counters    *counters
	moved       uint16 // how often the interpreter moved between its two addresses
	leaving     bool
	stopped     time.Duration // when it was told to leave
	stood       time.Duration // until when its machine stood still
	started     time.Duration // in this life
	runs        int           // in all lives
}

func newNode(r *run, number int) *node {
	n := &node{run: r, number: number, slow: 1, host: netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}),
		vm: netip.AddrFrom4([4]byte{10, 2, byte(number >> 8), byte(number)})}
	n.newInterpreter()
	for range 2 {
		r.world.Listen(n.vmAddr(), n.link)
		n.moved++
	}
	n.start()
	return n
}

func (n *node) addr() netip.AddrPort   { return netip.AddrPortFrom(n.host, 9000) }
func (n *node) vmAddr() netip.AddrPort { return netip.AddrPortFrom(n.vm, 9100+n.moved%2) }
func (n *node) name() string           { return fmt.Sprint("n", n.number) }

// newInterpreter has a new interpreter take the links that come from now on.
func (n *node) newInterpreter() {
	it := fake.NewQuietInterpreter(n.run.world)
	it.Work(n.run.scenario.Cores, func(a fake.Apply) time.Duration {
		return time.Duration(float64(fake.BodyWork(a)) * n.slow)
	})
	it.OnApply(func(a fake.Apply) {
		n.runs++
		n.run.ran(a.ID)
	})
	if n.run.cold && n.life > 0 {
		it.Cold()
	}
	n.interpreter = it
}

// link is a server's connection to the interpreter.
type link struct {
	to   *fake.Link
	from *simnet.Stream
}

func (n *node) link(s *simnet.Stream) simnet.Actor {
	n.newest = s
	return &link{n.interpreter.Attach(s), s}
}

// Connected implements simos.Actor.
func (l *link) Connected() {}

// Data implements simos.Actor.
func (l *link) Data(p []byte) {
	if !l.to.Feed(p) {
		l.from.Close()
	}
}

// Closed implements simos.Actor.
func (l *link) Closed(error) {}

// start starts the server's program, unless it runs already.
func (n *node) start() {
	if n.process != nil {
		if ended, _ := n.process.Ended(); !ended {
			return
		}
	}
	n.life++
	n.started = n.run.world.Elapsed()
	n.leaving, n.dead, n.counters = false, false, &counters{}
	n.process = n.run.world.Start(n.name(), n.host, n.run.scenario.Files, func(p *simnet.Process) error {
		s, err := server.NewOn(p, n.config(), zap.New(n.counters))
		if err != nil {
			return err
		}
		n.server = s
		return s.Run()
	})
}

func (n *node) config() *config.Config {
	return &config.Config{Name: n.name(), Listen: n.addr(), Interpreter: n.vmAddr(), Announce: announceAt, Stop: stopAfter, Settings: n.run.told,
		Limits: config.Limits{Cores: 1, MemoryMB: serverMB, Sockets: serverFiles}}
}

// kill ends server and interpreter at once; another interpreter is there for the next server.
func (n *node) kill() {
	n.dead = true
	n.process.Kill()
	n.server = nil
	n.interpreter.Close()
	n.newInterpreter()
	n.run.died(n)
}

// leave tells the server to drain, and kills it where it does not end in time.
func (n *node) leave(then func()) {
	if n.server == nil || n.leaving {
		return
	}
	n.leaving, n.stopped = true, n.run.world.Elapsed()
	n.server.Drain()
	life := n.life
	n.run.world.After(stopAfter, func() {
		if ended, _ := n.process.Ended(); ended || n.life != life {
			return
		}
		if n.stood < n.stopped { // a machine that stands still can't help it
			n.run.breach("%s was told to leave at %v and did not end before it was killed", n.name(), n.stopped)
		}
		n.dead = true
		n.process.Kill()
	})
	var look func()
	look = func() {
		ended, err := n.process.Ended()
		switch {
		case n.life != life:
		case !ended:
			n.run.world.After(10*time.Millisecond, look)
		default:
			if err != nil {
				n.run.breach("%s ended with %v", n.name(), err)
			}
			if left := n.process.Files(); left > 0 {
				n.run.breach("%s ended with %d descriptors open", n.name(), left)
			}
			if in, out, told := n.counters.sums(); err == nil && !n.dead && (!told || in != out) {
				n.run.breach("%s took %d requests in, and %d were served, refused, failed, invalid or lost with their connection", n.name(), in, out)
			}
			n.server = nil
			n.run.died(n)
			if then != nil {
				then()
			}
		}
	}
	look()
}
