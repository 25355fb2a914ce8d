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
	// exitPollInterval is how often it is checked whether a draining server has exited.
	exitPollInterval = 10 * time.Millisecond
)

// node is a server with its interpreter, over any number of restarts of both.
type node struct {
	runner          *runner
	number          int
	host            netip.Addr
	interpreterHost netip.Addr

	interpreter    *fake.Interpreter
	slowdown       float64        // by which the interpreter multiplies the time of a run
	latestLink     *simnet.Stream // from the server to the interpreter
	addressChanges uint16         // of the interpreter, between its two ports
	runs           int            // in all incarnations

	// Of the current incarnation of the server.
	incarnation    int // from 1
	process        *simnet.Process
	server         *server.Server // nil before it listens and when it has gone
	counters       *counterLog
	startedAt      time.Duration
	isKilled       bool
	isDraining     bool
	drainStartedAt time.Duration
	pausedUntil    time.Duration
}

// newNode starts a server and its interpreter, which can be reached at both of its ports.
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

// addr returns where the server listens.
func (n *node) addr() netip.AddrPort { return netip.AddrPortFrom(n.host, serverPort) }

// interpreterAddr returns where the interpreter is now.
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

// startInterpreter replaces the interpreter for links that are made from now on.
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

// start starts the server, unless it runs.
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

// reload moves the interpreter to its other port and has the server reload its configuration, as on SIGHUP.
func (n *node) reload() {
	if n.server != nil {
		n.addressChanges++
		n.server.Reload(n.config())
	}
}

// kill ends the server and its interpreter at once, and replaces the interpreter.
func (n *node) kill() {
	n.isKilled = true
	n.process.Kill()
	n.server = nil
	n.interpreter.Close()
	n.startInterpreter()
	n.runner.markDown(n)
}

// drain has the server drain, as on SIGTERM, and kills it if it does not exit in time. onExit, which may be nil, is called once it
// has exited.
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

// killOverdue kills the server if it has not exited within stopTimeout, which is a violation unless its machine was paused.
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

// awaitExit polls until the incarnation has exited.
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

// checkExit checks what a server that drained has left behind.
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
	in, out, isLogged := n.counters.totals()
	if !isLogged || in != out {
		n.runner.recordViolation("%s took %d requests in, and %d were served, refused, failed, invalid or lost with their connection",
			n.name(), in, out)
	}
}

// link is a server's connection to the interpreter, as the interpreter sees it.
type link struct {
	interpreter *fake.Link
	stream      *simnet.Stream
}

// acceptLink accepts a server's connection to the interpreter.
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
