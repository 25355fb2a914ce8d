package fake

import (
	"net"
	"slices"
	"sync"
)

// RunCommand is the server's command to run a request.
type RunCommand struct {
	ID, Class string
	Body      []byte
}

// Interpreter is a fake interpreter. It starts a run for each command and ends it when a test calls EndRun, immediately
// (FinishImmediately) or after simulated work (SimulateWork). It is safe for concurrent use.
type Interpreter struct {
	clock Clock

	mu        sync.Mutex     // guards all that follows
	listener  net.Listener   // the newest
	listeners []net.Listener // all there were, to be closed
	behavior  behavior
	session   session
	runs      runTable
	work      *simulatedWork // nil while runs take no time of their own
	onRun     func(RunCommand)

	linkCount     int
	attachCount   int // links added by Attach
	gaugeReadings int // answers to TOP
}

// behavior is what tests may change in how the interpreter answers.
type behavior struct {
	isUp              bool    // BANNER may be sent
	wasCold           bool    // BANNER states that the interpreter started without warm caches
	ignoresQueries    bool    // SMOKE and TOP get no answer
	finishImmediately bool    // runs end as they start
	rejectsLinks      bool    // links are closed at their first command
	rejectedID        string  // the request whose APPLY gets an error
	utilization       float64 // the first gauge
}

// runTable is the state of all runs.
type runTable struct {
	started  []RunCommand // all commands that started a run, in order
	running  []string     // request IDs in the order of their start
	bodies   map[string][]byte
	finished map[string]bool
}

// NewInterpreter starts an interpreter that listens on loopback, is up and ends runs only by EndRun.
func NewInterpreter() (*Interpreter, error) {
	it := NewInterpreterWithClock(wallClock{})
	return it, it.listen()
}

// NewInterpreterWithClock returns an interpreter that uses the clock and has no sockets: links are added by Attach.
func NewInterpreterWithClock(clock Clock) *Interpreter {
	return &Interpreter{clock: clock, behavior: behavior{isUp: true},
		runs: runTable{bodies: map[string][]byte{}, finished: map[string]bool{}}}
}

// Close stops listening, ends simulated work and closes the link.
func (it *Interpreter) Close() {
	it.update(func() {
		for _, l := range it.listeners {
			l.Close()
		}
		it.stopWork()
	})
	it.CutLink()
}

// update changes the interpreter under its lock.
func (it *Interpreter) update(change func()) {
	it.mu.Lock()
	defer it.mu.Unlock()
	change()
}

// FinishImmediately has every run end as it starts, with the body of its request in brackets as result.
func (it *Interpreter) FinishImmediately() {
	it.update(func() { it.behavior.finishImmediately = true })
}

// IgnoreQueries leaves health checks and gauge queries without an answer from now on.
func (it *Interpreter) IgnoreQueries() { it.update(func() { it.behavior.ignoresQueries = true }) }

// SetUtilization sets the gauge of the cores.
func (it *Interpreter) SetUtilization(part float64) {
	it.update(func() { it.behavior.utilization = part })
}

// MarkDown has the interpreter behave as one that is still starting.
func (it *Interpreter) MarkDown() { it.update(func() { it.behavior.isUp = false }) }

// MarkUp reverts MarkDown: the interpreter has started, and sends its banner.
func (it *Interpreter) MarkUp() {
	it.update(func() {
		it.behavior.isUp = true
		it.sendBanner()
	})
}

// MarkCold has the interpreter's banner state that it started without warm caches.
func (it *Interpreter) MarkCold() { it.update(func() { it.behavior.wasCold = true }) }

// RejectRun answers commands to run the request with an error.
func (it *Interpreter) RejectRun(id string) { it.update(func() { it.behavior.rejectedID = id }) }

// RejectLinks sets whether links are closed at their first command.
func (it *Interpreter) RejectLinks(reject bool) {
	it.update(func() { it.behavior.rejectsLinks = reject })
}

// OnRun has the function called with each run as it starts. It is called with the interpreter locked and must not call it.
func (it *Interpreter) OnRun(started func(RunCommand)) { it.update(func() { it.onRun = started }) }

// EndRun ends a run with a status and a result.
func (it *Interpreter) EndRun(id, status string, result []byte) {
	it.update(func() { it.endRun(id, status, result) })
}

// AwaitCall has a run wait for a call to a server downstream.
func (it *Interpreter) AwaitCall(id string, body []byte) {
	it.update(func() { it.sendNotice(message{Op: opAwait, ID: id, Body: body}) })
}

// StartedRuns returns the commands that started a run so far.
func (it *Interpreter) StartedRuns() []RunCommand {
	it.mu.Lock()
	defer it.mu.Unlock()
	return slices.Clone(it.runs.started)
}

// RunningCount returns how many runs have started and not ended.
func (it *Interpreter) RunningCount() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return len(it.runs.running)
}

// GaugeReadings returns how often the gauges were sent.
func (it *Interpreter) GaugeReadings() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.gaugeReadings
}

// startRun starts a run. The caller holds the lock.
func (it *Interpreter) startRun(command RunCommand) {
	if it.work != nil {
		it.spendWork(it.work) // what ran before had the cores to itself until now
	}
	it.runs.started = append(it.runs.started, command)
	it.runs.running = append(it.runs.running, command.ID)
	it.runs.bodies[command.ID] = command.Body
	if it.onRun != nil {
		it.onRun(command)
	}
	if it.work != nil {
		it.work.remaining[command.ID] = it.work.runTime(command)
		it.scheduleWork(it.work)
	}
	if it.behavior.finishImmediately {
		it.endRun(command.ID, statusOK, slices.Concat([]byte("["), command.Body, []byte("]")))
	}
}

// endRun ends a run, if it has not ended, and sends the notice of it. The caller holds the lock.
func (it *Interpreter) endRun(id, status string, result []byte) {
	i := slices.Index(it.runs.running, id)
	if i < 0 {
		return
	}
	it.runs.running = slices.Delete(it.runs.running, i, i+1)
	delete(it.runs.bodies, id)
	if it.work != nil {
		delete(it.work.remaining, id)
	}
	it.runs.finished[id] = true
	it.sendRunEnd(id, status, result)
}

// sendRunEnd sends the notice of a run's end. The caller holds the lock.
func (it *Interpreter) sendRunEnd(id, status string, result []byte) {
	it.sendNotice(message{Op: opValue, ID: id, End: status, MS: 1, Body: result})
}
