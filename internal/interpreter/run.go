package interpreter

import "slices"

// compactSlack is how many more finished runs than open runs the submission order may hold before it is compacted.
const compactSlack = 16

// run is a submitted run that has not finished.
type run struct {
	id, class     string
	body          []byte
	isSent        bool   // APPLY was sent on at least one connection
	isResent      bool   // APPLY was sent on more than one connection
	isApplyDone   bool   // APPLY was sent on this connection, or does not have to be sent
	isReceived    bool   // the interpreter has read an APPLY of this run
	lastQuery     uint64 // number of the last query sent before APPLY on this connection
	stopRequested bool
	isStopSent    bool // BREAK was sent on this connection
}

// runTable holds the runs that have not finished.
type runTable struct {
	byID  map[string]*run
	order []*run // in the order of submission; finished runs are kept until compact is called
}

// add appends a run to the submission order.
func (t *runTable) add(r *run) {
	t.byID[r.id] = r
	t.order = append(t.order, r)
}

// remove removes a finished run.
func (t *runTable) remove(id string) {
	delete(t.byID, id)
	if len(t.order) > 2*len(t.byID)+compactSlack {
		t.compact()
	}
}

// compact removes finished runs from the submission order.
func (t *runTable) compact() {
	t.order = slices.DeleteFunc(t.order, func(r *run) bool { return t.byID[r.id] != r })
}

// disconnected records that commands sent on the last connection may not have arrived.
func (t *runTable) disconnected() {
	for _, r := range t.byID {
		r.isApplyDone, r.isStopSent = r.isReceived, false
	}
}

// markReceived records that the interpreter has read all commands sent before the numbered query.
func (t *runTable) markReceived(queryNumber uint64) {
	for _, r := range t.byID {
		r.isReceived = r.isReceived || r.isApplyDone && r.lastQuery < queryNumber
	}
}

// OpenRuns returns the number of runs that have not finished.
func (l *Link) OpenRuns() int { return len(l.runs.byID) }

// Submit sends a run to the interpreter, immediately or once the link is synced. The link retains body.
func (l *Link) Submit(id, class string, body []byte) {
	if body == nil {
		body = []byte{} // sent as an empty body
	}
	r := &run{id: id, class: class, body: body}
	l.runs.add(r)
	l.sendPending(r)
}

// Withdraw removes a run whose APPLY was never sent, and reports whether it did so.
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

// resume marks the link as synced and sends the pending commands of all runs.
func (l *Link) resume() {
	l.session.isSynced = true
	l.runs.compact()
	for _, r := range l.runs.order {
		l.sendPending(r)
	}
}

// sendPending sends the commands of a run that still have to be sent on this connection. It does nothing unless the link is
// synced.
func (l *Link) sendPending(r *run) {
	if !l.session.isSynced {
		return
	}
	if !r.isApplyDone {
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
	r.isSent, r.isApplyDone = true, true
	r.lastQuery = l.queries.lastNumber
	l.write(command{Op: opApply, ID: r.id, Class: r.class, Body: &r.body})
}

// rejectRun finishes a run whose APPLY was rejected. If APPLY was sent more than once, an earlier one may have started the
// run, so the outcome is OutcomeError.
func (l *Link) rejectRun(id string) {
	outcome := OutcomeRejected
	if r := l.runs.byID[id]; r != nil && r.isResent {
		outcome = OutcomeError
	}
	l.finish(id, outcome, nil)
}

// finish removes a run and reports its end to the handler. If the run is not known, it counts the notice as unknown.
func (l *Link) finish(id string, outcome Outcome, result []byte) {
	if l.runs.byID[id] == nil {
		l.Stats.UnknownNotices++
		return
	}
	l.runs.remove(id)
	l.handler.RunFinished(id, outcome, result)
}
