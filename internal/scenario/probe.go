package scenario

import (
	"fmt"
	"io"
	"net/netip"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

// startProbes asks a server for a lookup and a reservation after the day, on a connection of its own: a server that is left alone
// and has its interpreter serves both.
type probe struct {
	run         *runner
	node        *node
	stream      *simnet.Stream
	reader      fake.ResponseReader
	servedCount int
	log         []string
}

// startProbes asks every server that runs.
func (r *runner) startProbes() (list []*probe) {
	for _, n := range r.nodes {
		if ended, _ := n.process.Exited(); !ended && !n.isDraining && r.sim.Elapsed()-n.pausedUntil > r.scenario.Cooldown {
			p := &probe{run: r, node: n}
			p.stream = r.sim.Dial(netip.AddrFrom4([4]byte{10, 5, 0, 1}), n.addr(), p)
			list = append(list, p)
		}
	}
	return list
}

// Connected implements simos.Actor.
func (p *probe) Connected() {
	for _, keyed := range []bool{false, true} {
		p.run.attempts++
		id, key, stream := fmt.Sprintf("%016x", p.run.attempts), "", uint16(1)
		if keyed {
			key, stream = fmt.Sprintf("%032x", p.run.attempts), 2
		}
		p.run.probeIDs[id] = true
		p.stream.Write(fake.NewAttempt(id, key, p.run.sim.Now(), fake.WorkBody("probe", 0)).Encode(stream))
	}
}

// Data implements simos.Actor.
func (p *probe) Data(b []byte) {
	answers, err := p.reader.Feed(b)
	if err != nil {
		p.log = append(p.log, err.Error())
	}
	for _, a := range answers {
		if a.Status == 200 {
			p.servedCount++
		}
		p.log = append(p.log, fmt.Sprintf("status %d to %d", a.Status, a.ID))
	}
}

// Closed implements simos.Actor.
func (p *probe) Closed(err error) {
	if err != io.EOF {
		p.log = append(p.log, err.Error())
	}
}

// verify says whether both were served.
func (p *probe) verify() {
	if p.servedCount != 2 {
		p.run.recordViolation("%s, left alone after the day, served %d of 2 probes: %v", p.node.name(), p.servedCount, p.log)
	}
	p.stream.Close()
}
