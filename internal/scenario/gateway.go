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
	maxOpen = 32 // requests on one connection
	// answerSlack is how long after its deadline an answer may come: it crosses the network, and timers are coarse.
	answerSlack = 100 * time.Millisecond
	redial      = 100 * time.Millisecond
	// surelyRead is how long after it was sent a request was read by a server that runs.
	surelyRead = 100 * time.Millisecond
)

// request is what a caller wants.
type request struct {
	key    string // of a keyed one
	tenant string
	body   []byte
	came   time.Duration
	tries  int
	served bool
}

// try is one try of a request.
type try struct {
	id      string
	request *request
	sent    time.Duration
	life    int // of the node
}

// gateway sends requests of callers to all servers, over one connection to each.
type gateway struct {
	run   *run
	rng   *rand.Rand
	at    netip.Addr
	heeds bool
	conns []*conn // by server
}

// conn is a gateway's connection to a server, which is made anew where it ends.
type conn struct {
	gateway *gateway
	node    *node
	stream  *simnet.Stream
	up      bool
	slow    bool // it reads so slowly that an answer's time says nothing of the server
	reader  fake.Reader
	open    map[uint16]*try
	free    []uint16
}

func newGateway(r *run, number int, heeds bool, rng *rand.Rand) *gateway {
	g := &gateway{run: r, rng: rng, heeds: heeds, at: netip.AddrFrom4([4]byte{10, 3, byte(number >> 8), byte(number)})}
	for _, n := range r.nodes {
		c := &conn{gateway: g, node: n}
		g.conns = append(g.conns, c)
		c.dial()
	}
	return g
}

// dial makes the connection.
func (c *conn) dial() {
	c.reader, c.open, c.free, c.slow = fake.Reader{}, map[uint16]*try{}, nil, false
	for id := uint16(maxOpen); id > 0; id-- {
		c.free = append(c.free, id)
	}
	c.stream = c.gateway.run.world.Dial(c.gateway.at, c.node.addr(), c)
}

// Connected implements simos.Actor.
func (c *conn) Connected() { c.up = true }

// Closed implements simos.Actor.
func (c *conn) Closed(err error) {
	c.up = false
	for id := range uint16(maxOpen) {
		t := c.open[id+1]
		if t == nil {
			continue
		}
		if err == io.EOF && c.endedOn(t) {
			c.gateway.run.breach("%s ended a connection with try %s open, which it had for %v", c.node.name(), t.id, c.gateway.run.world.Elapsed()-t.sent)
		}
		c.gateway.lost(t)
	}
	clear(c.open)
	if !c.gateway.run.over {
		c.gateway.run.world.After(redial, c.dial)
	}
}

// endedOn tells whether a server that lives ended a connection with a request open that it must have read.
func (c *conn) endedOn(t *try) bool {
	n, now := c.node, c.gateway.run.world.Elapsed()
	return !c.slow && !n.dead && t.life == n.life && now-t.sent > surelyRead && now-n.stood > surelyRead
}

// Data implements simos.Actor.
func (c *conn) Data(p []byte) {
	answers, err := c.reader.Feed(p)
	if err != nil {
		c.gateway.run.breach("%s sent what is no record: %v", c.node.name(), err)
		c.stream.Reset()
		c.Closed(err)
		return
	}
	for _, a := range answers {
		t := c.open[a.ID]
		if t == nil {
			c.gateway.run.breach("%s answered request %d, which is not open", c.node.name(), a.ID)
			continue
		}
		delete(c.open, a.ID)
		c.free = append(c.free, a.ID)
		at := c.gateway.run.world.Now()
		if c.slow {
			at = begin
		}
		c.gateway.answered(t, a, at)
	}
}

// trickle has the connection read a byte a second from now on, and its open requests given up by their callers.
func (c *conn) trickle() {
	c.slow = true
	for id := range uint16(maxOpen) {
		if t := c.open[id+1]; t != nil {
			c.gateway.run.observer.Lost(t.id)
		}
	}
	c.stream.Trickle(1, time.Second)
}

// choose is the server for a request: one for all tries of a keyed one, and else any that says it accepts.
func (g *gateway) choose(r *request) *conn {
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
		if c.up && !c.slow && len(c.free) > 0 && g.run.accepting[c.node.name()] {
			return c
		}
	}
	return g.conns[first]
}

// send makes one try of a request.
func (g *gateway) send(r *request) {
	w := g.run.world
	r.tries++
	c := g.choose(r)
	if !c.up || c.slow || len(c.free) == 0 {
		g.run.report.Unsent++
		g.again(r, g.run.scenario.Pause)
		return
	}
	g.run.tries++
	t := &try{id: fmt.Sprintf("%016x", g.run.tries), request: r, sent: w.Elapsed(), life: c.node.life}
	id := c.free[len(c.free)-1]
	c.free = c.free[:len(c.free)-1]
	c.open[id] = t
	q := fake.Try(t.id, r.key, w.Now(), r.body)
	q.Fields["Account"] = r.tenant
	if r.tries > 1 {
		q.Fields["Attempt-Again"] = "1"
	}
	keyed := r.key != ""
	told := invariant.Try{ID: t.id, Once: keyed, Result: string(fake.Result(r.body)), Received: w.Now(),
		Due: w.Now().Add(fake.Deadline(keyed) + answerSlack)}
	if keyed {
		told.Key = fmt.Sprintf("%s at %s, life %d", r.key, c.node.name(), c.node.life)
	}
	g.run.observer.Sent(told)
	g.run.open[t.id] = t
	g.run.report.Tries++
	c.stream.Write(q.Records(id))
	if keyed && g.rng.Float64() < g.run.scenario.Hedges {
		w.After(time.Duration(g.rng.Int64N(int64(100*time.Millisecond))), func() {
			if c.open[id] == t && !g.run.over {
				r.tries--
				g.send(r)
			}
		})
	}
	if g.rng.Float64() < g.run.scenario.Aborts {
		w.After(time.Duration(g.rng.Int64N(int64(200*time.Millisecond))), func() {
			if c.open[id] == t {
				c.stream.Write(fake.Record(fake.Abort, id, nil, 0))
			}
		})
	}
}

// stranger is a connection that is no gateway's: it sends something or nothing, and stays until it is closed.
type stranger struct {
	stream *simnet.Stream
	sends  []byte
}

func newStranger(r *run, n *node, sends []byte, stays time.Duration) {
	s := &stranger{sends: sends}
	s.stream = r.world.Dial(netip.AddrFrom4([4]byte{10, 4, 0, 1}), n.addr(), s)
	r.world.After(stays, func() { s.stream.Close() })
}

// Connected implements simos.Actor.
func (s *stranger) Connected() { s.stream.Write(s.sends) }

// Data implements simos.Actor.
func (s *stranger) Data([]byte) {}

// Closed implements simos.Actor.
func (s *stranger) Closed(error) {}

// answered takes in an answer, and decides whether a further try follows.
func (g *gateway) answered(t *try, a fake.Answer, at time.Time) {
	r := t.request
	kind := a.Outcome()
	g.run.observer.Answered(t.id, kind, string(a.Body), at)
	delete(g.run.open, t.id)
	switch kind {
	case invariant.Served:
		g.run.report.Served++
		g.run.served(r)
	case invariant.Refused:
		g.run.report.Refused++
		if a.Header.Get("Final-Refusal") != "" {
			return
		}
		wait := g.run.scenario.Pause
		if ms, err := strconv.Atoi(strings.TrimSpace(a.Header.Get("Back-Off-Ms"))); err == nil && g.heeds {
			wait = time.Duration(float64(ms)*(1+g.rng.Float64())) * time.Millisecond
		}
		g.again(r, wait)
	default:
		g.run.report.Failed++
		if r.key == "" { // of a keyed one it is not known whether it ran, and the caller is told so
			g.again(r, g.run.scenario.Pause)
		}
	}
}

// lost takes in that the connection of a try ended.
func (g *gateway) lost(t *try) {
	g.run.observer.Lost(t.id)
	delete(g.run.open, t.id)
	g.run.report.Lost++
	g.again(t.request, g.run.scenario.Pause)
}

// again makes a further try after a while, where the caller still waits.
func (g *gateway) again(r *request, wait time.Duration) {
	if r.tries >= g.run.scenario.Tries || g.run.world.Elapsed()+wait-r.came > fake.Deadline(r.key != "") || g.run.over {
		return
	}
	g.run.world.After(wait, func() {
		if !g.run.over {
			g.send(r)
		}
	})
}
