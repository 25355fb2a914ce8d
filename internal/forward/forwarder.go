package forward

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
	"tillerusher/internal/pool"
	"tillerusher/internal/routeconfig"
)

// Handler receives the outcomes of requests and state changes of pool members.
type Handler interface {
	// RequestFinished is called once for each request, unless Withdraw or Close removed it. If no member responded, the
	// response has only a status, as in nginx: 504 if the last attempt timed out and the pool decided against a retry,
	// otherwise 502.
	RequestFinished(id string, outcome Outcome, r gateway.Response)
	// MemberChanged reports a change of the state of a pool member.
	MemberChanged(pool string, c pool.StateChange)
}

// retryDecisionSlots is the length of Stats.RetryDecisions, which is indexed by decision, so there must be a slot for each
// decision. All slots are reported as counters, including the unused ones.
const retryDecisionSlots = 8

// Stats counts attempts, their failures and connections.
type Stats struct {
	Attempts         uint64
	Retries          uint64 // attempts other than the first of a request
	Rejected         uint64 // attempts that the member rejected as overloaded
	Timeouts         uint64
	Errors           uint64 // connections that broke or could not be opened
	InvalidResponses uint64
	Dials            uint64
	ReusedConns      uint64
	RetryDecisions   [retryDecisionSlots]uint64 // decisions after failed attempts, by pool.RetryDecision
}

// Forwarder sends requests to members of pools.
type Forwarder struct {
	loop     *eventloop.Loop
	handler  Handler
	start    time.Time
	pools    map[string]*targetPool
	requests map[string]*pendingRequest
	Stats    Stats
}

// targetPool is a pool with its idle connections.
type targetPool struct {
	config    routeconfig.Pool
	protocol  *protocol
	balancer  *pool.Pool
	idle      map[string][]*conn // by member address; the most recently used connection is last
	idleCount int
}

// New returns a forwarder without pools.
func New(l *eventloop.Loop, h Handler) *Forwarder {
	return &Forwarder{loop: l, handler: h, start: l.Now(), pools: map[string]*targetPool{}, requests: map[string]*pendingRequest{}}
}

// now returns the time that is passed to pools, which is the time since the forwarder was created.
func (f *Forwarder) now() time.Duration { return f.loop.Now().Sub(f.start) }

// Update replaces the pools. Pools whose names are still configured keep the state of their members. The idle connections
// of removed pools are closed, and requests in flight there finish normally. newRand returns the source of random numbers
// for a new pool. The caller must validate the configurations first: after an error some pools may have been updated.
func (f *Forwarder) Update(configs []routeconfig.Pool, newRand func() *rand.Rand) error {
	next := make(map[string]*targetPool, len(configs))
	for _, config := range configs {
		target, err := f.updateOrCreatePool(config, newRand)
		if err != nil {
			return err
		}
		next[config.Name] = target
	}
	for name, target := range f.pools {
		if next[name] == nil {
			target.closeAllIdle()
		}
	}
	f.pools = next
	for _, target := range next {
		target.closeIdleOfRemoved()
		f.reportChanges(target)
	}
	return nil
}

// updateOrCreatePool updates the pool of the configuration, or creates it if it doesn't exist, and returns it.
func (f *Forwarder) updateOrCreatePool(config routeconfig.Pool, newRand func() *rand.Rand) (*targetPool, error) {
	target := f.pools[config.Name]
	if target == nil {
		balancer, err := pool.New(config.Config, newRand(), f.now())
		if err != nil {
			return nil, err
		}
		target = &targetPool{balancer: balancer, idle: map[string][]*conn{}}
	} else if err := target.balancer.Update(config.Config, f.now()); err != nil {
		return nil, err
	}
	if target.config.Protocol != config.Protocol {
		target.closeAllIdle() // they use the old protocol
		protocol, err := newProtocol(config.Protocol)
		if err != nil {
			return nil, err
		}
		target.protocol = protocol
	}
	target.config = config
	return target, nil
}

// closeIdleOfRemoved closes the idle connections to members that are no longer configured.
func (t *targetPool) closeIdleOfRemoved() {
	isMember := make(map[string]bool, len(t.config.Members))
	for _, member := range t.config.Members {
		isMember[member.Addr] = true
	}
	t.closeIdle(func(addr string) bool { return !isMember[addr] })
}

// closeAllIdle closes the idle connections to all members.
func (t *targetPool) closeAllIdle() { t.closeIdle(func(string) bool { return true }) }

// closeIdle closes the idle connections to the members for whose addresses matches returns true.
func (t *targetPool) closeIdle(matches func(addr string) bool) {
	for addr, conns := range t.idle {
		if !matches(addr) {
			continue
		}
		for _, c := range conns {
			c.close()
			t.idleCount--
		}
		delete(t.idle, addr)
	}
}

// reportChanges reports the state changes of a pool's members to the handler.
func (f *Forwarder) reportChanges(target *targetPool) {
	for _, change := range target.balancer.TakeChanges() {
		f.handler.MemberChanged(target.config.Name, change)
	}
}

// PoolState is a snapshot of a pool's state.
type PoolState struct {
	Name        string
	IdleConns   int
	RetryBudget float64 // number of retries that the budget allows now
	Members     []pool.MemberStatus
}

// PoolStates returns the states of all pools, sorted by name.
func (f *Forwarder) PoolStates() []PoolState {
	states := make([]PoolState, 0, len(f.pools))
	for name, target := range f.pools {
		states = append(states, PoolState{
			Name:        name,
			IdleConns:   target.idleCount,
			RetryBudget: target.balancer.AvailableRetries(f.now()),
			Members:     target.balancer.MemberStatuses(),
		})
	}
	slices.SortFunc(states, func(a, b PoolState) int { return strings.Compare(a.Name, b.Name) })
	return states
}

// Close closes all connections and drops the requests in flight without calls of RequestFinished.
func (f *Forwarder) Close() {
	for _, request := range f.requests {
		if request.conn != nil {
			request.conn.request = nil
			request.conn.close()
		}
	}
	clear(f.requests)
	for _, target := range f.pools {
		target.closeAllIdle()
	}
}
