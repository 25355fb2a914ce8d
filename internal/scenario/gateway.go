package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
	"tillerusher/internal/simnet"
)

const (
	maxRequestsPerConn = 32 // requests on one connection
	// answerTolerance is how long after its deadline an answer may come: it crosses the network, and timers are coarse.
	answerTolerance = 100 * time.Millisecond
	redialDelay     = 100 * time.Millisecond
	// maxReadDelay is how long after it was sent a request was read by a server that runs.
	maxReadDelay = 100 * time.Millisecond
)

// request is what a caller wants.
type request struct {
	key       string // of a keyed one
	tenant    string
	body      []byte
	arrivedAt time.Duration
	attempts  int
	isServed  bool
}

// attempt is one try of a request.
type attempt struct {
	id          string
	request     *request
	sentAt      time.Duration
	incarnation int // of the node
}

// gateway sends requests of callers to all servers, over one connection to each.
type gateway struct {
	run              *runner
	rng              *rand.Rand
	addr             netip.Addr
	honorsRetryAfter bool
	conns            []*conn // by server
}

// conn is a gateway's connection to a server, which is made anew where it ends.
type conn struct {
	gateway     *gateway
	node        *node
	stream      *simnet.Stream
	isConnected bool
	readsSlowly bool // it reads so slowly that an answer's time says nothing of the server
	reader      fake.ResponseReader
	inFlight    map[uint16]*attempt
	freeIDs     []uint16
}

func newGateway(r *runner, number int, heeds bool, rng *rand.Rand) *gateway {
	g := &gateway{run: r, rng: rng, honorsRetryAfter: heeds, addr: netip.AddrFrom4([4]byte{10, 3, byte(number >> 8), byte(number)})}
	for _, n := range r.nodes {
		c := &conn{gateway: g, node: n}
		g.conns = append(g.conns, c)
		c.dial()
	}
	return g
}

// dial makes the connection.
func (c *conn) dial() {
	c.reader, c.inFlight, c.freeIDs, c.readsSlowly = fake.ResponseReader{}, map[uint16]*attempt{}, nil, false
	for id := uint16(maxRequestsPerConn); id > 0; id-- {
		c.freeIDs = append(c.freeIDs, id)
	}
	c.stream = c.gateway.run.sim.Dial(c.gateway.addr, c.node.addr(), c)
}

// Connected implements simos.Actor.
func (c *conn) Connected() { c.isConnected = true }

// Closed implements simos.Actor.
func (c *conn) Closed(err error) {
	c.isConnected = false
	for id := range uint16(maxRequestsPerConn) {
		t := c.inFlight[id+1]
		if t == nil {
			continue
		}
		if err == io.EOF && c.isDroppedByServer(t) {
			c.gateway.run.recordViolation("%s ended a connection with try %s open, which it had for %v", c.node.name(), t.id, c.gateway.run.sim.Elapsed()-t.sentAt)
		}
		c.gateway.handleLoss(t)
	}
	clear(c.inFlight)
	if !c.gateway.run.isFinished {
		c.gateway.run.sim.After(redialDelay, c.dial)
	}
}

// isDroppedByServer tells whether a server that lives ended a connection with a request open that it must have read.
func (c *conn) isDroppedByServer(t *attempt) bool {
	n, now := c.node, c.gateway.run.sim.Elapsed()
	return !c.readsSlowly && !n.isKilled && t.incarnation == n.incarnation && now-t.sentAt > maxReadDelay && now-n.pausedUntil > maxReadDelay
}

// Data implements simos.Actor.
func (c *conn) Data(p []byte) {
	answers, err := c.reader.Feed(p)
	if err != nil {
		c.gateway.run.recordViolation("%s sent what is no record: %v", c.node.name(), err)
		c.stream.Reset()
		c.Closed(err)
		return
	}
	for _, a := range answers {
		t := c.inFlight[a.ID]
		if t == nil {
			c.gateway.run.recordViolation("%s answered request %d, which is not open", c.node.name(), a.ID)
			continue
		}
		delete(c.inFlight, a.ID)
		c.freeIDs = append(c.freeIDs, a.ID)
		at := c.gateway.run.sim.Now()
		if c.readsSlowly {
			at = startTime
		}
		c.gateway.handleAnswer(t, a, at)
	}
}

// startSlowReads has the connection read a byte a second from now on, and its open requests given up by their callers.
func (c *conn) startSlowReads() {
	c.readsSlowly = true
	for id := range uint16(maxRequestsPerConn) {
		if t := c.inFlight[id+1]; t != nil {
			c.gateway.run.checker.RecordLost(t.id)
		}
	}
	c.stream.ThrottleReads(1, time.Second)
}

// pickConn is the server for a request: one for all tries of a keyed one, and else any that says it accepts.
func (g *gateway) pickConn(r *request) *conn {
	if r.key != "" {
		sum := 0
		for _, b := range []byte(r.key) {
			sum = sum*31 + int(b)
		}
		return g.conns[(sum&0x7fffffff)%len(g.conns)]
	}
	first := g.rng.IntN(len(g.conns))
	for i := range g.conns {
		c := g.conns[(first+i)%len(g.conns)]
		if c.isConnected && !c.readsSlowly && len(c.freeIDs) > 0 && g.run.accepting[c.node.name()] {
			return c
		}
	}
	return g.conns[first]
}

// send makes one try of a request.
func (g *gateway) send(r *request) {
	w := g.run.sim
	r.attempts++
	c := g.pickConn(r)
	if !c.isConnected || c.readsSlowly || len(c.freeIDs) == 0 {
		g.run.report.Unsent++
		g.retry(r, g.run.scenario.RetryDelay)
		return
	}
	g.run.attempts++
	t := &attempt{id: fmt.Sprintf("%016x", g.run.attempts), request: r, sentAt: w.Elapsed(), incarnation: c.node.incarnation}
	id := c.freeIDs[len(c.freeIDs)-1]
	c.freeIDs = c.freeIDs[:len(c.freeIDs)-1]
	c.inFlight[id] = t
	q := fake.NewAttempt(t.id, r.key, w.Now(), r.body)
	q.Headers["Account"] = r.tenant
	if r.attempts > 1 {
		q.Headers["Attempt-Again"] = "1"
	}
	keyed := r.key != ""
	told := invariant.Attempt{ID: t.id, AtMostOnce: keyed, ExpectedBody: string(fake.WorkResult(r.body)), Received: w.Now(),
		Deadline: w.Now().Add(fake.Deadline(keyed) + answerTolerance)}
	if keyed {
		told.Key = fmt.Sprintf("%s at %s, life %d", r.key, c.node.name(), c.node.incarnation)
	}
	g.run.checker.RecordSent(told)
	g.run.inFlight[t.id] = t
	g.run.report.Attempts++
	c.stream.Write(q.Encode(id))
	if keyed && g.rng.Float64() < g.run.scenario.HedgeShare {
		w.After(time.Duration(g.rng.Int64N(int64(100*time.Millisecond))), func() {
			if c.inFlight[id] == t && !g.run.isFinished {
				r.attempts--
				g.send(r)
			}
		})
	}
	if g.rng.Float64() < g.run.scenario.AbortShare {
		w.After(time.Duration(g.rng.Int64N(int64(200*time.Millisecond))), func() {
			if c.inFlight[id] == t {
				c.stream.Write(fake.EncodeRecord(fake.AbortRequest, id, nil, 0))
			}
		})
	}
}

// rogueClient is a connection that is no gateway's: it sends something or nothing, and stays until it is closed.
type rogueClient struct {
	stream  *simnet.Stream
	payload []byte
}

func newRogueClient(r *runner, n *node, payload []byte, lifetime time.Duration) {
	s := &rogueClient{payload: payload}
	s.stream = r.sim.Dial(netip.AddrFrom4([4]byte{10, 4, 0, 1}), n.addr(), s)
	r.sim.After(lifetime, func() { s.stream.Close() })
}

// Connected implements simos.Actor.
func (s *rogueClient) Connected() { s.stream.Write(s.payload) }

// Data implements simos.Actor.
func (s *rogueClient) Data([]byte) {}

// Closed implements simos.Actor.
func (s *rogueClient) Closed(error) {}

// handleAnswer takes in an answer, and decides whether a further try follows.
func (g *gateway) handleAnswer(t *attempt, a fake.Response, at time.Time) {
	r := t.request
	kind := a.Outcome()
	g.run.checker.RecordAnswer(t.id, kind, string(a.Body), at)
	delete(g.run.inFlight, t.id)
	switch kind {
	case invariant.Served:
		g.run.report.Served++
		g.run.recordServed(r)
	case invariant.Rejected:
		g.run.report.Rejected++
		if a.Header.Get("Final-Refusal") != "" {
			return
		}
		wait := g.run.scenario.RetryDelay
		if ms, err := strconv.Atoi(strings.TrimSpace(a.Header.Get("Back-Off-Ms"))); err == nil && g.honorsRetryAfter {
			wait = time.Duration(float64(ms)*(1+g.rng.Float64())) * time.Millisecond
		}
		g.retry(r, wait)
	default:
		g.run.report.Failed++
		if r.key == "" { // of a keyed one it is not known whether it ran, and the caller is told so
			g.retry(r, g.run.scenario.RetryDelay)
		}
	}
}

// handleLoss takes in that the connection of a try ended.
func (g *gateway) handleLoss(t *attempt) {
	g.run.checker.RecordLost(t.id)
	delete(g.run.inFlight, t.id)
	g.run.report.Lost++
	g.retry(t.request, g.run.scenario.RetryDelay)
}

// retry makes a further try after a while, where the caller still waits.
func (g *gateway) retry(r *request, wait time.Duration) {
	if r.attempts >= g.run.scenario.MaxAttempts || g.run.sim.Elapsed()+wait-r.arrivedAt > fake.Deadline(r.key != "") || g.run.isFinished {
		return
	}
	g.run.sim.After(wait, func() {
		if !g.run.isFinished {
			g.send(r)
		}
	})
}
