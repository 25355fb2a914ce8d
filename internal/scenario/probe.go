package scenario

import (
	"fmt"
	"io"
	"net/http"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

// probesPerServer is the number of requests that a probe sends: a lookup and a reservation.
const probesPerServer = 2

// probe sends a lookup and a reservation to a server after the load, on a separate connection. An idle server that is
// connected to its interpreter must serve both.
type probe struct {
	runner      *runner
	node        *node
	stream      *simnet.Stream
	reader      fake.ResponseReader
	servedCount int
	log         []string // answers and errors, for the text of the violation
}

// startProbes probes every server that is running, is not draining and was not paused during the cooldown.
func (r *runner) startProbes() []*probe {
	var probes []*probe
	for _, n := range r.nodes {
		hasExited, _ := n.process.Exited()
		hasCooledDown := r.sim.Elapsed()-n.pausedUntil > r.scenario.Cooldown
		if hasExited || n.isDraining || !hasCooledDown {
			continue
		}
		p := &probe{runner: r, node: n}
		p.stream = r.sim.Dial(probeHost, n.addr(), p)
		probes = append(probes, p)
	}
	return probes
}

// Connected implements simnet.StreamHandler.
func (p *probe) Connected() {
	p.send(1, "")
	p.send(2, fmt.Sprintf("%032x", p.runner.attempts+1))
}

// send sends a request with a FastCGI request ID and an idempotency key, which may be empty.
func (p *probe) send(streamID uint16, key string) {
	id := p.runner.nextAttemptID()
	p.runner.probeIDs[id] = true
	message := fake.NewAttempt(id, key, p.runner.sim.Now(), fake.WorkBody("probe", 0))
	p.stream.Write(message.Encode(streamID))
}

// Data implements simnet.StreamHandler.
func (p *probe) Data(data []byte) {
	answers, err := p.reader.Feed(data)
	if err != nil {
		p.log = append(p.log, err.Error())
	}
	for _, answer := range answers {
		if answer.Status == http.StatusOK {
			p.servedCount++
		}
		p.log = append(p.log, fmt.Sprintf("status %d to %d", answer.Status, answer.ID))
	}
}

// Closed implements simnet.StreamHandler.
func (p *probe) Closed(err error) {
	if err != io.EOF {
		p.log = append(p.log, err.Error())
	}
}

// verify records a violation unless both requests were served, and closes the connection.
func (p *probe) verify() {
	if p.servedCount != probesPerServer {
		p.runner.recordViolation("%s, left alone after the day, served %d of 2 probes: %v", p.node.name(), p.servedCount, p.log)
	}
	p.stream.Close()
}
