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

// The resources of each server.
const (
	serverCores       = 1
	serverMemoryMB    = 64
	serverDescriptors = 384
)

const (
	// stopTimeout is the time between SIGTERM and SIGKILL.
	stopTimeout = 3200 * time.Millisecond
	// exitPollInterval is the time between two checks whether a draining server has exited.
	exitPollInterval = 10 * time.Millisecond
)

// node is a server with its interpreter, across all their restarts.
type node struct {
	runner          *runner
	number          int
	host            netip.Addr
	interpreterHost netip.Addr

	interpreter    *fake.Interpreter
	slowdown       float64        // factor by which the interpreter multiplies the time of a run
	latestLink     *simnet.Stream // newest connection from the server to the interpreter
	addressChanges uint16         // number of times that the interpreter moved between its ports
	runs           int            // number of runs in all incarnations

	// State of the server's current incarnation.
	incarnation    int // number of the incarnation, from 1
	process        *simnet.Process
	server         *server.Server // nil until the server was created, and after it was killed or drained
	counters       *counterLog
	startedAt      time.Duration
	isKilled       bool
	isDraining     bool
	drainStartedAt time.Duration
	pausedUntil    time.Duration
}

// newNode starts a server and its interpreter, which listens on all of its ports.
func newNode(runner *runner, number int) *node {
	node := &node{
		runner:          runner,
		number:          number,
		slowdown:        1,
		host:            hostAddr(serverNet, number),
		interpreterHost: hostAddr(interpreterNet, number),
	}
	node.startInterpreter()
	for range interpreterPorts {
		runner.sim.Listen(node.interpreterAddr(), node.acceptLink)
		node.addressChanges++
	}
	node.start()
	return node
}

// name returns the server's name in load reports.
func (n *node) name() string { return fmt.Sprint("n", n.number) }

// addr returns the address on which the server listens.
func (n *node) addr() netip.AddrPort { return netip.AddrPortFrom(n.host, serverPort) }

// interpreterAddr returns the interpreter's current address.
func (n *node) interpreterAddr() netip.AddrPort {
	return netip.AddrPortFrom(n.interpreterHost, interpreterPort+n.addressChanges%interpreterPorts)
}

// config returns the server's configuration.
func (n *node) config() *config.Config {
	return &config.Config{
		Name:        n.name(),
		Listen:      n.addr(),
		Interpreter: n.interpreterAddr(),
		LoadReports: loadReportAddr,
		StopTimeout: stopTimeout,
		Settings:    n.runner.site,
		Limits:      config.Limits{Cores: serverCores, MemoryMB: serverMemoryMB, Sockets: serverDescriptors},
	}
}

// startInterpreter starts an interpreter. It replaces the previous one for links that are accepted from now on.
func (n *node) startInterpreter() {
	interpreter := fake.NewInterpreterWithClock(n.runner.sim)
	interpreter.SimulateWork(n.runner.scenario.Cores, func(c fake.RunCommand) time.Duration {
		return time.Duration(float64(fake.ParseWork(c)) * n.slowdown)
	})
	interpreter.OnRun(func(c fake.RunCommand) {
		n.runs++
		n.runner.recordRun(c.ID)
	})
	if n.runner.coldRestarts && n.incarnation > 0 {
		interpreter.MarkCold()
	}
	n.interpreter = interpreter
}

// start starts a new incarnation of the server, unless the server is running.
func (n *node) start() {
	if n.process != nil {
		if hasExited, _ := n.process.Exited(); !hasExited {
			return
		}
	}
	n.incarnation++
	n.startedAt = n.runner.sim.Elapsed()
	n.isDraining = false
	n.isKilled = false
	n.counters = &counterLog{}
	n.process = n.runner.sim.Start(n.name(), n.host, n.runner.scenario.MaxOpenFiles, n.serve)
}

// serve is the server's main function.
func (n *node) serve(p *simnet.Process) error {
	s, err := server.NewOnSystem(p, n.config(), zap.New(n.counters))
	if err != nil {
		return err
	}
	n.server = s
	return s.Run()
}

// reload moves the interpreter to its other port and reloads the server's configuration, as on SIGHUP. It does nothing if
// there is no server.
func (n *node) reload() {
	if n.server != nil {
		n.addressChanges++
		n.server.Reload(n.config())
	}
}

// kill kills the server, closes its interpreter and replaces it.
func (n *node) kill() {
	n.isKilled = true
	n.process.Kill()
	n.server = nil
	n.interpreter.Close()
	n.startInterpreter()
	n.runner.markDown(n)
}

// drain starts to drain the server, as on SIGTERM, and kills it if it does not exit within stopTimeout. onExit, which may be
// nil, is called after the server has exited. drain does nothing if there is no server or it is already draining.
func (n *node) drain(onExit func()) {
	if n.server == nil || n.isDraining {
		return
	}
	n.isDraining = true
	n.drainStartedAt = n.runner.sim.Elapsed()
	n.server.Drain()
	incarnation := n.incarnation
	n.runner.sim.After(stopTimeout, func() { n.killOverdue(incarnation) })
	n.awaitExit(incarnation, onExit)
}

// killOverdue kills an incarnation of the server that has not exited within stopTimeout. This is a violation unless the
// server's machine was paused during the drain.
func (n *node) killOverdue(incarnation int) {
	if hasExited, _ := n.process.Exited(); hasExited || n.incarnation != incarnation {
		return
	}
	if n.pausedUntil < n.drainStartedAt {
		n.runner.recordViolation("%s was told to leave at %v and did not end before it was killed", n.name(), n.drainStartedAt)
	}
	n.isKilled = true
	n.process.Kill()
}

// awaitExit polls until the incarnation has exited. Then it checks the exit, marks the server as down and calls onExit.
func (n *node) awaitExit(incarnation int, onExit func()) {
	if n.incarnation != incarnation {
		return
	}
	hasExited, err := n.process.Exited()
	if !hasExited {
		n.runner.sim.After(exitPollInterval, func() { n.awaitExit(incarnation, onExit) })
		return
	}
	n.checkExit(err)
	n.server = nil
	n.runner.markDown(n)
	if onExit != nil {
		onExit()
	}
}

// checkExit checks a server that has exited after a drain: it returned no error and has no open descriptors. If it was not
// killed, it has also accounted for all requests that it received.
func (n *node) checkExit(err error) {
	if err != nil {
		n.runner.recordViolation("%s ended with %v", n.name(), err)
	}
	if open := n.process.OpenDescriptors(); open > 0 {
		n.runner.recordViolation("%s ended with %d descriptors open", n.name(), open)
	}
	if err != nil || n.isKilled {
		return
	}
	received, accounted, isLogged := n.counters.totals()
	if !isLogged || received != accounted {
		n.runner.recordViolation("%s took %d requests in, and %d were served, refused, failed, invalid or lost with their connection",
			n.name(), received, accounted)
	}
}

// link is the interpreter's end of a connection from the server.
type link struct {
	interpreter *fake.Link
	stream      *simnet.Stream
}

// acceptLink accepts a connection from the server to the interpreter.
func (n *node) acceptLink(s *simnet.Stream) simnet.StreamHandler {
	n.latestLink = s
	return &link{interpreter: n.interpreter.Attach(s), stream: s}
}

// Connected implements simnet.StreamHandler.
func (l *link) Connected() {}

// Data implements simnet.StreamHandler.
func (l *link) Data(p []byte) {
	if !l.interpreter.Feed(p) {
		l.stream.Close()
	}
}

// Closed implements simnet.StreamHandler.
func (l *link) Closed(error) {}
