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

// readBufferSize is the size, in bytes, of the buffers for reading from connections.
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

// session is the state that outlives a link. Notices are numbered, and a server that reconnects is sent the notices that it
// has not received.
type session struct {
	link         *Link     // the newest link, or nil after CutLink
	order        linkOrder // of the newest link
	lastReceived uint64    // number of the last notice that the server had received, as stated in its newest CONNECT
	awaitsBanner bool      // CONNECT was received, but BANNER is not sent yet
	notices      []message // all notices, in the order of their numbers, which start at 1
}

// linkOrder orders links by listener, oldest first, and the links of one listener by the time of acceptance. When a link
// sends CONNECT, it replaces the links before it in this order. Commands that are read from a replaced link are ignored.
type linkOrder struct{ listener, accepted int }

// isBefore reports whether a link with order r comes before a link with the other order.
func (r linkOrder) isBefore(other linkOrder) bool {
	return r.listener < other.listener || r.listener == other.listener && r.accepted < other.accepted
}

// Link is a server's connection to an interpreter. The caller must pass all bytes that are read from it to Feed, in order.
type Link struct {
	interpreter *Interpreter
	peer        io.WriteCloser
	order       linkOrder
	localAddr   string // the address at which the link was accepted; "" without a socket
	partialLine []byte // received bytes of an incomplete line
}

// Attach adds a link without a socket. The link is newer than all links attached before.
func (it *Interpreter) Attach(peer io.WriteCloser) *Link {
	l := &Link{interpreter: it, peer: peer}
	it.update(func() {
		it.attachCount++
		l.order = linkOrder{accepted: it.attachCount}
	})
	return l
}

// Feed processes the next bytes and reports whether the link is to be kept open.
func (l *Link) Feed(data []byte) bool {
	l.partialLine = append(l.partialLine, data...)
	for {
		line, rest, found := bytes.Cut(l.partialLine, []byte{'\n'})
		if !found {
			return true
		}
		var m message
		if json.Unmarshal(line, &m) != nil || !l.interpreter.handle(l, m) {
			return false
		}
		l.partialLine = append(l.partialLine[:0], rest...)
	}
}

// listen starts to accept links at a new loopback address.
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

// read passes the bytes from the link's connection to Feed until the connection ends or Feed returns false. It then closes
// the connection.
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

// AddListener makes the interpreter accept links at an additional address, and returns that address.
func (it *Interpreter) AddListener() (string, error) {
	err := it.listen()
	return it.Addr(), err
}

// Addr returns the address of the newest listener.
func (it *Interpreter) Addr() string {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.listener.Addr().String()
}

// LinkAddr returns the address at which the current link was accepted, or "" if there is no link.
func (it *Interpreter) LinkAddr() string {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.session.link == nil {
		return ""
	}
	return it.session.link.localAddr
}

// LinkCount returns how many links have connected, by the number of CONNECT commands executed.
func (it *Interpreter) LinkCount() int {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.linkCount
}

// CutLink closes the current link, if there is one. The server can reconnect unless RejectLinks is set.
func (it *Interpreter) CutLink() {
	it.update(func() {
		if it.session.link != nil {
			it.session.link.peer.Close()
			it.session.link = nil
		}
	})
}

// handle executes a command and reports whether the link is to be kept open. A command on a link that was replaced or cut is
// ignored.
func (it *Interpreter) handle(link *Link, command message) bool {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.behavior.rejectsLinks || link.order.isBefore(it.session.order) || command.Op != opConnect && it.session.link != link {
		return false
	}
	if !it.behavior.isUp && (command.Op == opGauges || command.Op == opCheck) { // the platform's interpreter does the same
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

// connect makes l the current link. lastReceived is the number of the last notice that the server has received. The caller
// holds the lock.
func (it *Interpreter) connect(l *Link, lastReceived uint64) {
	s := &it.session
	if s.link != nil && s.link != l {
		s.link.peer.Close()
	}
	s.link, s.order, s.lastReceived, s.awaitsBanner = l, l.order, lastReceived, true
	it.linkCount++
	it.sendBanner()
}

// sendBanner answers a pending CONNECT if the interpreter is up, and then sends the notices that the server has not received.
// The caller holds the lock.
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

// handleRun starts a run, unless the request is already running, is rejected or has finished. The caller holds the lock.
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

// handleGauges answers a gauge query with the current values. The caller holds the lock.
func (it *Interpreter) handleGauges(m message) {
	if it.work != nil {
		it.advanceWork(it.work)
	}
	if !it.behavior.ignoresQueries {
		it.gaugeReadings++
		values := []float64{it.behavior.utilization, float64(len(it.runs.running)), 0, 0}
		it.send(message{Op: opGaugesRead, Tag: m.Tag, Values: values})
	}
}

// sendNotice numbers a notice, stores it for later links and sends it. The caller holds the lock.
func (it *Interpreter) sendNotice(notice message) {
	notice.Seq = uint64(len(it.session.notices) + 1)
	it.session.notices = append(it.session.notices, notice)
	it.send(notice)
}

// send writes a message as a line to the current link, if there is one. It ignores write errors: a lost notice is sent
// again on the next link. The caller holds the lock.
func (it *Interpreter) send(m message) {
	if it.session.link == nil {
		return
	}
	text, err := json.Marshal(m)
	if err != nil {
		return // does not happen: a message with only strings and finite numbers can always be marshaled
	}
	it.session.link.peer.Write(append(text, '\n'))
}
