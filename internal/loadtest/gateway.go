package loadtest

import (
	"sync"
	"time"

	"tillerusher/internal/fake"
)

// MaxOpenRequests is the maximum number of open requests on a connection.
const MaxOpenRequests = 32

// gateway is a connection to the daemon. It is opened again when an attempt is sent after the connection has ended.
type gateway struct {
	loadTest *loadTest

	mu      sync.Mutex          // guards the fields below
	conn    *fake.Gateway       // nil before the first attempt and after the connection has ended
	open    map[uint16]*attempt // by FastCGI request ID
	freeIDs []uint16
}

// newGateway returns a gateway without a connection. The first attempt opens the connection.
func newGateway(l *loadTest) *gateway {
	g := &gateway{loadTest: l, open: map[uint16]*attempt{}}
	for id := uint16(MaxOpenRequests); id > 0; id-- {
		g.freeIDs = append(g.freeIDs, id)
	}
	return g
}

// send writes an attempt. It returns false if the connection already has MaxOpenRequests open requests or can't be opened.
func (g *gateway) send(attempt *attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.freeIDs) == 0 {
		return false
	}
	if g.conn == nil {
		conn, err := fake.Dial(g.loadTest.target.addr)
		if err != nil {
			return false
		}
		g.conn = conn
		g.loadTest.readers.Add(1)
		go g.read(conn)
	}
	id := g.freeIDs[len(g.freeIDs)-1]
	g.freeIDs = g.freeIDs[:len(g.freeIDs)-1]
	g.open[id] = attempt
	attempt.received = time.Now()
	records := g.loadTest.encode(attempt, id)
	g.loadTest.recordSent(attempt)
	if g.conn.Write(records) != nil {
		g.disconnect(g.conn) // the reader calls disconnect too; the second call does nothing
	}
	return true
}

// read handles the responses of one connection until it ends.
func (g *gateway) read(conn *fake.Gateway) {
	defer g.loadTest.readers.Done()
	for {
		response, err := conn.ReadResponse(0, time.Time{})
		now := time.Now()
		g.mu.Lock()
		if err != nil {
			g.disconnect(conn)
			g.mu.Unlock()
			return
		}
		attempt := g.open[response.ID]
		if attempt != nil {
			delete(g.open, response.ID)
			g.freeIDs = append(g.freeIDs, response.ID)
		}
		g.mu.Unlock()
		if attempt != nil {
			g.loadTest.handleResponse(attempt, response, now)
		}
	}
}

// disconnect closes a connection and counts the attempts that were open on it as lost. The checker reports them as
// unanswered, unless the load test restarts the daemon. The caller holds the lock.
func (g *gateway) disconnect(conn *fake.Gateway) {
	conn.Close()
	if g.conn != conn {
		return
	}
	g.conn = nil
	for id, attempt := range g.open {
		g.freeIDs = append(g.freeIDs, id)
		delete(g.open, id)
		g.loadTest.handleLost(attempt)
	}
}

// close closes the connection, which ends its reader.
func (g *gateway) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.Close()
	}
}
