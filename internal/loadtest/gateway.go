package loadtest

import (
	"sync"
	"time"

	"tillerusher/internal/fake"
)

// maxOpen is how many requests a connection may have open.
const maxOpen = 32

// try is one try of a request.
type try struct {
	id       string
	request  *request
	number   int       // of the tries of its request, from 1
	intended time.Time // when it was meant to be sent
	received time.Time
}

// gateway is one connection to the daemon, made anew where it ends.
type gateway struct {
	storm *storm

	mu   sync.Mutex
	conn *fake.Gateway // nil until the first try, and after an end
	open map[uint16]*try
	free []uint16
}

func newGateway(s *storm) *gateway {
	g := &gateway{storm: s, open: map[uint16]*try{}}
	for id := uint16(maxOpen); id > 0; id-- {
		g.free = append(g.free, id)
	}
	return g
}

// send writes a try; it returns false where the connection has no room or can't be made.
func (g *gateway) send(t *try) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.free) == 0 {
		return false
	}
	if g.conn == nil {
		conn, err := fake.Dial(g.storm.daemon.addr)
		if err != nil {
			return false
		}
		g.conn = conn
		g.storm.readers.Add(1)
		go g.read(conn)
	}
	id := g.free[len(g.free)-1]
	g.free = g.free[:len(g.free)-1]
	g.open[id] = t
	t.received = time.Now()
	bytes := g.storm.records(t, id)
	g.storm.observer.RecordSent(g.storm.told(t))
	if g.conn.Write(bytes) != nil {
		g.end(g.conn) // the reader finds the end too, and finds it done
	}
	return true
}

// read takes in the answers of one connection.
func (g *gateway) read(conn *fake.Gateway) {
	defer g.storm.readers.Done()
	for {
		a, err := conn.ReadResponse(0, time.Time{})
		now := time.Now()
		g.mu.Lock()
		if err != nil {
			g.end(conn)
			g.mu.Unlock()
			return
		}
		t := g.open[a.ID]
		if t != nil {
			delete(g.open, a.ID)
			g.free = append(g.free, a.ID)
		}
		g.mu.Unlock()
		if t != nil {
			g.storm.answered(t, a, now)
		}
	}
}

// end forgets a connection, with the lock held. What was open on it stays unanswered, which the observer reports.
func (g *gateway) end(conn *fake.Gateway) {
	conn.Close()
	if g.conn != conn {
		return
	}
	g.conn = nil
	for id, t := range g.open {
		g.free = append(g.free, id)
		delete(g.open, id)
		g.storm.lost(t)
	}
}

// hangUp closes the connection.
func (g *gateway) hangUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.Close()
	}
}
