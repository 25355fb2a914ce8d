package server

import (
	"cmp"
	"container/list"
	"iter"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
)

// reservedSockets is the number of descriptors that gateway connections must leave to the loop, the backend, the logs and
// the runtime.
const reservedSockets = 24

// acceptShareDivisor limits the connections that are accepted in one round to a part of the table, so that a new connection is
// read before it can become the oldest one and is evicted.
const acceptShareDivisor = 8

// Bounds of the interval between scans for idle connections.
const (
	minIdleScanInterval = 10 * time.Millisecond
	maxIdleScanInterval = 250 * time.Millisecond
	// idleScansPerTimeout is the number of scans within the idle timeout.
	idleScansPerTimeout = 4
)

const (
	// requestTimeout is how long a connection may take to send a complete request, the first or a later one. The
	// platform's limit is 3 s. Gateways write a request without pauses, so only one on a paused machine comes near it.
	requestTimeout = 2500 * time.Millisecond
	// sendTimeout is how long a connection with unsent output may neither send nor receive a byte before it is closed.
	sendTimeout = 30 * time.Second
	// newConnGrace is how long a new connection that has sent nothing is not closed as idle. It is not evicted in this
	// time either, nor is one that has halted in the middle of a request, unless there are too many of these: see evict.
	newConnGrace = 250 * time.Millisecond
	// minIdleBeforeEviction is how long a connection that has served requests must be idle before it may be evicted.
	minIdleBeforeEviction = 50 * time.Millisecond
)

// connTable holds the connections of gateways. Each is in the list from accept until it is closed. The list is in the
// order of accepts, because a random iteration order would make scenarios impossible to repeat.
type connTable struct {
	loop          *eventloop.Loop
	protocol      gateway.Protocol
	max           int
	list          list.List     // of *gatewayConn
	idleTimeout   time.Duration // set by the module; 0 until then
	idleScanTimer *eventloop.Timer
	counters      connCounters
}

// newConnTable returns an empty table with room for maxConns connections.
func newConnTable(loop *eventloop.Loop, protocol gateway.Protocol, maxConns int) connTable {
	return connTable{loop: loop, protocol: protocol, max: maxConns}
}

// add appends an accepted connection.
func (t *connTable) add(g *gatewayConn) {
	t.counters.accepted++
	g.element = t.list.PushBack(g)
}

// remove deletes a connection.
func (t *connTable) remove(g *gatewayConn) { t.list.Remove(g.element) }

// len returns the number of connections.
func (t *connTable) len() int { return t.list.Len() }

// all iterates over the connections. The loop body may remove the current connection.
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

// closeAfterFlush cancels all open requests, and half-closes each connection once its queued answers are sent.
func (t *connTable) closeAfterFlush() {
	for g := range t.all() {
		if !g.conn.IsClosing() {
			g.closeAfterFlush()
		}
	}
}

// setIdleTimeout sets how long connections may be idle, and reschedules the next scan.
func (t *connTable) setIdleTimeout(idle time.Duration) {
	t.idleTimeout = idle
	t.loop.CancelTimer(t.idleScanTimer)
	t.scheduleIdleScan()
}

// scheduleIdleScan schedules the next scan for idle connections.
func (t *connTable) scheduleIdleScan() {
	interval := maxIdleScanInterval
	if t.idleTimeout > 0 {
		interval = min(max(t.idleTimeout/idleScansPerTimeout, minIdleScanInterval), maxIdleScanInterval)
	}
	t.idleScanTimer = t.loop.AfterFunc(interval, t.closeIdle)
}

// closeIdle closes connections that are stalled, overdue or idle for the timeout, and schedules the next scan. Bytes may
// arrive at the moment of the close. Closing a socket with unread bytes resets the connection, and the gateway loses
// answers that it has not read yet. So this side is shut down first, and bytes that still arrive are read and discarded.
// A gateway whose request crosses the shutdown sends it again on another connection.
func (t *connTable) closeIdle() {
	now := t.loop.Now()
	for g := range t.all() {
		switch {
		case g.conn.IsWriteStalled(sendTimeout):
			t.counters.timeouts++
			g.close() // the gateway does not read its answers
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

// ensureCapacity evicts a connection if the table is full, and reports whether there is room for a new connection.
func (t *connTable) ensureCapacity() bool {
	if t.len() < t.max || t.evict() {
		return true
	}
	t.counters.rejected++
	return false
}

// evictionPriority ranks connections for eviction: the higher it is, the less is lost with the connection.
type evictionPriority uint8

const (
	priorityKeep    evictionPriority = iota // must not be evicted
	priorityStalled                         // has served requests, and has halted in the middle of the next one
	priorityIdle                            // has served requests and is idle
	prioritySilent                          // has never sent a complete request, and is not new
	priorityClosing                         // half-closed by this side
)

// evictionScan is the result of a scan of all connections.
type evictionScan struct {
	now       time.Time
	candidate *gatewayConn     // least recently active connection of the highest priority
	priority  evictionPriority // of the candidate
	// awaitingCount is the number of connections that only wait for the rest of a request: see isAwaitingRequest.
	awaitingCount        int
	oldestAwaiting       *gatewayConn // the longest waiting of them, without unread bytes in its socket
	firstAwaitingPending *gatewayConn // the first one found with unread bytes in its socket
}

// evict closes a connection to make room for a new one, and reports whether it did. Clients that open hundreds of
// connections and stay silent, halt in the middle of a request, or send one request and stay connected, must not keep
// gateways out. It prefers connections that this side has half-closed, then silent ones, which have never sent a
// complete request, then idle ones, then connections halted in the middle of a later request, each time the least
// recently active. If at least half of all connections only wait for the rest of a request, it evicts the longest
// waiting of them, even if it is new, so that such connections can't take the half that gateways may need. A connection
// with unread bytes in its socket is kept while there is another candidate: it may belong to a gateway whose request has
// just arrived.
func (t *connTable) evict() bool {
	scan := evictionScan{now: t.loop.Now()}
	for g := range t.all() {
		scan.add(g)
	}
	evicted := scan.candidate
	if scan.priority < prioritySilent && 2*scan.awaitingCount >= t.len() {
		evicted = cmp.Or(scan.oldestAwaiting, scan.firstAwaitingPending)
	} else if evicted == nil || scan.priority == priorityIdle && !evicted.conn.IsIdle(minIdleBeforeEviction) {
		return false
	}
	t.counters.evicted++
	evicted.close()
	return true
}

// add compares a connection with the candidate. Of two equal ones, the one accepted first stays the candidate.
func (e *evictionScan) add(g *gatewayConn) {
	if g.isAwaitingRequest() && e.addAwaiting(g) {
		return
	}
	priority := e.priorityOf(g)
	isBetter := priority > e.priority ||
		priority == e.priority && priority > priorityKeep && g.conn.LastActivity().Before(e.candidate.conn.LastActivity())
	if isBetter && (priority == priorityClosing || !g.conn.HasPendingInput()) {
		e.candidate, e.priority = g, priority
	}
}

// addAwaiting counts a connection that only waits for the rest of a request. It reports whether unread bytes in the socket
// keep the connection from being the candidate.
func (e *evictionScan) addAwaiting(g *gatewayConn) bool {
	e.awaitingCount++
	if e.oldestAwaiting != nil && !g.incompleteSince.Before(e.oldestAwaiting.incompleteSince) {
		return false
	}
	if g.conn.HasPendingInput() {
		e.firstAwaitingPending = cmp.Or(e.firstAwaitingPending, g)
		return true
	}
	e.oldestAwaiting = g
	return false
}

// priorityOf returns the priority of a connection.
func (e *evictionScan) priorityOf(conn *gatewayConn) evictionPriority {
	switch {
	case conn.conn.IsClosing():
		return priorityClosing
	case conn.validRequests == 0 && e.now.Sub(conn.incompleteSince) >= newConnGrace:
		return prioritySilent
	case conn.isAwaitingRequest() && e.now.Sub(conn.incompleteSince) >= newConnGrace:
		return priorityStalled
	case conn.validRequests > 0 && conn.isIdle() && e.now.Sub(conn.conn.LastActivity()) >= minIdleBeforeEviction:
		return priorityIdle
	default:
		return priorityKeep
	}
}
