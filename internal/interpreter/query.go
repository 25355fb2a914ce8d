package interpreter

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// query is a TOP or SMOKE that has not been answered. Exactly one of its callbacks is set.
type query struct {
	tag      string
	number   uint64 // the tag as a number
	deadline time.Time
	onGauges func(values []float64, ok bool) // set for a TOP
	onHealth func(ok bool)                   // set for a SMOKE
	isSync   bool                            // sent by sync; any answer shows that the notices before it were read
}

// isGaugeQuery reports whether the query is a TOP.
func (q *query) isGaugeQuery() bool { return q.onGauges != nil }

// complete calls the callback of the query.
func (q *query) complete(values []float64, ok bool) {
	if q.isGaugeQuery() {
		q.onGauges(values, ok)
	} else {
		q.onHealth(ok)
	}
}

// queryTable holds the queries that have not been answered.
type queryTable struct {
	pending    []query
	lastNumber uint64 // number of the last query sent on any connection
}

// take removes and returns the query with the tag, if its type matches isGaugeQuery.
func (t *queryTable) take(tag string, isGaugeQuery bool) (query, bool) {
	i := slices.IndexFunc(t.pending, func(q query) bool { return q.tag == tag })
	if i < 0 || t.pending[i].isGaugeQuery() != isGaugeQuery {
		return query{}, false
	}
	q := t.pending[i]
	t.pending = slices.Delete(t.pending, i, i+1)
	return q, true
}

// QueryGauges requests the interpreter's gauges. It calls done once, with ok false if there is no answer.
func (l *Link) QueryGauges(now time.Time, done func(values []float64, ok bool)) {
	l.sendQuery(opTop, now, query{onGauges: done})
}

// CheckHealth makes the interpreter run a deep health check. It calls done once, with ok false if the check failed or there
// is no answer.
func (l *Link) CheckHealth(now time.Time, done func(ok bool)) {
	l.sendQuery(opSmoke, now, query{onHealth: done})
}

// sendQuery sends a query. Without a connection the query fails immediately.
func (l *Link) sendQuery(op string, now time.Time, q query) {
	if l.session.send == nil {
		q.complete(nil, false)
		return
	}
	l.queries.lastNumber++
	q.number = l.queries.lastNumber
	q.tag = strconv.FormatUint(q.number, 10)
	q.deadline = now.Add(QueryTimeout)
	l.queries.pending = append(l.queries.pending, q)
	l.write(command{Op: op, Tag: q.tag})
}

// expireQueries fails the queries for which isExpired returns true. It removes them before it calls any callback, since a
// callback may send a query.
func (l *Link) expireQueries(isExpired func(query) bool) {
	pending := l.queries.pending
	l.queries.pending = nil
	for i := range pending {
		if !isExpired(pending[i]) {
			l.queries.pending = append(l.queries.pending, pending[i])
		}
	}
	for i := range pending {
		if isExpired(pending[i]) {
			l.Stats.UnansweredQueries++
			pending[i].complete(nil, false)
		}
	}
}

// takeQuery removes and returns the query that a notice answers. If there is none, it counts the notice as unknown.
func (l *Link) takeQuery(tag string, isGaugeQuery bool) (query, bool) {
	q, found := l.queries.take(tag, isGaugeQuery)
	if !found {
		l.Stats.UnknownNotices++
	}
	return q, found
}

// handleAnswer completes the query that the notice answers. It ignores an answer that comes too late.
func (l *Link) handleAnswer(n *notice) {
	q, found := l.takeQuery(n.Tag, n.Op == opTops)
	if !found {
		return
	}
	l.runs.markReceived(q.number)
	q.complete(n.Values, n.Op == opTops || n.Detail == string(OutcomeOK))
}

// rejectQuery fails a query that the interpreter rejected, either because the interpreter is not up or because the site
// does not allow the query. In the second case the rejection of a query of sync shows that the link is synced, as an answer
// does.
func (l *Link) rejectQuery(n *notice) {
	q, found := l.takeQuery(cmp.Or(n.Tag, n.ID), n.Detail == opTop)
	if !found {
		return
	}
	l.Stats.UnansweredQueries++
	if l.session.hasBanner {
		l.reportRejection(n.Detail, q.tag)
	}
	q.complete(nil, q.isSync && l.session.hasBanner)
}
