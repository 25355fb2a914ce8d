//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
)

// Limits of a gateway by the protocol page.
const (
	maxOpenRequests = 32                    // on one connection
	retryWait       = 20 * time.Millisecond // from a refusal without advice to the next try
	crossingTime    = 50 * time.Millisecond // a request that crosses a close within this time is sent again, once
)

// Fates of tries.
const (
	fateServed  = "served"
	fateRefused = "refused"
	fateFailed  = "failed"
	fateLate    = "answered late"
	fateLost    = "lost"
)

// try is one request that a gateway sent.
type try struct {
	request  fake.Request
	deadline time.Duration // of its class
	tries    int           // further tries that are left
	received time.Time
	written  time.Time
	isResent bool
	// isUnreached is set if the connection was refused.
	isUnreached bool

	answer     *fake.Response
	answeredAt time.Time
	endedAt    time.Time // when its connection ended without an answer; zero if it did not
	why        string
}

// due is the time at which the answer must be there, with the slack of the pages.
func (t *try) due() time.Time { return t.received.Add(t.deadline + answerSlack) }

// fate returns what became of the try. The caller holds the lock of its gateway.
func (t *try) fate() string {
	switch {
	case t.isUnreached:
		return fateRefused // a refused connection proves that nothing ran
	case t.answer == nil:
		return fateLost
	case t.answeredAt.After(t.due()):
		return fateLate
	}
	switch t.answer.Outcome() {
	case invariant.Served:
		return fateServed
	case invariant.Rejected:
		return fateRefused
	}
	return fateFailed
}

// record adds the try to the record.
func (t *try) record(r *record, gateway string) {
	answer := "no answer"
	switch {
	case t.answer != nil:
		answer = fmt.Sprintf("answered at %.3f, status %d, protocol status %d, body %.40q", r.at(t.answeredAt), t.answer.Status,
			t.answer.ProtocolStatus, t.answer.Body)
	case !t.endedAt.IsZero():
		answer = fmt.Sprintf("the server ended the connection at %.3f without an answer: %s", r.at(t.endedAt), t.why)
	}
	r.add("%s: %s %s key %s again %q sent at %.3f: %s: %s", gateway, t.request.Path, t.request.ID(), t.request.Headers["Once-Key"],
		t.request.Headers["Attempt-Again"], r.at(t.written), answer, t.fate())
}

// gateway sends requests to one server. It takes the first connection with room and opens one if there is none.
type gateway struct {
	r         *record
	name      string
	addr      string
	mu        sync.Mutex
	isStopped bool
	conns     []*gatewayConn
	tries     []*try
}

// gatewayConn is a connection of a gateway.
type gatewayConn struct {
	conn net.Conn
	open map[uint16]*try
	next uint16
}

// send sends a request that the gateway receives now. After a refusal without advice it is tried again, tries times at most.
func (g *gateway) send(request fake.Request, deadline time.Duration, tries int) *try {
	t := &try{request: request, deadline: deadline, tries: tries, received: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tries = append(g.tries, t)
	g.write(t)
	return t
}

// write writes a try to a connection with room. The caller holds the lock.
func (g *gateway) write(t *try) {
	for _, c := range g.conns {
		if len(c.open) < maxOpenRequests {
			g.writeTo(c, t)
			return
		}
	}
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.isUnreached, t.endedAt, t.why = true, time.Now(), err.Error()
		return
	}
	c := &gatewayConn{conn: conn, open: map[uint16]*try{}}
	g.conns = append(g.conns, c)
	go g.read(c)
	g.writeTo(c, t)
}

// writeTo writes a try to a connection. The caller holds the lock.
func (g *gateway) writeTo(c *gatewayConn, t *try) {
	for c.next++; c.next == 0 || c.open[c.next] != nil; {
		c.next++
	}
	c.open[c.next] = t
	t.written = time.Now()
	c.conn.Write(t.request.Encode(c.next)) // an error ends the connection, which read notices
}

// read reads the answers on a connection until it ends.
func (g *gateway) read(c *gatewayConn) {
	var reader fake.ResponseReader
	buf := make([]byte, 32<<10)
	for {
		n, err := c.conn.Read(buf)
		now := time.Now()
		answers, badErr := reader.Feed(buf[:n])
		g.mu.Lock()
		if g.isStopped {
			g.mu.Unlock()
			return
		}
		for i := range answers {
			if t := c.open[answers[i].ID]; t != nil {
				t.answer, t.answeredAt = &answers[i], now
				delete(c.open, answers[i].ID)
				g.again(t)
			}
		}
		if err == nil {
			err = badErr
		}
		if err != nil {
			g.ended(c, now, err)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

// again sends a further try, a little later, of one that was refused without advice to stay away. The caller holds the lock.
func (g *gateway) again(t *try) {
	isAdvised := t.answer.Header.Get("Back-Off-Ms") != "" || t.answer.Header.Get("Final-Refusal") != ""
	if t.answer.Outcome() != invariant.Rejected || isAdvised || t.tries == 0 {
		return
	}
	time.AfterFunc(retryWait, func() {
		id := fmt.Sprintf("%016x", rand.Uint64())
		received := time.Now()
		further := t.request.WithHeader("Request-Id", id).WithHeader("Attempt-Again", "1").
			WithHeader("Received-At", strconv.FormatInt(received.UnixMilli(), 10))
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.isStopped {
			return
		}
		next := &try{request: further, deadline: t.deadline, tries: t.tries - 1, received: received}
		g.tries = append(g.tries, next)
		g.write(next)
	})
}

// ended handles the end of a connection. A request that crossed the end is sent again. The caller holds the lock.
func (g *gateway) ended(c *gatewayConn, now time.Time, err error) {
	c.conn.Close()
	for i := range g.conns {
		if g.conns[i] == c {
			g.conns = append(g.conns[:i], g.conns[i+1:]...)
			break
		}
	}
	if len(c.open) > 0 {
		g.r.add("%s: the server ended a connection with %d open requests: %v", g.name, len(c.open), err)
	}
	for _, t := range c.open {
		if !t.isResent && now.Sub(t.written) <= crossingTime {
			t.isResent = true
			g.write(t)
			continue
		}
		t.endedAt, t.why = now, err.Error()
	}
}

// fate returns what has become of a try so far.
func (g *gateway) fate(t *try) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.fate()
}

// stop ends the gateway's work and returns all its tries. Its connections are closed, and nothing changes the tries any more.
func (g *gateway) stop() []*try {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isStopped = true
	for _, c := range g.conns {
		c.conn.Close()
	}
	return g.tries
}
