package interpreter

import (
	"bytes"
	"time"
)

const (
	// maxLineBytes bounds a line from the interpreter: a result of 4 KiB in base64 with its fields is far under it.
	maxLineBytes = 64 << 10
	// QueryTimeout is how long the link waits for the answer to a gauge query or health check.
	QueryTimeout = 2 * time.Second
)

// Handler receives the interpreter's reports.
type Handler interface {
	// InterpreterStarted is called once the interpreter is up, with whether its caches were cold at its start and how long
	// ago that was.
	InterpreterStarted(cold bool, age time.Duration)
	// CallRequested is called when a run waits for a downstream call, without which it does not continue.
	CallRequested(id string)
	// RunFinished is called once for each run.
	RunFinished(id string, outcome Outcome, result []byte)
	// ReportError reports a fault of the link or the interpreter, for the log.
	ReportError(message string, err error)
}

// Stats counts what went over the link.
type Stats struct {
	Connects          uint64
	Submitted         uint64 // runs whose APPLY was sent
	Resubmitted       uint64 // APPLYs sent once more after a lost connection
	StopsSent         uint64
	Notices           uint64 // numbered notices
	DuplicateNotices  uint64 // replayed notices that had been read before
	UnknownNotices    uint64 // of an unknown run, query or kind
	UnansweredQueries uint64
}

// Link is the state of the dialogue with the interpreter, over any number of connections. It owns no socket.
//
// Runs continue in the interpreter while there is no connection, so the state of a run is unknown then. After a reconnect the
// interpreter first replays the notices that were missed; the answer to a TOP sent behind CONNECT shows that all of them
// were read, and the link is synced. Only then are open runs submitted again: the interpreter ignores an APPLY of a run
// in flight, starts one that it never received, and has reported one that has finished. An APPLY that crosses the end of
// its run is answered as not started. Still, a run is submitted again only if the interpreter may not have received it:
// commands are read in order, so an answer to a later query shows that an earlier APPLY was.
type Link struct {
	handler    Handler
	session    session
	lastNotice uint64 // number of the last notice read, to which the interpreter replays after a reconnect
	hasStarted bool   // InterpreterStarted was called
	runs       runTable
	queries    queryTable
	commandBuf []byte    // buffer of the command being sent
	now        time.Time // the time that the owner last passed
	Stats      Stats
}

// session is the part of a Link's state that ends with its connection.
type session struct {
	send      func(p []byte) // nil while there is no connection
	partial   []byte         // an incomplete line
	hasBanner bool           // the interpreter is up
	isSyncing bool           // a query whose answer shows that the link is synced is pending
	isSynced  bool           // all missed notices were read
}

// NewLink returns a link without a connection.
func NewLink(h Handler) *Link {
	return &Link{handler: h, runs: runTable{byID: map[string]*run{}}}
}

// Connected starts the dialogue on a new connection.
func (l *Link) Connected(send func(p []byte), now time.Time) {
	l.Disconnected()
	l.session.send, l.now = send, now
	l.Stats.Connects++
	last := l.lastNotice
	l.write(command{Op: opConnect, Seq: &last})
	l.sync()
}

// Disconnected ends the dialogue on the connection. Queries sent on it fail.
func (l *Link) Disconnected() {
	l.session = session{}
	l.runs.disconnected()
	l.expireQueries(func(query) bool { return true })
}

// Ready reports whether commands are sent immediately, not kept until the link is synced.
func (l *Link) Ready() bool { return l.session.isSynced }

// Tick fails queries whose answer is overdue, and repeats the query that shows that the link is synced.
func (l *Link) Tick(now time.Time) {
	l.now = now
	l.expireQueries(func(q query) bool { return !now.Before(q.deadline) })
	if l.session.hasBanner {
		l.syncIfNeeded()
	}
}

// syncIfNeeded sends the query that shows that the link is synced, unless the link is or the query is pending.
func (l *Link) syncIfNeeded() {
	if !l.session.isSynced && !l.session.isSyncing {
		l.sync()
	}
}

// sync sends a query whose answer shows that the notices sent behind BANNER were read.
func (l *Link) sync() {
	l.session.isSyncing = true
	l.sendQuery(opTop, l.now, query{isSync: true, onGauges: func(_ []float64, ok bool) {
		l.session.isSyncing = false
		if ok {
			l.resume()
		}
	}})
}

// write sends a command.
func (l *Link) write(c command) {
	l.commandBuf = c.appendTo(l.commandBuf[:0])
	l.session.send(l.commandBuf)
}

// Feed reads the next bytes of the connection; after an error the connection can only be closed.
func (l *Link) Feed(data []byte) error {
	for {
		line, rest, isWhole := bytes.Cut(data, []byte{'\n'})
		if len(l.session.partial)+len(line) > maxLineBytes {
			return &ProtocolError{Err: ErrLineTooLong}
		}
		if !isWhole {
			l.session.partial = append(l.session.partial, line...)
			return nil
		}
		if len(l.session.partial) > 0 {
			line = append(l.session.partial, line...)
			l.session.partial = nil
		}
		data = rest
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		n, err := parseNotice(line)
		if err != nil {
			return err
		}
		l.handleNotice(&n)
		if l.session.send == nil {
			return nil // handling the notice ended the connection
		}
	}
}

// handleNotice acts on one message. A numbered one that was read before is skipped.
func (l *Link) handleNotice(n *notice) {
	if n.Seq > 0 {
		if n.Seq <= l.lastNotice {
			l.Stats.DuplicateNotices++
			return
		}
		l.lastNotice = n.Seq
		l.Stats.Notices++
	}
	switch n.Op {
	case opBanner:
		l.handleBanner(n)
	case opValue:
		l.finish(n.ID, Outcome(n.Detail), n.Body)
	case opAwait:
		l.handleAwait(n.ID)
	case opTops, opSmoked:
		l.handleAnswer(n)
	case opError:
		l.handleRejection(n)
	case opTrace:
	default:
		l.Stats.UnknownNotices++
	}
}

// handleBanner records that the interpreter is up.
func (l *Link) handleBanner(n *notice) {
	l.session.hasBanner = true
	if !l.hasStarted {
		l.hasStarted = true
		l.handler.InterpreterStarted(n.Detail == bannerCold, n.age())
	}
	// An interpreter that was not up yet rejected the query behind CONNECT. Submissions must not wait for the next Tick.
	l.syncIfNeeded()
}

// handleAwait passes a run's request for a downstream call to the handler.
func (l *Link) handleAwait(id string) {
	if l.runs.byID[id] == nil {
		l.Stats.UnknownNotices++
		return
	}
	l.handler.CallRequested(id)
}

// handleRejection acts on an ERROR, which names the rejected command in its detail.
func (l *Link) handleRejection(n *notice) {
	if n.Detail == opTop || n.Detail == opSmoke {
		l.rejectQuery(n)
		return
	}
	l.reportRejection(n.Detail, n.ID)
	if n.Detail == opApply {
		l.rejectRun(n.ID)
	}
}

// reportRejection reports a command that the interpreter rejected.
func (l *Link) reportRejection(op, id string) {
	l.handler.ReportError("interpreter rejected a command", &RejectedCommandError{Command: op, ID: id})
}
