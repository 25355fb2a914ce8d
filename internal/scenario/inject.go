package scenario

import (
	"errors"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

const (
	// reloadsPerIncident is the number of reloads in a ConfigReload.
	reloadsPerIncident = 10
	// malformedClients is the number of clients that a MalformedInput connects.
	malformedClients = 5
	// floodExcess is the number of connections that a ConnectionFlood opens beyond the server's descriptors.
	floodExcess = 50
	// maxRandomBytes is the maximum length of a malformed input of random bytes.
	maxRandomBytes = 200
)

// errReset is the cause of the end of a connection that the gateway itself reset.
var errReset = errors.New("reset")

// scheduleIncident schedules an incident for its time, on every server that it affects.
func (r *runner) scheduleIncident(i Incident) {
	begin := startupTime + i.At
	if i.Kind == LoadSpike {
		r.sim.After(begin, func() { r.loadFactor *= i.Factor })
		r.sim.After(begin+i.Duration, func() { r.loadFactor /= i.Factor })
		return
	}
	nodes := r.nodes
	if i.Server > 0 {
		nodes = nodes[i.Server-1 : i.Server]
	}
	for k, n := range nodes {
		r.sim.After(begin+time.Duration(k)*i.Stagger, func() { r.applyIncident(i, n) })
	}
}

// applyIncident starts an incident on a server now, and schedules its end.
func (r *runner) applyIncident(i Incident, n *node) {
	switch i.Kind {
	case Crash:
		n.kill()
		r.sim.After(i.Duration, n.start)
	case Restart:
		n.drain(func() { r.sim.After(i.Duration, n.start) })
	case SlowInterpreter:
		n.slowdown *= i.Factor
		r.sim.After(i.Duration, func() { n.slowdown /= i.Factor })
	case Partition:
		r.sim.SetPartitioned(n.host, n.interpreterHost, true)
		r.sim.After(i.Duration, func() { r.sim.SetPartitioned(n.host, n.interpreterHost, false) })
	case ConfigReload:
		for k := range reloadsPerIncident {
			r.sim.After(time.Duration(k)*i.Duration/reloadsPerIncident, n.reload)
		}
	case MachinePause:
		n.process.Pause(i.Duration)
		n.pausedUntil = r.sim.Elapsed() + i.Duration
		r.checker.ExcusePause(i.Duration)
	case SlowReaders:
		r.eachConn(n, (*conn).startSlowReads)
	case ConnectionResets:
		r.eachConn(n, (*conn).reset)
	case MalformedInput:
		for range malformedClients {
			newRogueClient(r, n, r.malformedRequest(), i.Duration)
		}
	case LinkLoss:
		r.cutLink(n)
	case ConnectionFlood:
		for range r.scenario.MaxOpenFiles + floodExcess {
			newRogueClient(r, n, nil, i.Duration)
		}
	}
}

// eachConn calls do with every established connection from a gateway to the server.
func (r *runner) eachConn(n *node, do func(*conn)) {
	for _, g := range r.gateways {
		if c := g.conns[n.number-1]; c.isConnected {
			do(c)
		}
	}
}

// cutLink breaks a server's connection to its interpreter. With probability 1/2 it resets the connection first, so that data
// in flight is lost.
func (r *runner) cutLink(n *node) {
	if r.rng.IntN(2) == 0 && n.latestLink != nil {
		n.latestLink.Reset()
	}
	n.interpreter.CutLink()
}

// malformedRequest returns random bytes, a prefix of a request, or a request with one byte changed.
func (r *runner) malformedRequest() []byte {
	valid := fake.Request{
		Method:  "POST",
		Path:    "/v1/part-lookup",
		Body:    []byte("x"),
		Headers: map[string]string{"Request-Id": "00000000000000ff"},
	}.Encode(1)
	switch r.rng.IntN(3) {
	case 0:
		random := make([]byte, 1+r.rng.IntN(maxRandomBytes))
		for n := range random {
			random[n] = byte(r.rng.Uint32())
		}
		return random
	case 1:
		return valid[:r.rng.IntN(len(valid))]
	}
	valid[r.rng.IntN(len(valid))] ^= byte(1 + r.rng.IntN(255))
	return valid
}

// rogueClient is a client that is not a gateway. It sends its payload, which may be empty, and reads no answers.
type rogueClient struct {
	stream  *simnet.Stream
	payload []byte
}

// newRogueClient connects a client to a server. The client closes the connection after its lifetime.
func newRogueClient(r *runner, n *node, payload []byte, lifetime time.Duration) {
	c := &rogueClient{payload: payload}
	c.stream = r.sim.Dial(rogueClientHost, n.addr(), c)
	r.sim.After(lifetime, func() { c.stream.Close() })
}

// Connected implements simnet.StreamHandler.
func (c *rogueClient) Connected() { c.stream.Write(c.payload) }

// Data implements simnet.StreamHandler.
func (c *rogueClient) Data([]byte) {}

// Closed implements simnet.StreamHandler.
func (c *rogueClient) Closed(error) {}
