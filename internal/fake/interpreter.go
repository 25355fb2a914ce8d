package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync"
)

// RunCommand is one command to run a request.
type RunCommand struct {
	ID, Class string
	Body      []byte
}

// message is one line in either direction.
type message struct {
	Op     string    `json:"op"`
	Seq    uint64    `json:"seq,omitempty"`
	ID     string    `json:"id,omitempty"`
	Class  string    `json:"class,omitempty"`
	End    string    `json:"end,omitempty"`
	MS     float64   `json:"ms,omitempty"`
	Tag    string    `json:"tag,omitempty"`
	Body   []byte    `json:"body"`
	Values []float64 `json:"values,omitempty"`
}

// Interpreter stands in for the interpreter: it holds runs until it is told to end them, or ends each at once.
type Interpreter struct {
	clock     Clock
	listener  net.Listener
	listeners []net.Listener // all there were

	mu      sync.Mutex
	up      bool         // BANNER may be sent
	cold    bool         // it was cold at its start
	mute    bool         // SMOKE and TOP are not answered
	prompt  bool         // runs end at once
	busy    float64      // the first gauge
	link    *Link        // the newest
	rank    rank         // of link
	seen    uint64       // of the newest CONNECT
	waiting bool         // a CONNECT waits for BANNER
	notices []message    // all, in order
	applied []RunCommand // all that started a run
	running []string
	refuse  bool              // links are closed at once
	unknown string            // the id of which no request came to this process
	labour  *labour           // nil while runs take no time of their own
	bodies  map[string][]byte // of what runs
	over    map[string]bool   // ids of runs that have ended
	links   int
	read    int // answers to TOP
	heard   func(RunCommand)

	attached int
}

// rank orders links by the address and the time at which they were accepted. A link replaces those of lower rank, and
// what is still read on one of those counts for nothing: it is lost with its link.
type rank struct{ listener, accepted int }

func (r rank) under(o rank) bool {
	return r.listener < o.listener || r.listener == o.listener && r.accepted < o.accepted
}

// NewInterpreter starts an interpreter that is up and ends runs only when told.
func NewInterpreter() (*Interpreter, error) {
	it := NewInterpreterWithClock(wallClock{})
	return it, it.listen()
}

// NewInterpreterWithClock is an interpreter on a clock that links come to by Attach, not by sockets of its own.
func NewInterpreterWithClock(c Clock) *Interpreter {
	return &Interpreter{clock: c, up: true, bodies: map[string][]byte{}, over: map[string]bool{}}
}

// Link is one connection of a server to an interpreter. What is read on it is handed to Feed, in order.
type Link struct {
	it   *Interpreter
	to   io.WriteCloser
	rank rank
	at   string // the address that it came to
	line []byte
}

// Attach takes a link that came after all others.
func (it *Interpreter) Attach(to io.WriteCloser) *Link {
	l := &Link{it: it, to: to}
	it.set(func() {
		it.attached++
		l.rank = rank{accepted: it.attached}
	})
	return l
}

// Feed takes in bytes, and tells whether the link is to go on.
func (l *Link) Feed(p []byte) bool {
	l.line = append(l.line, p...)
	for {
		line, rest, whole := bytes.Cut(l.line, []byte{'\n'})
		if !whole {
			return true
		}
		var m message
		if json.Unmarshal(line, &m) != nil || !l.it.take(l, m) {
			return false
		}
		l.line = append(l.line[:0], rest...)
	}
}

// listen accepts links at a new address.
func (it *Interpreter) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var of rank
	it.set(func() {
		it.listener = listener
		it.listeners = append(it.listeners, listener)
		of.listener = len(it.listeners)
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			of.accepted++
			go it.serve(&Link{it: it, to: c, rank: of, at: c.LocalAddr().String()}, c)
		}
	}()
	return nil
}

// Close ends all links and takes no more.
func (it *Interpreter) Close() {
	it.set(func() {
		for _, l := range it.listeners {
			l.Close()
		}
		if it.labour != nil {
			it.labour.stop()
			it.labour = nil
		}
	})
	it.CutLink()
}

// AddListener has the same interpreter accept links at a new address too, and returns that.
func (it *Interpreter) AddListener() (string, error) {
	err := it.listen()
	return it.Addr(), err
}

// LinkAddr is the address at which the newest link was made, or "" while there is none.
func (it *Interpreter) LinkAddr() string {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.link == nil {
		return ""
	}
	return it.link.at
}

// Addr is where links are accepted.
func (it *Interpreter) Addr() string {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.listener.Addr().String()
}

// set changes the interpreter under its lock.
func (it *Interpreter) set(change func()) {
	it.mu.Lock()
	defer it.mu.Unlock()
	change()
}

// FinishImmediately has every run end at once with the body of its request in brackets.
func (it *Interpreter) FinishImmediately() { it.set(func() { it.prompt = true }) }

// IgnoreQueries leaves questions without an answer from now on.
func (it *Interpreter) IgnoreQueries() { it.set(func() { it.mute = true }) }

// OnRun has each run told to heard as it starts.
func (it *Interpreter) OnRun(heard func(RunCommand)) { it.set(func() { it.heard = heard }) }

// LinkCount is how many links were made.
func (it *Interpreter) LinkCount() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.links
}

// GaugeReadings is how often the gauges have been told.
func (it *Interpreter) GaugeReadings() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.read
}

// SetUtilization sets the gauge of the cores.
func (it *Interpreter) SetUtilization(part float64) { it.set(func() { it.busy = part }) }

// MarkDown has the interpreter not come up yet.
func (it *Interpreter) MarkDown() { it.set(func() { it.up = false }) }

// MarkCold has the interpreter say that it was cold at its start.
func (it *Interpreter) MarkCold() { it.set(func() { it.cold = true }) }

// RunningCount is how many runs have begun and not ended.
func (it *Interpreter) RunningCount() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return len(it.running)
}

// MarkUp lets the interpreter come up.
func (it *Interpreter) MarkUp() {
	it.set(func() {
		it.up = true
		it.greet()
	})
}

// UnknownType has commands for the id turned away.
func (it *Interpreter) RejectRun(id string) { it.set(func() { it.unknown = id }) }

// CutLink ends the link, and Refuse closes new ones too until Cut is called with Refuse(false).
func (it *Interpreter) CutLink() {
	it.set(func() {
		if it.link != nil {
			it.link.to.Close()
			it.link = nil
		}
	})
}

// RejectLinks closes new links at once.
func (it *Interpreter) RejectLinks(refuse bool) { it.set(func() { it.refuse = refuse }) }

// EndRequest ends a run.
func (it *Interpreter) EndRun(id, end string, result []byte) {
	it.set(func() { it.end(id, end, result) })
}

// AwaitCall has a run wait for a call to what lies below.
func (it *Interpreter) AwaitCall(id string, body []byte) {
	it.set(func() { it.tell(message{Op: "AWAIT", ID: id, Body: body}) })
}

// StartedRuns returns the commands that started a run so far.
func (it *Interpreter) StartedRuns() []RunCommand {
	it.mu.Lock()
	defer it.mu.Unlock()
	return slices.Clone(it.applied)
}

// serve reads one link.
func (it *Interpreter) serve(l *Link, from net.Conn) {
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.Feed(buf[:n]) || err != nil {
			return
		}
	}
}

// take carries out one command, unless its link was replaced or cut.
func (it *Interpreter) take(l *Link, m message) bool {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.refuse || l.rank.under(it.rank) || m.Op != "CONNECT" && it.link != l {
		return false
	}
	if !it.up && (m.Op == "TOP" || m.Op == "SMOKE") { // the platform's does so
		it.write(message{Op: "ERROR", End: m.Op, ID: m.Tag})
		return true
	}
	switch m.Op {
	case "CONNECT":
		if it.link != nil && it.link != l {
			it.link.to.Close()
		}
		it.link, it.rank, it.seen, it.waiting = l, l.rank, m.Seq, true
		it.links++
		it.greet()
	case "APPLY":
		if slices.Contains(it.running, m.ID) {
			return true
		}
		if m.ID == it.unknown {
			it.write(message{Op: "ERROR", End: m.Op, ID: m.ID})
			return true
		}
		if it.over[m.ID] { // asked for again while the word of its end was on the way: nothing starts
			it.notify(m.ID, "MOOT", nil)
			return true
		}
		it.apply(RunCommand{m.ID, m.Class, m.Body})
	case "BREAK":
		it.end(m.ID, "STOPPED", nil)
	case "TOP":
		if it.labour != nil {
			it.labourOn(it.labour) // the gauge is that of now
		}
		if !it.mute {
			it.read++
			it.write(message{Op: "TOPS", Tag: m.Tag, Values: []float64{it.busy, float64(len(it.running)), 0, 0}})
		}
	case "SMOKE":
		if !it.mute {
			it.write(message{Op: "SMOKED", Tag: m.Tag, End: "OK"})
		}
	default:
		return false
	}
	return true
}

// apply starts a run.
func (it *Interpreter) apply(a RunCommand) {
	if it.labour != nil {
		it.labourOn(it.labour) // what ran before had the cores until now
	}
	it.applied = append(it.applied, a)
	it.running = append(it.running, a.ID)
	it.bodies[a.ID] = a.Body
	if it.heard != nil {
		it.heard(a)
	}
	if it.labour != nil {
		it.labour.left[a.ID] = it.labour.took(a)
		it.labours(it.labour)
	}
	if it.prompt {
		it.end(a.ID, "OK", slices.Concat([]byte("["), a.Body, []byte("]")))
	}
}

// greet answers CONNECT once the interpreter is up.
func (it *Interpreter) greet() {
	if !it.up || !it.waiting {
		return
	}
	it.waiting = false
	state := "WARM"
	if it.cold {
		state = "COLD"
	}
	it.write(message{Op: "BANNER", End: state, MS: 1})
	for _, n := range it.notices {
		if n.Seq > it.seen {
			it.write(n)
		}
	}
}

// end ends a run.
func (it *Interpreter) end(id, end string, result []byte) {
	i := slices.Index(it.running, id)
	if i < 0 {
		return
	}
	it.running = slices.Delete(it.running, i, i+1)
	delete(it.bodies, id)
	if it.labour != nil {
		delete(it.labour.left, id)
	}
	it.over[id] = true
	it.notify(id, end, result)
}

// notify tells how a run ended, and notes it for links to come.
func (it *Interpreter) notify(id, end string, result []byte) {
	it.tell(message{Op: "VALUE", ID: id, End: end, MS: 1, Body: result})
}

// tell numbers a notice, notes it for links to come and sends it.
func (it *Interpreter) tell(n message) {
	n.Seq = uint64(len(it.notices) + 1)
	it.notices = append(it.notices, n)
	it.write(n)
}

// write sends a line on the link there is; one that is lost is sent again on the next.
func (it *Interpreter) write(m message) {
	if it.link == nil {
		return
	}
	text, err := json.Marshal(m)
	if err != nil {
		return // a message of texts and numbers can always be written
	}
	it.link.to.Write(append(text, '\n'))
}
