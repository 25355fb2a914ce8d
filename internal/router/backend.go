package router

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/forward"
	"tillerusher/internal/gateway"
	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/server"
)

// backend passes requests to the members of pools. It implements server.RequestParser and server.Backend for the core,
// and forward.Handler for the connections to members.
type backend struct {
	server    *server.Server
	log       *zap.Logger
	listen    netip.AddrPort
	classes   map[string]classMapping
	forwarder *forward.Forwarder // nil until Connect
	inFlight  map[string]*routedRequest
	random    *rand.Rand
	// initial are the routes at the start; routes, table and pools those in force, of one configuration.
	initial       *routeconfig.Config
	routes        *routeconfig.Config
	table         *route.Table
	pools         map[string]*routeconfig.Pool
	lastRequestID uint64
	utilization   utilizationGauge
}

// randomStream selects the stream of the generator that seeds those of the pools.
const randomStream = 1

// newBackend returns the backend of a server.
func newBackend(s *server.Server, cfg *Config, classes map[string]classMapping, log *zap.Logger) *backend {
	return &backend{
		server:   s,
		log:      log,
		listen:   cfg.Listen,
		classes:  classes,
		inFlight: map[string]*routedRequest{},
		random:   rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		initial:  cfg.Routes,
	}
}

// Connect implements server.Backend. Pools need no time to come up: the module starts in the loop's first round.
func (b *backend) Connect() {
	b.forwarder = forward.New(b.server.Loop(), b)
	if err := b.update(b.initial); err != nil {
		b.log.Error("routes", zap.Error(err)) // should not happen: New has validated them
	}
	b.server.Post(func() { b.server.BackendStarted(false, 0) })
}

// errClassesChanged is returned for a reload that changes classes or the capacity: the module gets both only at its
// start.
var errClassesChanged = errors.New("classes and capacity need a restart")

// update applies other routes and pools, or changes nothing and returns an error.
func (b *backend) update(routes *routeconfig.Config) error {
	if b.routes != nil && !hasSameClasses(b.routes, routes) {
		return errClassesChanged
	}
	if err := validate(routes); err != nil {
		return err
	}
	table, err := routes.BuildTable()
	if err != nil {
		return err
	}
	if err := b.forwarder.Update(routes.Pools, b.newRandom); err != nil {
		return err
	}
	b.routes, b.table = routes, table
	b.pools = make(map[string]*routeconfig.Pool, len(routes.Pools))
	for i := range routes.Pools {
		b.pools[routes.Pools[i].Name] = &routes.Pools[i]
	}
	return nil
}

// newRandom returns a source of random numbers for one pool.
func (b *backend) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
}

// hasSameClasses returns whether two configurations agree in what the module gets of them.
func hasSameClasses(a, b *routeconfig.Config) bool {
	isSame := func(a, b routeconfig.Class) bool {
		a.Pos = b.Pos // the position in the file does not matter
		return a == b
	}
	return a.Capacity == b.Capacity && slices.EqualFunc(a.Classes, b.Classes, isSame)
}

// Reconfigure implements server.Backend. Routes are read from a file of their own: see Router.Reload.
func (b *backend) Reconfigure(*server.Config) {}

// Withdraw implements server.Backend.
func (b *backend) Withdraw(requestID string) bool {
	if !b.forwarder.Withdraw(requestID) {
		return false
	}
	delete(b.inFlight, requestID)
	return true
}

// Stop implements server.Backend.
func (b *backend) Stop(requestID string) { b.forwarder.Stop(requestID) }

// IsReady implements server.Backend.
func (b *backend) IsReady() bool { return true }

// OpenRuns implements server.Backend.
func (b *backend) OpenRuns() int { return b.forwarder.OpenRuns() }

// CheckHealth implements server.Backend.
func (b *backend) CheckHealth(_ time.Time, then func(bool)) { then(len(b.routes.Pools) > 0) }

// QueryGauges implements server.Backend. Requests at members count as running work, and the capacity of the pools as
// cores.
func (b *backend) QueryGauges(_ time.Time, then func([]float64, bool)) {
	openRuns := float64(b.OpenRuns())
	utilization := b.utilization.sample(b.server.ModuleTime(), min(1, openRuns/float64(b.routes.Capacity)))
	then([]float64{utilization, openRuns}, true)
}

// Close implements server.Backend.
func (b *backend) Close() { b.forwarder.Close() }

// Counters implements server.Backend.
func (b *backend) Counters() []server.Counter {
	stats := &b.forwarder.Stats
	counters := []server.Counter{
		{Name: "member_attempts", Value: stats.Attempts},
		{Name: "member_retries", Value: stats.Retries},
		{Name: "member_rejected", Value: stats.Rejected},
		{Name: "member_timeouts", Value: stats.Timeouts},
		{Name: "member_errors", Value: stats.Errors},
		{Name: "member_invalid_responses", Value: stats.InvalidResponses},
		{Name: "dials", Value: stats.Dials},
		{Name: "reused_connections", Value: stats.ReusedConns},
	}
	for decision, n := range stats.RetryDecisions {
		counters = append(counters, server.Counter{Name: "retry_decision_" + strconv.Itoa(decision), Value: n})
	}
	return counters
}

// RequestFinished implements forward.Handler.
func (b *backend) RequestFinished(requestID string, outcome forward.Outcome, response gateway.Response) {
	routed := b.inFlight[requestID]
	if routed == nil || b.runFallback(routed, outcome, response.Status) {
		return
	}
	switch outcome {
	case forward.Responded:
		response.Status = routed.finalStatus(response.Status)
		b.respond(routed, outcome, response)
	case forward.ResponseLost:
		b.finish(routed, server.RunFailed, gateway.Response{})
	default:
		b.finish(routed, server.RunRejected, gateway.Response{})
	}
}

// runFallback handles the end of a request by the location's fallback, and returns false where there is none. A request
// that must not run twice and may have run is not sent to a second pool.
func (b *backend) runFallback(routed *routedRequest, outcome forward.Outcome, status int) bool {
	before := *routed
	if outcome == forward.Responded && !routed.location.InterceptErrors || !routed.takeFallback(status) {
		return false
	}
	location := routed.location
	switch {
	case location.Pool != "" && routed.attempt.AtMostOnce && outcome != forward.NotStarted:
		*routed = before
		return false
	case location.Pool != "":
		routed.Run(routed.attempt)
	case location.ReturnStatus != 0:
		response := *returnResponse(location)
		response.Status = routed.finalStatus(response.Status)
		b.respond(routed, outcome, response)
	default:
		b.respond(routed, outcome, gateway.Response{Status: routed.finalStatus(statusNotFound)})
	}
	return true
}

// respond ends a request with an answer. Gateways take 429 and 503 to mean that nothing ran, and send the request again.
// A member's 429 or 503 does not prove that, so for a request that must not run twice it becomes 502.
func (b *backend) respond(routed *routedRequest, outcome forward.Outcome, response gateway.Response) {
	if outcome == forward.NotStarted {
		b.finish(routed, server.RunAnswered, response)
		return
	}
	if routed.attempt.AtMostOnce && (response.Status == statusTooManyRequests || response.Status == statusServiceUnavailable) {
		response.Status = statusBadGateway
	}
	b.finish(routed, server.RunSucceeded, response)
}

// finish removes a request and reports its end to the core.
func (b *backend) finish(routed *routedRequest, outcome server.RunOutcome, response gateway.Response) {
	delete(b.inFlight, routed.attempt.RequestID)
	b.server.RunFinished(routed.attempt.RequestID, outcome, response)
}

// MemberChanged implements forward.Handler.
func (b *backend) MemberChanged(poolName string, change pool.StateChange) {
	b.log.Info("member",
		zap.String("pool", poolName),
		zap.String("member", change.Addr),
		zap.String("state", change.State),
		zap.String("cause", change.Cause))
}

// utilizationWindow is the time over which the gauge averages.
const utilizationWindow = 500 * time.Millisecond

// utilizationGauge averages the utilization of the pools over time.
type utilizationGauge struct {
	average   float64
	sampledAt time.Duration // by the module's clock
}

// sample adds a reading and returns the average.
func (g *utilizationGauge) sample(now time.Duration, utilization float64) float64 {
	part := min(float64(now-g.sampledAt)/float64(utilizationWindow), 1)
	g.sampledAt = now
	g.average += (utilization - g.average) * part
	return g.average
}
