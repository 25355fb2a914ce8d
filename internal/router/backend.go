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

// backend forwards requests to the members of pools. It implements server.RequestParser, server.Backend and
// forward.Handler.
type backend struct {
	server    *server.Server
	log       *zap.Logger
	listen    netip.AddrPort
	classes   map[string]classMapping
	forwarder *forward.Forwarder // nil until Connect
	inFlight  map[string]*routedRequest
	random    *rand.Rand
	// initial is the configuration that Connect applies.
	initial *routeconfig.Config
	// routes is the configuration in force; table and pools are built from it.
	routes        *routeconfig.Config
	table         *route.Table
	pools         map[string]*routeconfig.Pool
	lastRequestID uint64
	utilization   utilizationGauge
}

// randomStream is the PCG stream of backend.random, which seeds the generators of the pools.
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

// Connect implements server.Backend. Pools need no warm-up, so the decision module starts in the first iteration of the
// event loop.
func (b *backend) Connect() {
	b.forwarder = forward.New(b.server.Loop(), b)
	if err := b.update(b.initial); err != nil {
		b.log.Error("routes", zap.Error(err)) // unexpected: New has validated the routes
	}
	b.server.Post(func() { b.server.BackendStarted(false, 0) })
}

// errClassesChanged is returned for a reload that changes classes or the capacity. The decision module receives both only
// when it starts.
var errClassesChanged = errors.New("router: changed classes or capacity need a restart")

// update applies new routes and pools. On an error the present ones stay in force.
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

// newRandom returns a random number generator for one pool.
func (b *backend) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
}

// hasSameClasses reports whether two configurations have the same classes and capacity, which are all that the decision
// module receives of a configuration.
func hasSameClasses(a, b *routeconfig.Config) bool {
	isSame := func(a, b routeconfig.Class) bool {
		a.Pos = b.Pos // the position in the file does not matter
		return a == b
	}
	return a.Capacity == b.Capacity && slices.EqualFunc(a.Classes, b.Classes, isSame)
}

// Reconfigure implements server.Backend. It does nothing: routes are in a separate file and are changed by Router.Reload.
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
func (b *backend) OpenRuns() int { return b.forwarder.OpenRequests() }

// CheckHealth implements server.Backend.
func (b *backend) CheckHealth(_ time.Time, then func(bool)) { then(len(b.routes.Pools) > 0) }

// QueryGauges implements server.Backend. The open runs at members are the runnable work. The utilization is the share of
// the pools' capacity that they use, averaged over time.
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

// runFallback handles a finished request with the location's fallback, and returns false if none applies. A request that
// must not run twice and may have run is not sent to a second pool.
func (b *backend) runFallback(routed *routedRequest, outcome forward.Outcome, status int) bool {
	before := *routed
	if outcome == forward.Responded && !routed.location.InterceptErrors || !routed.applyFallback(status) {
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

// respond finishes a request with a response. Gateways interpret 429 and 503 as proof that nothing ran, and retry the
// request. A member's 429 or 503 does not prove it, so respond changes that status to 502 for a request that must not run
// twice.
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

// finish removes a request from inFlight and reports the end of its run to the server.
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

// utilizationWindow is the time constant of the moving average.
const utilizationWindow = 500 * time.Millisecond

// utilizationGauge is a moving average of the pools' utilization.
type utilizationGauge struct {
	average   float64
	sampledAt time.Duration // by the decision module's clock
}

// sample adds a sample taken at time now and returns the average.
func (g *utilizationGauge) sample(now time.Duration, utilization float64) float64 {
	weight := min(float64(now-g.sampledAt)/float64(utilizationWindow), 1)
	g.sampledAt = now
	g.average += (utilization - g.average) * weight
	return g.average
}
