package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"slices"
)

// The commands and answers of the interpreter's protocol.
const (
	opConnect    = "CONNECT"
	opBanner     = "BANNER"
	opRun        = "APPLY"
	opStop       = "BREAK"
	opValue      = "VALUE"
	opAwait      = "AWAIT"
	opGauges     = "TOP"
	opGaugesRead = "TOPS"
	opCheck      = "SMOKE"
	opChecked    = "SMOKED"
	opError      = "ERROR"
)

// The statuses of runs, checks and banners.
const (
	statusOK         = "OK"
	statusStopped    = "STOPPED"
	statusNotStarted = "MOOT"
	bannerWarm       = "WARM"
	bannerCold       = "COLD"
)

// readBufferSize is the size of the buffers that connections are read into.
const readBufferSize = 32 << 10

// message is one line of the protocol, in either direction.
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

// session is the connection state that lasts over links: notices are numbered, and a server that connects again is sent
// those that it has not seen.
type session struct {
	link         *Link     // the newest, nil after it was cut
	order        linkOrder // of the newest link
	lastReceived uint64    // the number of the last notice that the server had received, by its newest CONNECT
	awaitsBanner bool      // CONNECT was received and BANNER was not sent
	notices      []message
}

// linkOrder orders links by the address and the time at which they were accepted. A link replaces those before it in
// the order, and what is still read on one of those is ignored.
type linkOrder struct{ listener, accepted int }

// isBelow reports whether the link comes before the other in the order.
func (r linkOrder) isBelow(other linkOrder) bool {
	return r.listener < other.listener || r.listener == other.listener && r.accepted < other.accepted
}

// Link is one connection of a server to an interpreter. What is read on it must be passed to Feed, in order.
type Link struct {
	interpreter *Interpreter
	peer        io.WriteCloser
	order       linkOrder
	localAddr   string // the address at which it was accepted; "" without a socket
	partialLine []byte // an incomplete line
}

// Attach adds a link without a socket; it is newer than all others.
func (it *Interpreter) Attach(peer io.WriteCloser) *Link {
	l := &Link{interpreter: it, peer: peer}
	it.update(func() {
		it.attachCount++
		l.order = linkOrder{accepted: it.attachCount}
	})
	return l
}

// Feed takes the next bytes, and returns whether the link is to be kept.
func (l *Link) Feed(data []byte) bool {
	l.partialLine = append(l.partialLine, data...)
	for {
		line, rest, whole := bytes.Cut(l.partialLine, []byte{'\n'})
		if !whole {
			return true
		}
		var m message
		if json.Unmarshal(line, &m) != nil || !l.interpreter.handle(l, m) {
			return false
		}
		l.partialLine = append(l.partialLine[:0], rest...)
	}
}

// listen accepts links at a new address.
func (it *Interpreter) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var order linkOrder
	it.update(func() {
		it.listener = listener
		it.listeners = append(it.listeners, listener)
		order.listener = len(it.listeners)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			order.accepted++
			l := &Link{interpreter: it, peer: conn, order: order, localAddr: conn.LocalAddr().String()}
			go l.read(conn)
		}
	}()
	return nil
}

// read reads the link's connection until it ends or is to end.
func (l *Link) read(conn net.Conn) {
	defer conn.Close()
	buf := make([]byte, readBufferSize)
	for {
		n, err := conn.Read(buf)
		if !l.Feed(buf[:n]) || err != nil {
			return
		}
	}
}

// AddListener has the interpreter accept links at a new address too, and returns that.
func (it *Interpreter) AddListener() (string, error) {
	err := it.listen()
	return it.Addr(), err
}

// Addr returns the newest address at which links are accepted.
func (it *Interpreter) Addr() string {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.listener.Addr().String()
}

// LinkAddr returns the address at which the newest link was accepted, or "" while there is none.
func (it *Interpreter) LinkAddr() string {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.session.link == nil {
		return ""
	}
	return it.session.link.localAddr
}

// LinkCount returns how many links have connected.
func (it *Interpreter) LinkCount() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.linkCount
}

// CutLink closes the link. The server may connect again, unless RejectLinks forbids it.
func (it *Interpreter) CutLink() {
	it.update(func() {
		if it.session.link != nil {
			it.session.link.peer.Close()
			it.session.link = nil
		}
	})
}

// handle carries out a command, and returns whether the link is to be kept. A command on a link that was replaced or cut is
// ignored.
func (it *Interpreter) handle(link *Link, command message) bool {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.behavior.rejectsLinks || link.order.isBelow(it.session.order) || command.Op != opConnect && it.session.link != link {
		return false
	}
	if !it.behavior.isUp && (command.Op == opGauges || command.Op == opCheck) { // as the platform's interpreter does
		it.send(message{Op: opError, End: command.Op, ID: command.Tag})
		return true
	}
	switch command.Op {
	case opConnect:
		it.connect(link, command.Seq)
	case opRun:
		it.handleRun(command)
	case opStop:
		it.endRun(command.ID, statusStopped, nil)
	case opGauges:
		it.handleGauges(command)
	case opCheck:
		if !it.behavior.ignoresQueries {
			it.send(message{Op: opChecked, Tag: command.Tag, End: statusOK})
		}
	default:
		return false
	}
	return true
}

// connect makes the link the newest; lastReceived is the number of the last notice that the server has.
func (it *Interpreter) connect(l *Link, lastReceived uint64) {
	s := &it.session
	if s.link != nil && s.link != l {
		s.link.peer.Close()
	}
	s.link, s.order, s.lastReceived, s.awaitsBanner = l, l.order, lastReceived, true
	it.linkCount++
	it.sendBanner()
}

// sendBanner answers CONNECT once the interpreter is up, and sends the notices that the server has missed.
func (it *Interpreter) sendBanner() {
	if !it.behavior.isUp || !it.session.awaitsBanner {
		return
	}
	it.session.awaitsBanner = false
	state := bannerWarm
	if it.behavior.wasCold {
		state = bannerCold
	}
	it.send(message{Op: opBanner, End: state, MS: 1})
	for _, notice := range it.session.notices {
		if notice.Seq > it.session.lastReceived {
			it.send(notice)
		}
	}
}

// handleRun starts a run, unless it was started before.
func (it *Interpreter) handleRun(m message) {
	switch {
	case slices.Contains(it.runs.running, m.ID):
	case m.ID == it.behavior.rejectedID:
		it.send(message{Op: opError, End: m.Op, ID: m.ID})
	case it.runs.finished[m.ID]: // submitted again while the notice of its end was in transit
		it.sendRunEnd(m.ID, statusNotStarted, nil)
	default:
		it.startRun(RunCommand{m.ID, m.Class, m.Body})
	}
}

// handleGauges answers with the gauges as they are now.
func (it *Interpreter) handleGauges(m message) {
	if it.work != nil {
		it.spendWork(it.work)
	}
	if !it.behavior.ignoresQueries {
		it.gaugeReadings++
		values := []float64{it.behavior.utilization, float64(len(it.runs.running)), 0, 0}
		it.send(message{Op: opGaugesRead, Tag: m.Tag, Values: values})
	}
}

// sendNotice numbers a notice, keeps it for links to come and sends it.
func (it *Interpreter) sendNotice(notice message) {
	notice.Seq = uint64(len(it.session.notices) + 1)
	it.session.notices = append(it.session.notices, notice)
	it.send(notice)
}

// send writes a line to the link, if there is one. A notice that is lost is sent again on the next link.
func (it *Interpreter) send(m message) {
	if it.session.link == nil {
		return
	}
	text, err := json.Marshal(m)
	if err != nil {
		return // a message of texts and finite numbers can always be marshalled
	}
	it.session.link.peer.Write(append(text, '\n'))
}
