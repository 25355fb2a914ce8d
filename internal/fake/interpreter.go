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

// Interpreter is a fake interpreter. It starts a run for each APPLY command. A run ends when a test calls EndRun, when the
// server stops it, immediately (FinishImmediately) or after simulated work (SimulateWork). It is safe for concurrent use.
type Interpreter struct {
	clock Clock

	mu        sync.Mutex     // guards the fields below
	listener  net.Listener   // the newest listener
	listeners []net.Listener // all listeners, which Close closes
	behavior  behavior
	session   session
	runs      runTable
	work      *simulatedWork // nil unless work is simulated
	onRun     func(RunCommand)

	linkCount     int // CONNECT commands executed
	attachCount   int // links added by Attach
	gaugeReadings int // answers sent to TOP
}

// behavior holds the settings by which tests change the interpreter's answers.
type behavior struct {
	isUp              bool    // the interpreter has started: it sends BANNER and answers SMOKE and TOP
	wasCold           bool    // BANNER states that the interpreter started without warm caches
	ignoresQueries    bool    // SMOKE and TOP get no answer
	finishImmediately bool    // a run ends as soon as it starts
	rejectsLinks      bool    // a link is closed when a command arrives on it
	rejectedID        string  // ID of the request whose APPLY is answered with ERROR
	utilization       float64 // value of the first gauge, the utilization of the cores
}

// runTable is the state of all runs.
type runTable struct {
	started  []RunCommand      // all commands that started a run, in order
	running  []string          // request IDs in the order in which the runs started
	bodies   map[string][]byte // bodies of the running requests, by request ID
	finished map[string]bool   // by request ID
}

// NewInterpreter starts an interpreter that listens on loopback and is up. It ends a run only when a test calls EndRun or
// the server stops the run.
func NewInterpreter() (*Interpreter, error) {
	it := NewInterpreterWithClock(wallClock{})
	return it, it.listen()
}

// NewInterpreterWithClock returns an interpreter that uses the clock and has no sockets. Attach adds its links.
func NewInterpreterWithClock(clock Clock) *Interpreter {
	return &Interpreter{clock: clock, behavior: behavior{isUp: true},
		runs: runTable{bodies: map[string][]byte{}, finished: map[string]bool{}}}
}

// Close closes the listeners and the current link, and stops the simulation of work.
func (it *Interpreter) Close() {
	it.update(func() {
		for _, l := range it.listeners {
			l.Close()
		}
		it.stopWork()
	})
	it.CutLink()
}

// update calls change with the interpreter locked.
func (it *Interpreter) update(change func()) {
	it.mu.Lock()
	defer it.mu.Unlock()
	change()
}

// FinishImmediately makes each later run end as soon as it starts. The result is the body of its request in brackets.
func (it *Interpreter) FinishImmediately() {
	it.update(func() { it.behavior.finishImmediately = true })
}

// IgnoreQueries makes the interpreter send no answers to health checks and gauge queries from now on.
func (it *Interpreter) IgnoreQueries() { it.update(func() { it.behavior.ignoresQueries = true }) }

// SetUtilization sets the gauge of the cores' utilization, a fraction.
func (it *Interpreter) SetUtilization(fraction float64) {
	it.update(func() { it.behavior.utilization = fraction })
}

// MarkDown makes the interpreter behave as if it were still starting.
func (it *Interpreter) MarkDown() { it.update(func() { it.behavior.isUp = false }) }

// MarkUp reverts MarkDown. The interpreter sends its banner to a server that waits for it.
func (it *Interpreter) MarkUp() {
	it.update(func() {
		it.behavior.isUp = true
		it.sendBanner()
	})
}

// MarkCold makes later banners state that the interpreter started without warm caches.
func (it *Interpreter) MarkCold() { it.update(func() { it.behavior.wasCold = true }) }

// RejectRun makes the interpreter answer commands to run the request with an error. It replaces the request of an earlier
// call.
func (it *Interpreter) RejectRun(id string) { it.update(func() { it.behavior.rejectedID = id }) }

// RejectLinks sets whether the interpreter closes a link when the next command arrives on it.
func (it *Interpreter) RejectLinks(reject bool) {
	it.update(func() { it.behavior.rejectsLinks = reject })
}

// OnRun sets the function that is called with the command of each run that starts. The interpreter is locked during the
// call, so started must not call its methods.
func (it *Interpreter) OnRun(started func(RunCommand)) { it.update(func() { it.onRun = started }) }

// EndRun ends a run with a status and a result. It does nothing if the request with the ID is not running.
func (it *Interpreter) EndRun(id, status string, result []byte) {
	it.update(func() { it.endRun(id, status, result) })
}

// AwaitCall sends the notice that a run waits for a call to a downstream server.
func (it *Interpreter) AwaitCall(id string, body []byte) {
	it.update(func() { it.sendNotice(message{Op: opAwait, ID: id, Body: body}) })
}

// StartedRuns returns the commands that have started runs so far, in order.
func (it *Interpreter) StartedRuns() []RunCommand {
	it.mu.Lock()
	defer it.mu.Unlock()
	return slices.Clone(it.runs.started)
}

// RunningCount returns the number of runs that have started but not ended.
func (it *Interpreter) RunningCount() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return len(it.runs.running)
}

// GaugeReadings returns how many answers to gauge queries the interpreter has sent.
func (it *Interpreter) GaugeReadings() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.gaugeReadings
}

// startRun starts a run. The caller holds the lock.
func (it *Interpreter) startRun(command RunCommand) {
	if it.work != nil {
		it.advanceWork(it.work) // until now the earlier runs did not share the cores with this one
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

// endRun ends a run and sends the notice of its end. It does nothing if the request with the ID is not running. The caller
// holds the lock.
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
