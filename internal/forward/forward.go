// Package forward passes requests to members of pools over FastCGI or SCGI, one at a time on each connection, and keeps
// FastCGI's connections that are idle. Which member a try goes to, and whether another follows, is decided by internal/pool; this
// package owns the connections, their time limits and what is known of a try: whether any of it may have reached a
// member.
package forward

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
	"tillerusher/internal/pool"
	"tillerusher/internal/routeconfig"
)

// End says how a job ended.
type End uint8

// The ends.
const (
	Answered End = iota // a member answered
	Lost                // no answer came, and a member may have run it
	Unrun               // no member has run it
)

// The statuses of ends without an answer.
const (
	statusBad  = 502
	statusLate = 504
)

// Job is one request to be passed on.
type Job struct {
	ID     string
	Pool   string
	Key    []byte // for the hash methods
	Once   bool   // it must not run twice
	Params []gateway.Field
	Body   []byte
}

// Handler hears of ends, once for each job. Where no member answered, the answer has only the status that nginx has for
// that: 504 where a member took too long, 502 otherwise.
type Handler interface {
	Ended(id string, end End, a gateway.Answer)
	// Changed tells of a member that is out, in, ejected or gone.
	Changed(pool string, c pool.Change)
}

// Counters count what went to members.
type Counters struct {
	Tries, Retries, Refused, Timeouts, Errors, Invalid, Dials, Reused uint64
	Verdicts                                                          [8]uint64 // by pool.Verdict, of failed tries
}

// Link passes jobs on. It belongs to the loop's goroutine.
type Link struct {
	loop    *eventloop.Loop
	handler Handler
	start   time.Time
	pools   map[string]*target
	jobs    map[string]*job
	Count   Counters
}

// target is a pool with its connections.
type target struct {
	cfg      routeconfig.Pool
	protocol *protocol
	pool     *pool.Pool
	idle     map[string][]*conn // by member, the one used last at the end
	kept     int
}

// job is a Job under way.
type job struct {
	Job
	target *target
	choice pool.Request
	conn   *conn
	began  time.Time       // of the try under way
	last   *gateway.Answer // of a member whose answer called for another try
}

// New returns a link that has no pools yet.
func New(l *eventloop.Loop, h Handler) *Link {
	return &Link{loop: l, handler: h, start: l.Now(), pools: map[string]*target{}, jobs: map[string]*job{}}
}

// now is the time that the pools go by.
func (l *Link) now() time.Duration { return l.loop.Now().Sub(l.start) }

// Update takes over pools: those that stay keep what is known of their members, those that left end what they have.
func (l *Link) Update(pools []routeconfig.Pool, random func() *rand.Rand) error {
	next := make(map[string]*target, len(pools))
	for _, cfg := range pools {
		t := l.pools[cfg.Name]
		if t == nil {
			p, err := pool.New(cfg.Config, random(), l.now())
			if err != nil {
				return err
			}
			t = &target{pool: p, idle: map[string][]*conn{}}
		} else if err := t.pool.Update(cfg.Config, l.now()); err != nil {
			return err
		}
		if t.cfg.Protocol != cfg.Protocol {
			t.hangUp(func(string) bool { return true }) // what is idle speaks the old one
			protocol, err := protocolOf(cfg.Protocol)
			if err != nil {
				return err
			}
			t.protocol = protocol
		}
		t.cfg = cfg
		next[cfg.Name] = t
	}
	for _, t := range l.pools {
		if next[t.cfg.Name] == nil {
			t.hangUp(func(string) bool { return true })
		}
	}
	l.pools = next
	for _, t := range next {
		members := map[string]bool{}
		for _, m := range t.cfg.Members {
			members[m.Addr] = true
		}
		t.hangUp(func(addr string) bool { return !members[addr] })
		l.tell(t)
	}
	return nil
}

// hangUp closes the idle connections to the members that gone names.
func (t *target) hangUp(gone func(addr string) bool) {
	for addr, list := range t.idle {
		if !gone(addr) {
			continue
		}
		for _, c := range list {
			c.close()
			t.kept--
		}
		delete(t.idle, addr)
	}
}

// tell hands on the changes of a pool's members.
func (l *Link) tell(t *target) {
	for _, c := range t.pool.Changes() {
		l.handler.Changed(t.cfg.Name, c)
	}
}

// PoolState is how a pool is.
type PoolState struct {
	Name    string
	Idle    int     // connections
	Budget  float64 // further tries that could be made at once
	Members []pool.State
}

// States are those of all pools, by their names.
func (l *Link) States() []PoolState {
	list := make([]PoolState, 0, len(l.pools))
	for name, t := range l.pools {
		s := PoolState{Name: name, Idle: t.kept, Members: t.pool.States(), Budget: t.pool.Budget(l.now())}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b PoolState) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Runs is how many jobs have not ended.
func (l *Link) Runs() int { return len(l.jobs) }

// Apply passes a job on.
func (l *Link) Apply(j Job) {
	t := l.pools[j.Pool]
	if t == nil { // it left with a reload since the request was routed
		l.handler.Ended(j.ID, Unrun, gateway.Answer{Status: statusBad})
		return
	}
	w := &job{Job: j, target: t, choice: pool.Request{Key: j.Key}}
	l.jobs[j.ID] = w
	l.try(w)
}

// try sends a job to the next member.
func (l *Link) try(w *job) {
	addr, ok := w.target.pool.Pick(&w.choice, l.now())
	l.tell(w.target)
	switch {
	case !ok && w.last != nil:
		l.end(w, Answered, *w.last) // no better one is to be had
		return
	case !ok:
		l.end(w, Unrun, gateway.Answer{Status: statusBad})
		return
	}
	l.Count.Tries++
	if w.choice.Tries > 1 {
		l.Count.Retries++
	}
	w.began = l.loop.Now()
	if l.attach(w, addr) != nil { // no connection could even be begun, for want of descriptors say
		l.Count.Errors++
		l.failed(w, addr, pool.Failure{Condition: pool.Error, Once: w.Once}, nil)
	}
}

// done tells the pool how a try at a member ended.
func (l *Link) done(w *job, addr string, o pool.Outcome) {
	w.conn = nil
	w.target.pool.Done(addr, o, l.loop.Now().Sub(w.began), l.now())
	l.tell(w.target)
}

// attach gives a job a connection to the member.
func (l *Link) attach(w *job, addr string) error {
	t := w.target
	for len(t.idle[addr]) > 0 {
		list := t.idle[addr]
		c := list[len(list)-1]
		t.idle[addr] = list[:len(list)-1]
		t.kept--
		if c.conn.Waiting() { // its end, most likely: a request that must not run twice would be lost on it
			c.close()
			continue
		}
		l.Count.Reused++
		c.take(w)
		c.send()
		return nil
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("forward: %w", err)
	}
	c := &conn{link: l, target: t, protocol: t.protocol, addr: addr}
	l.Count.Dials++
	if c.conn, err = l.loop.Dial(to, c); err != nil {
		return err
	}
	c.take(w)
	c.limit(t.cfg.Connect)
	return nil
}

// failed ends a try that brought no answer to be passed on, and goes on with another member or not at all. Answer is
// what the member said, where it said anything.
func (l *Link) failed(w *job, addr string, f pool.Failure, a *gateway.Answer) {
	l.done(w, addr, pool.Failed)
	v := w.target.pool.Next(&w.choice, f, w.target.cfg.Next, l.now())
	l.Count.Verdicts[v]++
	none := gateway.Answer{Status: statusBad}
	if f.Condition == pool.Timeout {
		none.Status = statusLate
	}
	switch {
	case v == pool.Again:
		w.last = a
		l.try(w)
	case a != nil:
		l.end(w, Answered, *a)
	case f.Sent && f.Condition != pool.Refusal:
		l.end(w, Lost, none)
	default:
		l.end(w, Unrun, none)
	}
}

// end ends a job.
func (l *Link) end(w *job, e End, a gateway.Answer) {
	if l.jobs[w.ID] != w {
		return
	}
	delete(l.jobs, w.ID)
	l.handler.Ended(w.ID, e, a)
}

// Withdraw takes a job back that no member has seen, and tells whether it could.
func (l *Link) Withdraw(id string) bool {
	w := l.jobs[id]
	if w == nil || w.conn == nil || w.conn.sent {
		return false
	}
	l.abandon(w)
	return true
}

// Break gives up a job; its end is told.
func (l *Link) Break(id string) {
	if w := l.jobs[id]; w != nil {
		sent := w.conn != nil && w.conn.sent
		l.abandon(w)
		e := Unrun
		if sent {
			e = Lost
		}
		l.handler.Ended(id, e, gateway.Answer{Status: statusBad})
	}
}

// abandon forgets a job and ends its connection: an answer that still came would be nobody's.
func (l *Link) abandon(w *job) {
	delete(l.jobs, w.ID)
	if c := w.conn; c != nil {
		c.job = nil
		c.close()
		l.done(w, c.addr, pool.Neutral)
	}
}

// Close ends all connections.
func (l *Link) Close() {
	for _, w := range l.jobs {
		if w.conn != nil {
			w.conn.job = nil
			w.conn.close()
		}
	}
	clear(l.jobs)
	for _, t := range l.pools {
		t.hangUp(func(string) bool { return true })
	}
}
