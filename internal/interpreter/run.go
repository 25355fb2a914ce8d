package interpreter

import "slices"

// compactSlack is how many finished runs the submission order may hold beyond as many as there are open ones.
const compactSlack = 16

// run is a run that the owner submitted and that has not finished.
type run struct {
	id, class     string
	body          []byte
	isSent        bool   // APPLY was sent on some connection
	isResent      bool   // APPLY was sent on more than one
	isCurrent     bool   // APPLY was sent on this connection, or need not be
	isReceived    bool   // the interpreter has read an APPLY
	lastQuery     uint64 // number of the last query sent before APPLY on this connection
	stopRequested bool
	isStopSent    bool // BREAK was sent on this connection
}

// runTable holds the runs that have not finished.
type runTable struct {
	byID  map[string]*run
	order []*run // by submission; finished runs stay until compact
}

// add adds a run at the end of the order.
func (t *runTable) add(r *run) {
	t.byID[r.id] = r
	t.order = append(t.order, r)
}

// remove takes out a run that has finished.
func (t *runTable) remove(id string) {
	delete(t.byID, id)
	if len(t.order) > 2*len(t.byID)+compactSlack {
		t.compact()
	}
}

// compact drops the runs that have finished from the order.
func (t *runTable) compact() {
	t.order = slices.DeleteFunc(t.order, func(r *run) bool { return t.byID[r.id] != r })
}

// disconnected records that commands sent on the connection may not have arrived.
func (t *runTable) disconnected() {
	for _, r := range t.byID {
		r.isCurrent, r.isStopSent = r.isReceived, false
	}
}

// markReceived records that the interpreter has read all commands sent before the numbered query.
func (t *runTable) markReceived(queryNumber uint64) {
	for _, r := range t.byID {
		r.isReceived = r.isReceived || r.isCurrent && r.lastQuery < queryNumber
	}
}

// OpenRuns returns how many runs have not finished.
func (l *Link) OpenRuns() int { return len(l.runs.byID) }

// Submit has the interpreter run a request, now or once the link is synced.
func (l *Link) Submit(id, class string, body []byte) {
	if body == nil {
		body = []byte{} // an empty body is sent as one
	}
	r := &run{id: id, class: class, body: body}
	l.runs.add(r)
	l.sendPending(r)
}

// Withdraw removes a run if its APPLY was never sent, and reports whether it did.
func (l *Link) Withdraw(id string) bool {
	if r := l.runs.byID[id]; r == nil || r.isSent {
		return false
	}
	delete(l.runs.byID, id)
	return true
}

// Stop stops a run. The handler's RunFinished is still called.
func (l *Link) Stop(id string) {
	if r := l.runs.byID[id]; r != nil {
		r.stopRequested = true
		l.sendPending(r)
	}
}

// resume sends the pending commands of all runs, now that the link is synced.
func (l *Link) resume() {
	l.session.isSynced = true
	l.runs.compact()
	for _, r := range l.runs.order {
		l.sendPending(r)
	}
}

// sendPending sends the commands that a run still needs on this connection.
func (l *Link) sendPending(r *run) {
	if !l.session.isSynced {
		return
	}
	if !r.isCurrent {
		l.sendApply(r)
	}
	if r.stopRequested && !r.isStopSent {
		r.isStopSent = true
		l.Stats.StopsSent++
		l.write(command{Op: opBreak, ID: r.id})
	}
}

// sendApply sends the APPLY of a run.
func (l *Link) sendApply(r *run) {
	if r.isSent {
		r.isResent = true
		l.Stats.Resubmitted++
	} else {
		l.Stats.Submitted++
	}
	r.isSent, r.isCurrent = true, true
	r.lastQuery = l.queries.lastNumber
	l.write(command{Op: opApply, ID: r.id, Class: r.class, Body: &r.body})
}

// rejectRun finishes a run whose APPLY was rejected. Where it was sent more than once, an earlier one may have started
// the run.
func (l *Link) rejectRun(id string) {
	outcome := OutcomeRejected
	if r := l.runs.byID[id]; r != nil && r.isResent {
		outcome = OutcomeError
	}
	l.finish(id, outcome, nil)
}

// finish reports the end of a run to the handler, if the run is known.
func (l *Link) finish(id string, outcome Outcome, result []byte) {
	if l.runs.byID[id] == nil {
		l.Stats.UnknownNotices++
		return
	}
	l.runs.remove(id)
	l.handler.RunFinished(id, outcome, result)
}
