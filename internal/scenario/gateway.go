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
	// answerTolerance is how long after its deadline an answer may arrive, because of the network's delay and the coarse
	// resolution of timers.
	answerTolerance = 100 * time.Millisecond
	// maxHedgeDelay and maxAbortDelay are the maximum times from an attempt to its hedge and to its abort.
	maxHedgeDelay = 100 * time.Millisecond
	maxAbortDelay = 200 * time.Millisecond
)

// attempt is one attempt of a request.
type attempt struct {
	id          string // Request-Id
	request     *request
	sentAt      time.Duration
	incarnation int // of the node to which the attempt was sent
}

// gateway sends the requests of callers to the servers, over one connection to each.
type gateway struct {
	runner           *runner
	rng              *rand.Rand
	addr             netip.Addr
	honorsRetryAfter bool
	conns            []*conn // by index of the server
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

// pickConn returns the connection for an attempt. All attempts with the same key go to the same server. An attempt without a
// key goes to a server that accepts requests, if there is one; the search starts at a random server.
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

// hashKey returns a non-negative hash of a key.
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

// expectation returns an attempt as the invariant checker records it. A key counts only for one incarnation of a server:
// servers have no store here, so a restart loses the idempotency table.
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

// maybeHedge hedges a random share of the attempts with a key: it sends the request again while the attempt is in flight.
func (g *gateway) maybeHedge(conn *conn, streamID uint16, attempt *attempt) {
	if !attempt.request.hasKey() || g.rng.Float64() >= g.runner.scenario.HedgeShare {
		return
	}
	delay := time.Duration(g.rng.Int64N(int64(maxHedgeDelay)))
	g.runner.sim.After(delay, func() {
		if conn.inFlight[streamID] == attempt && !g.runner.isFinished {
			attempt.request.attempts-- // a hedge does not count against the caller's attempts
			g.send(attempt.request)
		}
	})
}

// maybeAbort aborts a random share of the attempts while they are in flight.
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

// handleAnswer records an answer that arrived at the given time. It retries the request after a rejection that is not final,
// and after a failure if the request has no key.
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
		if !req.hasKey() { // with a key, it is unknown whether the request ran, and the answer states that
			g.retry(req, g.runner.scenario.RetryDelay)
		}
	}
}

// retryDelay returns how long the gateway waits after a rejection before it retries. A gateway that honors the server's
// retry-after advice adds jitter of up to the same length.
func (g *gateway) retryDelay(answer fake.Response) time.Duration {
	advice, err := strconv.Atoi(strings.TrimSpace(answer.Header.Get("Back-Off-Ms")))
	if err != nil || !g.honorsRetryAfter {
		return g.runner.scenario.RetryDelay
	}
	return time.Duration(float64(advice)*(1+g.rng.Float64())) * time.Millisecond
}

// handleLoss records that an attempt was lost with its connection, and retries the request.
func (g *gateway) handleLoss(attempt *attempt) {
	g.runner.checker.RecordLost(attempt.id)
	delete(g.runner.inFlight, attempt.id)
	g.runner.report.Lost++
	g.retry(attempt.request, g.runner.scenario.RetryDelay)
}

// retry sends a request again after a delay, unless the caller has no attempts or no time left.
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
