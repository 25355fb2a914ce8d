package interpreter

import (
	"bytes"
	"time"
)

const (
	// maxLineBytes is the maximum length of a line from the interpreter. A notice with a result of 4 KiB in base64 is far
	// shorter.
	maxLineBytes = 64 << 10
	// QueryTimeout is the maximum time that the link waits for the answer to a gauge query or health check.
	QueryTimeout = 2 * time.Second
)

// Handler receives events of the interpreter and errors of the link.
type Handler interface {
	// InterpreterStarted is called once, when the link first learns that the interpreter is up. cold says whether the
	// interpreter's caches were cold when it started, and age is the time since its start.
	InterpreterStarted(cold bool, age time.Duration)
	// CallRequested is called when a run waits for a downstream call. The run does not continue without it.
	CallRequested(id string)
	// RunFinished is called once for each submitted run, unless the run is withdrawn.
	RunFinished(id string, outcome Outcome, result []byte)
	// ReportError is called with an error of the link or the interpreter, to be logged.
	ReportError(message string, err error)
}

// Stats holds the counters of a Link.
type Stats struct {
	Connects          uint64
	Submitted         uint64 // runs whose APPLY was sent at least once
	Resubmitted       uint64 // APPLYs sent again after a lost connection
	StopsSent         uint64
	Notices           uint64 // numbered notices
	DuplicateNotices  uint64 // replayed notices that had already been read
	UnknownNotices    uint64 // notices of an unknown run, query or type
	UnansweredQueries uint64 // queries that expired, were rejected or lost their connection
}

// Link holds the state of the protocol with the interpreter across any number of connections. It owns no socket.
//
// Runs continue in the interpreter while there is no connection, so their state is unknown during that time. After a
// reconnect the interpreter first replays the notices that were missed. The link sends a TOP after CONNECT. The answer
// shows that all missed notices have been read, and the link is then synced.
//
// Open runs are resubmitted only once the link is synced. By then the interpreter has reported each run that has finished.
// It ignores an APPLY of a run in flight, and starts a run that it never received. If a run finishes while its second APPLY
// is in transit, the interpreter answers this APPLY with OutcomeNotStarted.
//
// A run is resubmitted only if the interpreter may not have received it. The interpreter reads commands in order, so the
// answer to a query shows that it has read each APPLY sent before the query.
type Link struct {
	handler    Handler
	session    session
	lastNotice uint64 // number of the last notice read; after a reconnect the interpreter replays the later ones
	hasStarted bool   // InterpreterStarted has been called
	runs       runTable
	queries    queryTable
	commandBuf []byte    // encoding buffer, reused for each command
	now        time.Time // the time passed to the last call of Connected or Tick
	Stats      Stats
}

// session is the part of a Link's state that is reset with each connection.
type session struct {
	send      func(p []byte) // nil while there is no connection
	partial   []byte         // the beginning of a line that has not been received completely
	hasBanner bool           // BANNER was received: the interpreter is up
	isSyncing bool           // the query sent by sync is pending
	isSynced  bool           // all missed notices have been read
}

// NewLink returns a link without a connection.
func NewLink(h Handler) *Link {
	return &Link{handler: h, runs: runTable{byID: map[string]*run{}}}
}

// Connected starts the protocol on a new connection, which replaces any previous one. send must not retain p.
func (l *Link) Connected(send func(p []byte), now time.Time) {
	l.Disconnected()
	l.session.send, l.now = send, now
	l.Stats.Connects++
	last := l.lastNotice
	l.write(command{Op: opConnect, Seq: &last})
	l.sync()
}

// Disconnected resets the state of the connection. Its pending queries fail.
func (l *Link) Disconnected() {
	l.session = session{}
	l.runs.disconnected()
	l.expireQueries(func(query) bool { return true })
}

// IsSynced reports whether the link is synced. If it is not, commands of runs are kept until it is, instead of being
// sent immediately.
func (l *Link) IsSynced() bool { return l.session.isSynced }

// Tick fails queries whose answer is overdue. If the interpreter is up and the link is not synced, Tick sends the query of
// sync again once the previous one is no longer pending.
func (l *Link) Tick(now time.Time) {
	l.now = now
	l.expireQueries(func(q query) bool { return !now.Before(q.deadline) })
	if l.session.hasBanner {
		l.syncIfNeeded()
	}
}

// syncIfNeeded calls sync unless the link is synced or the query of sync is pending.
func (l *Link) syncIfNeeded() {
	if !l.session.isSynced && !l.session.isSyncing {
		l.sync()
	}
}

// sync sends a query whose answer shows that the notices that the interpreter sent after BANNER have been read.
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

// Feed processes bytes received on the connection. After an error the caller must close the connection.
func (l *Link) Feed(data []byte) error {
	for {
		line, rest, isComplete := bytes.Cut(data, []byte{'\n'})
		if len(l.session.partial)+len(line) > maxLineBytes {
			return &ProtocolError{Err: ErrLineTooLong}
		}
		if !isComplete {
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

// handleNotice processes one notice. It skips a numbered notice that was already read.
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
	// An interpreter that was not up yet has rejected the query sent after CONNECT. Submissions must not wait for the next
	// Tick.
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

// handleRejection processes an ERROR notice, whose detail is the name of the rejected command.
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

// reportRejection reports to the handler that the interpreter rejected a command.
func (l *Link) reportRejection(op, id string) {
	l.handler.ReportError("interpreter rejected a command", &RejectedCommandError{Command: op, ID: id})
}
