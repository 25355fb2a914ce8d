package interpreter

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// maxLineBytes bounds a line from the interpreter: a result of 4 KiB in base64 with its fields is far under it.
	maxLineBytes = 64 << 10
	// QueryTimeout is how long an answer to TOP or SMOKE is waited for.
	QueryTimeout = 2 * time.Second
)

// Handler hears what the interpreter tells.
type Handler interface {
	// InterpreterStarted says that the interpreter runs: whether it was cold at its start, and how long ago that was. It is
	// called once for each start of the interpreter.
	InterpreterStarted(cold bool, age time.Duration)
	// CallRequested says that a run waits for a call to what lies below, and goes on only after that.
	CallRequested(id string)
	// RunFinished says that a run is over. It is called once for each run.
	RunFinished(id string, end Outcome, result []byte)
	// ReportError reports what should not happen, for the log.
	ReportError(text string, err error)
}

// run is one run that was asked for and has not ended.
type run struct {
	id, class string
	body      []byte
	sent      bool   // APPLY was written on some link
	again     bool   // APPLY was written on more than one
	current   bool   // APPLY was written on this link, or need not be
	taken     bool   // the interpreter has read an APPLY
	tag       uint64 // the last question asked before APPLY on this link
	breaking  bool   // the run is to be stopped
	broken    bool   // BREAK was written on this link
}

// submitted is a TOP or SMOKE without its answer.
type asked struct {
	tag    string
	number uint64 // of the tag
	due    time.Time
	gauges func(values []float64, ok bool)
	smoke  func(ok bool)
	sync   bool // any answer tells that the notices before it were read
}

// Stats count what went over the link.
type Stats struct {
	Connects, Submitted, Resubmitted, StopsSent, Notices, DuplicateNotices, UnknownNotices, UnansweredQueries uint64
}

// Link is the state of the dialogue, over any number of connections. It owns no socket.
//
// Runs go on while no connection stands, so nothing can be said of a run then. After a connect the notices
// that were missed come first; the answer to a TOP sent behind CONNECT tells that all of them were read. Only
// then is what is still open asked for again: a run that is on its way is left alone by that, one that the
// interpreter never heard of starts, and one that has ended is known to have ended. One that ends at that very
// moment is over, and asking for it starts nothing; still, that is only done for runs of which it is not
// certain that the interpreter heard: it reads commands in order, so an answer to a later question tells.
type Link struct {
	handler Handler
	send    func(p []byte) // nil while no connection stands
	line    []byte         // where commands are put together
	partial []byte
	last    uint64 // number of the last notice read
	synced  bool   // all missed notices were read
	syncing bool   // the sign of that was asked for
	banner  bool
	up      bool
	runs    map[string]*run
	order   []*run // in the order of asking; those over are dropped when the link is synced
	asks    []asked
	tags    uint64
	now     time.Time // when the owner last told the time
	Stats   Stats
}

// NewLink returns a link without a connection.
func NewLink(h Handler) *Link {
	return &Link{handler: h, runs: map[string]*run{}}
}

// Connected starts the dialogue on a new connection.
func (l *Link) Connected(send func(p []byte), now time.Time) {
	l.Disconnected()
	l.send, l.now = send, now
	l.Stats.Connects++
	last := l.last
	l.write(command{Op: opConnect, Seq: &last})
	l.sync()
}

// sync asks for a sign that the notices sent after BANNER were read.
func (l *Link) sync() {
	l.syncing = true
	l.ask(opTop, l.now, asked{sync: true, gauges: func(_ []float64, ok bool) {
		l.syncing = false
		if ok {
			l.resume()
		}
	}})
}

// Disconnected says that the connection ended. What was asked on it stays unanswered.
func (l *Link) Disconnected() {
	l.send, l.partial, l.synced, l.banner = nil, nil, false, false
	for _, r := range l.runs {
		r.current, r.broken = r.taken, false
	}
	l.expire(func(asked) bool { return true })
}

// Ready tells whether commands go out at once.
func (l *Link) Ready() bool { return l.synced }

// OpenRuns is how many runs have not ended.
func (l *Link) OpenRuns() int { return len(l.runs) }

// Submit asks for a run, now or once the link stands.
func (l *Link) Submit(id, class string, body []byte) {
	if body == nil {
		body = []byte{} // an empty body is told as one
	}
	r := &run{id: id, class: class, body: body}
	l.runs[id] = r
	l.order = append(l.order, r)
	l.push(r)
}

// Withdraw takes a run back that the interpreter never heard of, and tells whether it could.
func (l *Link) Withdraw(id string) bool {
	if r := l.runs[id]; r == nil || r.sent {
		return false
	}
	delete(l.runs, id)
	return true
}

// Stop stops a run, whose end is told in time.
func (l *Link) Stop(id string) {
	if r := l.runs[id]; r != nil {
		r.breaking = true
		l.push(r)
	}
}

// push writes what a run still needs on this link.
func (l *Link) push(r *run) {
	if !l.synced {
		return
	}
	if !r.current {
		if r.sent {
			r.again = true
			l.Stats.Resubmitted++
		} else {
			l.Stats.Submitted++
		}
		r.sent, r.current, r.tag = true, true, l.tags
		l.write(command{Op: opApply, ID: r.id, Class: r.class, Body: &r.body})
	}
	if r.breaking && !r.broken {
		r.broken = true
		l.Stats.StopsSent++
		l.write(command{Op: opBreak, ID: r.id})
	}
}

// resume asks again for all that is open.
func (l *Link) resume() {
	l.synced = true
	l.compact()
	for _, r := range l.order {
		l.push(r)
	}
}

// compact drops the runs that ended from the order.
func (l *Link) compact() {
	l.order = slices.DeleteFunc(l.order, func(r *run) bool { return l.runs[r.id] != r })
}

// QueryGauges asks for the gauges.
func (l *Link) QueryGauges(now time.Time, then func(values []float64, ok bool)) {
	l.ask(opTop, now, asked{gauges: then})
}

// CheckHealth does the work of a deep health check.
func (l *Link) CheckHealth(now time.Time, then func(ok bool)) {
	l.ask(opSmoke, now, asked{smoke: then})
}

// ask sends a question, which is answered as failed where no link stands.
func (l *Link) ask(op string, now time.Time, a asked) {
	if l.send == nil {
		a.answer(nil, false)
		return
	}
	l.tags++
	a.number = l.tags
	a.tag, a.due = strconv.FormatUint(l.tags, 10), now.Add(QueryTimeout)
	l.asks = append(l.asks, a)
	l.write(command{Op: op, Tag: a.tag})
}

// answer calls whoever asked.
func (a *asked) answer(values []float64, ok bool) {
	if a.gauges != nil {
		a.gauges(values, ok)
	} else {
		a.smoke(ok)
	}
}

// expire answers as failed the questions that over names.
func (l *Link) expire(over func(a asked) bool) {
	asks := l.asks
	l.asks = nil
	for i := range asks {
		if !over(asks[i]) {
			l.asks = append(l.asks, asks[i])
		}
	}
	for i := range asks {
		if over(asks[i]) {
			l.Stats.UnansweredQueries++
			asks[i].answer(nil, false)
		}
	}
}

// Tick gives up questions that stayed unanswered; the sign that the link is in step is asked for again.
func (l *Link) Tick(now time.Time) {
	l.now = now
	l.expire(func(a asked) bool { return !now.Before(a.due) })
	if l.banner && !l.synced && !l.syncing {
		l.sync()
	}
}

// write sends a command.
func (l *Link) write(c command) {
	l.line = c.appendTo(l.line[:0])
	l.send(l.line)
}

// Feed takes in the next bytes of the connection; after an error it can only be closed.
func (l *Link) Feed(p []byte) error {
	for {
		line, rest, whole := bytes.Cut(p, []byte{'\n'})
		if len(l.partial)+len(line) > maxLineBytes {
			return fmt.Errorf("interp: line of over %d bytes", maxLineBytes)
		}
		if !whole {
			l.partial = append(l.partial, line...)
			return nil
		}
		if len(l.partial) > 0 {
			line = append(l.partial, line...)
			l.partial = nil
		}
		p = rest
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		n, err := parseNotice(line)
		if err != nil {
			return err
		}
		l.notice(&n)
		if l.send == nil {
			return nil // what the notice led to ended the connection
		}
	}
}

// notice acts on one message. A numbered one that was read before is passed over.
func (l *Link) notice(n *notice) {
	if n.Seq > 0 {
		if n.Seq <= l.last {
			l.Stats.DuplicateNotices++
			return
		}
		l.last = n.Seq
		l.Stats.Notices++
	}
	switch n.Op {
	case opBanner:
		l.banner = true
		if !l.up {
			l.up = true
			l.handler.InterpreterStarted(n.Detail == "COLD", n.age())
		}
		// An interpreter that was not up yet turned the question behind CONNECT away. What comes now must not wait for the
		// next look at that.
		if !l.synced && !l.syncing {
			l.sync()
		}
	case opValue:
		l.ended(n.ID, Outcome(n.Detail), n.Body)
	case opAwait:
		if l.runs[n.ID] == nil {
			l.Stats.UnknownNotices++
			return
		}
		l.handler.CallRequested(n.ID)
	case opTops, opSmoked:
		l.answered(n)
	case opError:
		if n.Detail == opTop || n.Detail == opSmoke {
			l.unasked(n)
			return
		}
		l.handler.ReportError("interpreter turned a command away", fmt.Errorf("%s %s", n.Detail, n.ID))
		if n.Detail == opApply {
			l.rejected(n.ID)
		}
	case opTrace:
	default:
		l.Stats.UnknownNotices++
	}
}

// unasked ends a question that was turned away: as long as the interpreter is not up, and where the site does not allow
// it. The latter is an answer as good as any to show that the link is in step.
func (l *Link) unasked(n *notice) {
	a, found := l.asked(cmp.Or(n.Tag, n.ID), n.Detail == opTop)
	if !found {
		return
	}
	l.Stats.UnansweredQueries++
	if l.banner {
		l.handler.ReportError("interpreter turned a command away", fmt.Errorf("%s %s", n.Detail, a.tag))
	}
	a.answer(nil, a.sync && l.banner)
}

// rejected reports that a command to run a request was turned away. Where it was given more than once, an
// earlier one may have been carried out.
func (l *Link) rejected(id string) {
	end := OutcomeRejected
	if r := l.runs[id]; r != nil && r.again {
		end = OutcomeError
	}
	l.ended(id, end, nil)
}

// ended reports the end of a run that is known.
func (l *Link) ended(id string, end Outcome, result []byte) {
	if l.runs[id] == nil {
		l.Stats.UnknownNotices++
		return
	}
	delete(l.runs, id)
	if len(l.order) > 2*len(l.runs)+16 {
		l.compact()
	}
	l.handler.RunFinished(id, end, result)
}

// submitted takes out the question with a tag, for gauges or for a deep check; what fits none is counted.
func (l *Link) asked(tag string, gauges bool) (asked, bool) {
	i := slices.IndexFunc(l.asks, func(a asked) bool { return a.tag == tag })
	if i < 0 || (l.asks[i].gauges != nil) != gauges {
		l.Stats.UnknownNotices++
		return asked{}, false
	}
	a := l.asks[i]
	l.asks = slices.Delete(l.asks, i, i+1)
	return a, true
}

// answered hands on the answer to a question; a late one is passed over.
func (l *Link) answered(n *notice) {
	a, found := l.asked(n.Tag, n.Op == opTops)
	if !found {
		return
	}
	for _, r := range l.runs {
		r.taken = r.taken || r.current && r.tag < a.number
	}
	a.answer(n.Values, n.Op == opTops || n.Detail == string(OutcomeOK))
}
