package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
)

const (
	// answerTolerance is how long after its deadline an answer may arrive: it crosses the network, and timers are coarse.
	answerTolerance = 100 * time.Millisecond
	// maxHedgeDelay and maxAbortDelay are how long after an attempt it is hedged or aborted at the latest.
	maxHedgeDelay = 100 * time.Millisecond
	maxAbortDelay = 200 * time.Millisecond
)

// attempt is one attempt of a request.
type attempt struct {
	id          string // Request-Id
	request     *request
	sentAt      time.Duration
	incarnation int // of the node that it was sent to
}

// gateway sends the requests of callers over one connection to each server.
type gateway struct {
	runner           *runner
	rng              *rand.Rand
	addr             netip.Addr
	honorsRetryAfter bool
	conns            []*conn // by server
}

// newGateway returns a gateway that dials all servers.
func newGateway(r *runner, number int, honorsRetryAfter bool, rng *rand.Rand) *gateway {
	g := &gateway{runner: r, rng: rng, honorsRetryAfter: honorsRetryAfter, addr: hostAddr(gatewayNet, number)}
	for _, n := range r.nodes {
		c := &conn{gateway: g, node: n}
		g.conns = append(g.conns, c)
		c.dial()
	}
	return g
}

// pickConn chooses the server of an attempt: the same one for all attempts with a key, any one that accepts for the others.
func (g *gateway) pickConn(req *request) *conn {
	if req.hasKey() {
		return g.conns[hashKey(req.key)%len(g.conns)]
	}
	first := g.rng.IntN(len(g.conns))
	for i := range g.conns {
		c := g.conns[(first+i)%len(g.conns)]
		if c.canSend() && g.runner.accepting[c.node.name()] {
			return c
		}
	}
	return g.conns[first]
}

// hashKey returns a hash of a key that is not negative.
func hashKey(key string) int {
	sum := 0
	for _, b := range []byte(key) {
		sum = sum*31 + int(b)
	}
	return sum & 0x7fffffff
}

// send makes one attempt of a request.
func (g *gateway) send(req *request) {
	req.attempts++
	conn := g.pickConn(req)
	if !conn.canSend() {
		g.runner.report.Unsent++
		g.retry(req, g.runner.scenario.RetryDelay)
		return
	}
	attempt := &attempt{id: g.runner.nextAttemptID(), request: req, sentAt: g.runner.sim.Elapsed(), incarnation: conn.node.incarnation}
	g.runner.checker.RecordSent(g.expectation(attempt, conn.node))
	g.runner.inFlight[attempt.id] = attempt
	g.runner.report.Attempts++
	streamID := conn.send(attempt)
	g.maybeHedge(conn, streamID, attempt)
	g.maybeAbort(conn, streamID, attempt)
}

// expectation returns what the invariant checker has to know of an attempt. A key counts for one incarnation of a server only:
// without a store, its idempotency table is lost with it.
func (g *gateway) expectation(attempt *attempt, n *node) invariant.Attempt {
	req := attempt.request
	now := g.runner.sim.Now()
	expected := invariant.Attempt{
		ID:           attempt.id,
		AtMostOnce:   req.hasKey(),
		ExpectedBody: string(fake.WorkResult(req.body)),
		Received:     now,
		Deadline:     now.Add(req.deadline() + answerTolerance),
	}
	if req.hasKey() {
		expected.Key = fmt.Sprintf("%s at %s, life %d", req.key, n.name(), n.incarnation)
	}
	return expected
}

// maybeHedge sends some attempts with a key again while they are in flight.
func (g *gateway) maybeHedge(conn *conn, streamID uint16, attempt *attempt) {
	if !attempt.request.hasKey() || g.rng.Float64() >= g.runner.scenario.HedgeShare {
		return
	}
	delay := time.Duration(g.rng.Int64N(int64(maxHedgeDelay)))
	g.runner.sim.After(delay, func() {
		if conn.inFlight[streamID] == attempt && !g.runner.isFinished {
			attempt.request.attempts-- // a hedge takes no attempt away from the caller
			g.send(attempt.request)
		}
	})
}

// maybeAbort has the gateway abort some attempts while they are in flight.
func (g *gateway) maybeAbort(conn *conn, streamID uint16, attempt *attempt) {
	if g.rng.Float64() >= g.runner.scenario.AbortShare {
		return
	}
	delay := time.Duration(g.rng.Int64N(int64(maxAbortDelay)))
	g.runner.sim.After(delay, func() {
		if conn.inFlight[streamID] == attempt {
			conn.stream.Write(fake.EncodeRecord(fake.AbortRequest, streamID, nil, 0))
		}
	})
}

// handleAnswer processes an answer that arrived at a time, and retries if the caller would.
func (g *gateway) handleAnswer(attempt *attempt, answer fake.Response, at time.Time) {
	req := attempt.request
	outcome := answer.Outcome()
	g.runner.checker.RecordAnswer(attempt.id, outcome, string(answer.Body), at)
	delete(g.runner.inFlight, attempt.id)
	switch outcome {
	case invariant.Served:
		g.runner.report.Served++
		g.runner.recordServed(req)
	case invariant.Rejected:
		g.runner.report.Rejected++
		if answer.Header.Get("Final-Refusal") == "" {
			g.retry(req, g.retryDelay(answer))
		}
	default:
		g.runner.report.Failed++
		if !req.hasKey() { // with a key it is not known whether it ran, and the answer says so
			g.retry(req, g.runner.scenario.RetryDelay)
		}
	}
}

// retryDelay returns how long the gateway waits after a rejection. Those that honor the server's advice add jitter to it.
func (g *gateway) retryDelay(answer fake.Response) time.Duration {
	advice, err := strconv.Atoi(strings.TrimSpace(answer.Header.Get("Back-Off-Ms")))
	if err != nil || !g.honorsRetryAfter {
		return g.runner.scenario.RetryDelay
	}
	return time.Duration(float64(advice)*(1+g.rng.Float64())) * time.Millisecond
}

// handleLoss processes that the connection of an attempt ended.
func (g *gateway) handleLoss(attempt *attempt) {
	g.runner.checker.RecordLost(attempt.id)
	delete(g.runner.inFlight, attempt.id)
	g.runner.report.Lost++
	g.retry(attempt.request, g.runner.scenario.RetryDelay)
}

// retry makes a further attempt after a delay, unless the caller has no attempts or no time left.
func (g *gateway) retry(req *request, delay time.Duration) {
	waited := g.runner.sim.Elapsed() + delay - req.arrivedAt
	if req.attempts >= g.runner.scenario.MaxAttempts || waited > req.deadline() || g.runner.isFinished {
		return
	}
	g.runner.sim.After(delay, func() {
		if !g.runner.isFinished {
			g.send(req)
		}
	})
}
