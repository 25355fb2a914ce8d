package scenario

import (
	"fmt"
	"io"
	"net/netip"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

// probe asks a server for a lookup and a reservation after the day, on a connection of its own: a server that is left alone
// and has its interpreter serves both.
type probe struct {
	run    *run
	node   *node
	stream *simnet.Stream
	reader fake.Reader
	served int
	heard  []string
}

// probe asks every server that runs.
func (r *run) probe() (list []*probe) {
	for _, n := range r.nodes {
		if ended, _ := n.process.Ended(); !ended && !n.leaving && r.world.Elapsed()-n.stood > r.scenario.Calm {
			p := &probe{run: r, node: n}
			p.stream = r.world.Dial(netip.AddrFrom4([4]byte{10, 5, 0, 1}), n.addr(), p)
			list = append(list, p)
		}
	}
	return list
}

// Connected implements simos.Actor.
func (p *probe) Connected() {
	for _, keyed := range []bool{false, true} {
		p.run.tries++
		id, key, stream := fmt.Sprintf("%016x", p.run.tries), "", uint16(1)
		if keyed {
			key, stream = fmt.Sprintf("%032x", p.run.tries), 2
		}
		p.run.probes[id] = true
		p.stream.Write(fake.Try(id, key, p.run.world.Now(), fake.WorkBody("probe", 0)).Records(stream))
	}
}

// Data implements simos.Actor.
func (p *probe) Data(b []byte) {
	answers, err := p.reader.Feed(b)
	if err != nil {
		p.heard = append(p.heard, err.Error())
	}
	for _, a := range answers {
		if a.Status == 200 {
			p.served++
		}
		p.heard = append(p.heard, fmt.Sprintf("status %d to %d", a.Status, a.ID))
	}
}

// Closed implements simos.Actor.
func (p *probe) Closed(err error) {
	if err != io.EOF {
		p.heard = append(p.heard, err.Error())
	}
}

// judge says whether both were served.
func (p *probe) judge() {
	if p.served != 2 {
		p.run.breach("%s, left alone after the day, served %d of 2 probes: %v", p.node.name(), p.served, p.heard)
	}
	p.stream.Close()
}
