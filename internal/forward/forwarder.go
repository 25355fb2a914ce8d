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

// Outcome says how a job ended.
type Outcome uint8

// The ends.
const (
	Responded    Outcome = iota // a member answered
	ResponseLost                // no answer came, and a member may have run it
	NotStarted                  // no member has run it
)

// The statuses of ends without an answer.
const (
	statusBad  = 502
	statusLate = 504
)

// Request is one request to be passed on.
type Request struct {
	ID            string
	Pool          string
	HashKey       []byte // for the hash methods
	NonIdempotent bool   // it must not run twice
	Params        []gateway.Field
	Body          []byte
}

// Handler hears of ends, once for each job. Where no member answered, the answer has only the status that nginx has for
// that: 504 where a member took too long, 502 otherwise.
type Handler interface {
	RequestFinished(id string, end Outcome, a gateway.Response)
	// MemberChanged tells of a member that is out, in, ejected or gone.
	MemberChanged(pool string, c pool.StateChange)
}

// Stats count what went to members.
type Stats struct {
	Attempts, Retries, Rejected, Timeouts, Errors, InvalidResponses, Dials, ReusedConns uint64
	RetryDecisions                                                                      [8]uint64 // by pool.RetryDecision, of failed tries
}

// Forwarder passes jobs on. It belongs to the loop's goroutine.
type Forwarder struct {
	loop    *eventloop.Loop
	handler Handler
	start   time.Time
	pools   map[string]*target
	jobs    map[string]*pendingRequest
	Stats   Stats
}

// target is a pool with its connections.
type target struct {
	cfg      routeconfig.Pool
	protocol *protocol
	pool     *pool.Pool
	idle     map[string][]*conn // by member, the one used last at the end
	kept     int
}

// pendingRequest is a Job under way.
type pendingRequest struct {
	Request
	target *target
	choice pool.Request
	conn   *conn
	began  time.Time         // of the try under way
	last   *gateway.Response // of a member whose answer called for another try
}

// New returns a link that has no pools yet.
func New(l *eventloop.Loop, h Handler) *Forwarder {
	return &Forwarder{loop: l, handler: h, start: l.Now(), pools: map[string]*target{}, jobs: map[string]*pendingRequest{}}
}

// now is the time that the pools go by.
func (l *Forwarder) now() time.Duration { return l.loop.Now().Sub(l.start) }

// Update takes over pools: those that stay keep what is known of their members, those that left end what they have.
func (l *Forwarder) Update(pools []routeconfig.Pool, random func() *rand.Rand) error {
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
func (l *Forwarder) tell(t *target) {
	for _, c := range t.pool.TakeChanges() {
		l.handler.MemberChanged(t.cfg.Name, c)
	}
}

// PoolState is how a pool is.
type PoolState struct {
	Name        string
	IdleConns   int     // connections
	RetryBudget float64 // further tries that could be made at once
	Members     []pool.MemberStatus
}

// PoolStates are those of all pools, by their names.
func (l *Forwarder) PoolStates() []PoolState {
	list := make([]PoolState, 0, len(l.pools))
	for name, t := range l.pools {
		s := PoolState{Name: name, IdleConns: t.kept, Members: t.pool.MemberStatuses(), RetryBudget: t.pool.AvailableRetries(l.now())}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b PoolState) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Runs is how many jobs have not ended.
func (l *Forwarder) OpenRuns() int { return len(l.jobs) }

// Submit passes a job on.
func (l *Forwarder) Submit(j Request) {
	t := l.pools[j.Pool]
	if t == nil { // it left with a reload since the request was routed
		l.handler.RequestFinished(j.ID, NotStarted, gateway.Response{Status: statusBad})
		return
	}
	w := &pendingRequest{Request: j, target: t, choice: pool.Request{HashKey: j.HashKey}}
	l.jobs[j.ID] = w
	l.try(w)
}

// try sends a job to the next member.
func (l *Forwarder) try(w *pendingRequest) {
	addr, ok := w.target.pool.Pick(&w.choice, l.now())
	l.tell(w.target)
	switch {
	case !ok && w.last != nil:
		l.end(w, Responded, *w.last) // no better one is to be had
		return
	case !ok:
		l.end(w, NotStarted, gateway.Response{Status: statusBad})
		return
	}
	l.Stats.Attempts++
	if w.choice.Attempts > 1 {
		l.Stats.Retries++
	}
	w.began = l.loop.Now()
	if l.attach(w, addr) != nil { // no connection could even be begun, for want of descriptors say
		l.Stats.Errors++
		l.failed(w, addr, pool.Failure{Condition: pool.ConnectionError, NonIdempotent: w.NonIdempotent}, nil)
	}
}

// done tells the pool how a try at a member ended.
func (l *Forwarder) done(w *pendingRequest, addr string, o pool.Outcome) {
	w.conn = nil
	w.target.pool.Finish(addr, o, l.loop.Now().Sub(w.began), l.now())
	l.tell(w.target)
}

// attach gives a job a connection to the member.
func (l *Forwarder) attach(w *pendingRequest, addr string) error {
	t := w.target
	for len(t.idle[addr]) > 0 {
		list := t.idle[addr]
		c := list[len(list)-1]
		t.idle[addr] = list[:len(list)-1]
		t.kept--
		if c.conn.HasPendingInput() { // its end, most likely: a request that must not run twice would be lost on it
			c.close()
			continue
		}
		l.Stats.ReusedConns++
		c.take(w)
		c.send()
		return nil
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("forward: %w", err)
	}
	c := &conn{link: l, target: t, protocol: t.protocol, addr: addr}
	l.Stats.Dials++
	if c.conn, err = l.loop.Dial(to, c); err != nil {
		return err
	}
	c.take(w)
	c.limit(t.cfg.ConnectTimeout)
	return nil
}

// failed ends a try that brought no answer to be passed on, and goes on with another member or not at all. Answer is
// what the member said, where it said anything.
func (l *Forwarder) failed(w *pendingRequest, addr string, f pool.Failure, a *gateway.Response) {
	l.done(w, addr, pool.Failed)
	v := w.target.pool.DecideRetry(&w.choice, f, w.target.cfg.RetryOn, l.now())
	l.Stats.RetryDecisions[v]++
	none := gateway.Response{Status: statusBad}
	if f.Condition == pool.Timeout {
		none.Status = statusLate
	}
	switch {
	case v == pool.Retry:
		w.last = a
		l.try(w)
	case a != nil:
		l.end(w, Responded, *a)
	case f.Sent && f.Condition != pool.Rejection:
		l.end(w, ResponseLost, none)
	default:
		l.end(w, NotStarted, none)
	}
}

// end ends a job.
func (l *Forwarder) end(w *pendingRequest, e Outcome, a gateway.Response) {
	if l.jobs[w.ID] != w {
		return
	}
	delete(l.jobs, w.ID)
	l.handler.RequestFinished(w.ID, e, a)
}

// Withdraw takes a job back that no member has seen, and tells whether it could.
func (l *Forwarder) Withdraw(id string) bool {
	w := l.jobs[id]
	if w == nil || w.conn == nil || w.conn.sent {
		return false
	}
	l.abandon(w)
	return true
}

// Break gives up a job; its end is told.
func (l *Forwarder) Stop(id string) {
	if w := l.jobs[id]; w != nil {
		sent := w.conn != nil && w.conn.sent
		l.abandon(w)
		e := NotStarted
		if sent {
			e = ResponseLost
		}
		l.handler.RequestFinished(id, e, gateway.Response{Status: statusBad})
	}
}

// abandon forgets a job and ends its connection: an answer that still came would be nobody's.
func (l *Forwarder) abandon(w *pendingRequest) {
	delete(l.jobs, w.ID)
	if c := w.conn; c != nil {
		c.job = nil
		c.close()
		l.done(w, c.addr, pool.Neutral)
	}
}

// Close ends all connections.
func (l *Forwarder) Close() {
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
