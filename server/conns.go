package server

import (
	"cmp"
	"container/list"
	"iter"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
)

// reservedSockets are kept from gateways: the loop's own, the backend's, logs and what the runtime holds.
const reservedSockets = 24

// The bounds of the interval at which connections are scanned for idle ones.
const (
	minIdleScan = 10 * time.Millisecond
	maxIdleScan = 250 * time.Millisecond
	// idleScansPerTimeout is how many scans there are within the idle timeout.
	idleScansPerTimeout = 4
)

const (
	// requestTimeout is how long a connection may take to send a complete request, the first or a later one. The
	// platform's limit is 3 s. Gateways write a request at once, so only one whose machine is paused comes near it.
	requestTimeout = 2500 * time.Millisecond
	// sendTimeout is how long a gateway may accept none of the bytes that are to be sent to it.
	sendTimeout = 30 * time.Second
	// newConnGrace is how long a new connection that has sent nothing is neither idle nor evicted.
	newConnGrace = 250 * time.Millisecond
	// minIdleBeforeEviction is how long a connection that served its gateway must be idle before it may be evicted.
	minIdleBeforeEviction = 50 * time.Millisecond
)

// connTable holds the gateways' connections. Each is in the list from accept until it is closed. The list is in order
// of accepting: iterating in a random order would make scenarios impossible to repeat.
type connTable struct {
	loop          *eventloop.Loop
	protocol      gateway.Protocol
	max           int
	list          list.List     // of *gatewayConn
	idleTimeout   time.Duration // as the module set it; 0 means not yet
	idleScanTimer *eventloop.Timer
	counters      connCounters
}

// newConnTable returns an empty table for at most maxConns connections.
func newConnTable(loop *eventloop.Loop, protocol gateway.Protocol, maxConns int) connTable {
	return connTable{loop: loop, protocol: protocol, max: maxConns}
}

// add inserts an accepted connection.
func (t *connTable) add(g *gatewayConn) {
	t.counters.accepted++
	g.element = t.list.PushBack(g)
}

// remove deletes a connection.
func (t *connTable) remove(g *gatewayConn) { t.list.Remove(g.element) }

// len is the number of connections.
func (t *connTable) len() int { return t.list.Len() }

// all iterates over the connections. The current one may be removed during the iteration.
func (t *connTable) all() iter.Seq[*gatewayConn] {
	return func(yield func(*gatewayConn) bool) {
		for e := t.list.Front(); e != nil; {
			g := e.Value.(*gatewayConn)
			e = e.Next() // before yield, which may remove g
			if !yield(g) {
				return
			}
		}
	}
}

// closeAfterFlush half-closes all connections, once pending answers are sent.
func (t *connTable) closeAfterFlush() {
	for g := range t.all() {
		if !g.conn.IsClosing() {
			g.closeAfterFlush()
		}
	}
}

// setIdleTimeout sets how long connections may be idle.
func (t *connTable) setIdleTimeout(idle time.Duration) {
	t.idleTimeout = idle
	t.loop.CancelTimer(t.idleScanTimer)
	t.scheduleIdleScan()
}

// scheduleIdleScan sets the time of the next scan for idle connections.
func (t *connTable) scheduleIdleScan() {
	interval := maxIdleScan
	if t.idleTimeout > 0 {
		interval = min(max(t.idleTimeout/idleScansPerTimeout, minIdleScan), maxIdleScan)
	}
	t.idleScanTimer = t.loop.AfterFunc(interval, t.closeIdle)
}

// closeIdle closes connections that are overdue or idle for the timeout, and sets the time of the next scan. Bytes may
// be on their way at that very moment: closing the socket over them would reset the connection and take with it answers
// that the gateway has not read yet. So this side is shut down first, and what still comes is read and discarded: a
// gateway whose request crosses the shutdown sends it again on another connection.
func (t *connTable) closeIdle() {
	now := t.loop.Now()
	for g := range t.all() {
		switch {
		case g.conn.IsWriteStalled(sendTimeout):
			t.counters.timeouts++
			g.close() // what it is sent goes nowhere
		case g.isOverdue(now):
			t.counters.timeouts++
			g.closeAfterFlush()
		case t.idleTimeout > 0 && !g.conn.IsClosing() && g.isIdle() && g.conn.IsIdle(g.idleAllowance(t.idleTimeout)):
			t.counters.idleClosed++
			g.closeAfterFlush()
		}
	}
	t.scheduleIdleScan()
}

// ensureCapacity evicts a connection for a new one, if need be, and returns whether there is room.
func (t *connTable) ensureCapacity() bool {
	if t.len() < t.max || t.evict() {
		return true
	}
	t.counters.rejected++
	return false
}

// evictionPriority orders connections by how little is lost with them.
type evictionPriority uint8

const (
	priorityKeep    evictionPriority = iota // it must stay
	priorityIdle                            // it served its gateway and is idle
	prioritySilent                          // it has never sent a complete request, and is not new
	priorityClosing                         // this side has half-closed it
)

// evictionScan is what one scan of all connections found.
type evictionScan struct {
	now          time.Time
	candidate    *gatewayConn     // of the highest priority, the one that was active least lately
	priority     evictionPriority // of the candidate
	silent       int              // connections that never sent a complete request
	oldest       *gatewayConn     // of the silent ones without unread bytes in the socket
	firstPending *gatewayConn     // of the silent ones with unread bytes in the socket
}

// evict closes a connection to make room for a new one, and returns whether it could. Clients that open hundreds of
// connections and stay silent, or send one request and stay connected, must not keep gateways out. The order is:
// connections that this side has half-closed, then those that never sent a complete request, then the one that has
// been idle longest. Where at least half of all connections never sent one, the oldest of these is evicted however new
// it is, so that they can't take the half that gateways may need. A connection with unread bytes in its socket is kept
// while there is another candidate: it may be a gateway whose request has just arrived.
func (t *connTable) evict() bool {
	scan := evictionScan{now: t.loop.Now()}
	for g := range t.all() {
		scan.add(g)
	}
	evicted := scan.candidate
	if scan.priority < prioritySilent && 2*scan.silent >= t.len() {
		evicted = cmp.Or(scan.oldest, scan.firstPending)
	} else if evicted == nil || scan.priority == priorityIdle && !evicted.conn.IsIdle(minIdleBeforeEviction) {
		return false
	}
	t.counters.evicted++
	evicted.close()
	return true
}

// add compares a connection with the candidate. Of two equal ones, the one that was accepted first is preferred.
func (e *evictionScan) add(g *gatewayConn) {
	isSilent := g.validRequests == 0 && !g.conn.IsClosing()
	if isSilent && e.addSilent(g) {
		return
	}
	priority := e.priorityOf(g)
	isBetter := priority > e.priority ||
		priority == e.priority && priority > priorityKeep && g.conn.LastActivity().Before(e.candidate.conn.LastActivity())
	if isBetter && (priority == priorityClosing || !g.conn.HasPendingInput()) {
		e.candidate, e.priority = g, priority
	}
}

// addSilent counts a connection that never sent a complete request, and returns true where unread bytes in its socket
// keep it from being the candidate.
func (e *evictionScan) addSilent(g *gatewayConn) bool {
	e.silent++
	if e.oldest != nil && !g.incompleteSince.Before(e.oldest.incompleteSince) {
		return false
	}
	if g.conn.HasPendingInput() {
		e.firstPending = cmp.Or(e.firstPending, g)
		return true
	}
	e.oldest = g
	return false
}

// priorityOf returns the priority of a connection.
func (e *evictionScan) priorityOf(g *gatewayConn) evictionPriority {
	switch {
	case g.conn.IsClosing():
		return priorityClosing
	case g.validRequests == 0 && e.now.Sub(g.incompleteSince) >= newConnGrace:
		return prioritySilent
	case g.validRequests > 0 && g.isIdle() && e.now.Sub(g.conn.LastActivity()) >= minIdleBeforeEviction:
		return priorityIdle
	default:
		return priorityKeep
	}
}
