package server

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/config"
	"tillerusher/internal/eventloop"
	"tillerusher/internal/fastcgi"
	"tillerusher/internal/forward"
	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/settings"
)

// RouterConfig is what a server that routes is told.
type RouterConfig struct {
	Name     string
	Listen   netip.AddrPort
	Stop     time.Duration // conn SIGTERM to SIGKILL
	MemoryMB int
	Sockets  int
	Routes   *routeconfig.Config
	Seed     uint64 // values random choices
	Operator *config.OperatorConfig
}

// The figures of a server that routes, where the description says none.
const (
	drainGracePeriod  = 300 * time.Millisecond
	callerIdleTimeout = time.Minute
	// queueMemoryDivisor is the part of the memory that requests may take which are held or at members.
	queueMemoryDivisor = 4
	maxRoutedBody      = 1 << 20
)

// router is the worker and the intake of a server that routes.
type router struct {
	*forward.Forwarder
	server      *Server
	table       *route.Table
	routes      *routeconfig.Config
	pools       map[string]*routeconfig.Pool // values desc, by name
	listen      netip.AddrPort
	classes     map[string]classMapping
	random      *rand.Rand
	lastRequest uint64 // values the requests so far
	utilization float64
	sampledAt   time.Duration
}

// classMapping is where a class of the description is among the module's.
type classMapping struct {
	safe, other int // by the request's method; the same where the method does not count
	hasKey      bool
	atMostOnce  bool // values the other one
}

// NewRouter returns a server that routes to pools in place of an interpreter.
func NewRouter(cfg *RouterConfig, log *zap.Logger) (*Server, error) {
	if err := validateRoutes(cfg.Routes); err != nil {
		return nil, err
	}
	told, classes := moduleSettings(cfg)
	base := &Config{Name: cfg.Name, Listen: cfg.Listen, StopTimeout: cfg.Stop, Settings: told}
	if cfg.Operator != nil {
		base.Capture = cfg.Operator.Capture
	}
	base.Limits.Cores, base.Limits.MemoryMB, base.Limits.Sockets = 1, cfg.MemoryMB, cfg.Sockets
	s, err := open(eventloop.Kernel{}, base, log, fastcgi.Limits{OpenRequests: maxOpenRequests, ParamBytes: maxParamsBytes, BodyBytes: maxRoutedBody,
		TotalBytes: cfg.MemoryMB << 20 / requestMemoryDivisor, KeepParams: true})
	if err != nil {
		return nil, err
	}
	r := &router{server: s, listen: cfg.Listen, classes: classes, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
	s.parser = r.intake
	s.connectBackend = func() backend {
		r.Forwarder = forward.New(s.loop, r)
		if err := r.update(cfg.Routes); err != nil {
			s.log.Error("routes", zap.Error(err)) // the description was checked
		}
		s.loop.Post(func() { s.InterpreterStarted(false, 0) })
		return r
	}
	return s, nil
}

// ReloadRoutes goes on with another description; any goroutine may call it. Requests that are open go on where they are.
func (s *Server) ReloadRoutes(d *routeconfig.Config) {
	s.loop.Post(func() {
		r, ok := s.backend.(*router)
		if !ok {
			return
		}
		if err := r.update(d); err != nil {
			s.log.Error("configuration not reloaded", zap.Error(err))
			return
		}
		s.counters.reloads++
		s.log.Info("routes reloaded", zap.Int("pools", len(d.Pools)), zap.Int("servers", len(d.Servers)))
		s.annotateCapture("routes reloaded")
	})
}

// errClassesChanged says that classes can't be changed while a server runs: the module was told them at its start.
var errClassesChanged = errors.New("classes and capacity need a restart")

// update takes over a description.
func (r *router) update(d *routeconfig.Config) error {
	if r.routes != nil && (!slices.EqualFunc(r.routes.Classes, d.Classes, sameClass) || r.routes.Capacity != d.Capacity) {
		return errClassesChanged
	}
	if err := validateRoutes(d); err != nil {
		return err
	}
	table, err := d.BuildTable()
	if err != nil {
		return err
	}
	err = r.Update(d.Pools, func() *rand.Rand { return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())) })
	if err != nil {
		return err
	}
	r.table, r.routes, r.pools = table, d, make(map[string]*routeconfig.Pool, len(d.Pools))
	for i := range d.Pools {
		r.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	return nil
}

// validateRoutes tells what of a description can be read and not be served.
func validateRoutes(d *routeconfig.Config) error {
	if len(d.Servers) == 0 || len(d.Classes) == 0 {
		return errors.New("routes: a description without (server ...) or (class ...)")
	}
	return nil
}

// sameClass compares all but the place.
func sameClass(a, b routeconfig.Class) bool {
	a.Pos = b.Pos
	return a == b
}

// moduleSettings is what the module is told: the capacity of the pools takes the place of the interpreter's cores.
func moduleSettings(cfg *RouterConfig) (*settings.Site, map[string]classMapping) {
	d := cfg.Routes
	told := &settings.Site{GaugeNames: []string{"cpu_busy", "runnable"}}
	told.Admission = admission.Settings{Servers: 1, Callers: 1, Cores: d.Capacity, IndependentRuns: true, Tick: 5 * time.Millisecond,
		MemoryKB: float64(cfg.MemoryMB<<10) / queueMemoryDivisor, KeyKB: 1, RunningMemoryFactor: 2, MaxConcurrencyFactor: 2, DrainGracePeriod: drainGracePeriod,
		StopMode: admission.StopDiscard, MaxRetryAfter: time.Second, CallerIdleTimeout: callerIdleTimeout}
	classes := map[string]classMapping{}
	add := func(c routeconfig.Class, name string, e admission.Effect) int {
		told.ClassNames = append(told.ClassNames, name)
		told.Admission.Classes = append(told.Admission.Classes, admission.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, Weight: c.Weight,
			LateWeight: 0.5, Effect: e, KeyWindow: c.KeyWindow})
		return len(told.ClassNames) - 1
	}
	for _, c := range d.Classes {
		var rc classMapping
		switch c.Effect {
		case routeconfig.EffectSafe:
			rc.safe = add(c, c.Name, admission.Safe)
			rc.other = rc.safe
		case routeconfig.EffectByMethod:
			rc.safe = add(c, c.Name+" (reads)", admission.Safe)
			rc.other, rc.atMostOnce = add(c, c.Name+" (writes)", admission.NonIdempotent), true
		case routeconfig.EffectIdempotentByKey:
			rc.safe = add(c, c.Name, admission.IdempotentByKey)
			rc.other, rc.atMostOnce, rc.hasKey = rc.safe, true, true
		default:
			rc.safe = add(c, c.Name, admission.NonIdempotent)
			rc.other, rc.atMostOnce = rc.safe, true
		}
		classes[c.Name] = rc
	}
	return told, classes
}

// safeMethods are those that change nothing (RFC 9110, section 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// requestParser finds a request's route. Where that does not lead to a pool the answer is returned.
func (r *router) intake(q gateway.Request, now time.Duration) (*attempt, admission.Request, *gateway.Response, error) {
	server, _ := r.table.FindServer(r.localAddress(q), q.Headers["host"])
	if server == nil {
		return nil, admission.Request{}, &gateway.Response{Status: 404}, nil
	}
	raw := q.Path
	if q.URI != "" {
		raw = q.URI // SCRIPT_NAME may have been changed on its way
	}
	m, err := server.Resolve(raw, q.Query)
	if err != nil {
		return nil, admission.Request{}, &gateway.Response{Status: statusBadRequest}, nil
	}
	if m.RedirectTrailingSlash {
		m.Status, m.RedirectURL = 301, m.Path+"/"
		if m.Query != "" {
			m.RedirectURL += "?" + m.Query
		}
	}
	switch {
	case m.RedirectURL != "":
		return nil, admission.Request{}, &gateway.Response{Status: m.Status, Headers: []gateway.Field{{Name: "Location", Value: m.RedirectURL}}}, nil
	case m.Status != 0:
		return nil, admission.Request{}, &gateway.Response{Status: m.Status}, nil
	case m.Location == nil:
		return nil, admission.Request{}, &gateway.Response{Status: 404}, nil
	}
	rt := &routedRequest{request: q, server: server, location: m.Location.Value.(*routeconfig.Location), requestedPath: raw, path: m.Path,
		query: m.Query, isRewritten: m.Rewritten}
	if a := rt.directAnswer(m.StoppedByBreak); a != nil {
		return nil, admission.Request{}, a, nil
	}
	t, mq, err := r.parseAttempt(q, rt.location, now)
	if t != nil {
		t.routed = rt
	}
	return t, mq, nil, err
}

// directAnswers is the answer of a route that leads to no pool, or nil. A status without a text of its own may lead on to a
// fallback, which then is the route.
func (rt *routedRequest) directAnswer(settled bool) *gateway.Response {
	l := rt.location
	if l.Pool != "" && (l.ReturnStatus == 0 || settled) {
		return nil
	}
	a := &gateway.Response{Status: 404}
	if l.ReturnStatus != 0 && !settled {
		if a = returnAnswer(l); l.ReturnText != "" {
			return a
		}
	}
	if !rt.takeFallback(a.Status) {
		return a
	}
	if rt.location.Pool != "" {
		return nil
	}
	b := *a
	if rt.location.ReturnStatus != 0 {
		b = *returnAnswer(rt.location)
	}
	b.Status = rt.finalStatus(b.Status)
	return &b
}

// takeFallback makes the fallback for a status the route, where there is one. There is one fall in a request: what a fallback
// ends with is its end, as in nginx.
func (rt *routedRequest) takeFallback(status int) bool {
	if rt.isFallback {
		return false
	}
	for _, f := range rt.location.Fallbacks {
		if !slices.Contains(f.Statuses, status) {
			continue
		}
		named := rt.server.NamedLocation(f.Location)
		if named == nil {
			return false // the description was checked
		}
		rt.location, rt.isFallback, rt.fallbackStatus = named.Value.(*routeconfig.Location), true, f.ResponseStatus
		if f.ResponseStatus == routeconfig.KeepStatus {
			rt.fallbackStatus = status
		}
		return true
	}
	return false
}

// finalStatus is the status of the answer in the end, where the route's end has this one.
func (rt *routedRequest) finalStatus(own int) int {
	if rt.fallbackStatus != 0 {
		return rt.fallbackStatus
	}
	return own
}

// localAddress is the address at which the gateway's caller reached it, where the gateway tells, and else that of this
// server.
func (r *router) localAddress(q gateway.Request) netip.AddrPort {
	at, err := netip.ParseAddrPort(net.JoinHostPort(q.Params["SERVER_ADDR"], q.Params["SERVER_PORT"]))
	if err != nil {
		return r.listen
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

// returnAnswer is the answer of a location that has one of its own.
func returnAnswer(l *routeconfig.Location) *gateway.Response {
	a := &gateway.Response{Status: l.ReturnStatus}
	if l.ReturnStatus >= 300 && l.ReturnStatus < 400 && l.ReturnText != "" {
		a.Headers = []gateway.Field{{Name: "Location", Value: l.ReturnText}}
	} else if l.ReturnText != "" {
		a.Headers, a.Body = []gateway.Field{{Name: "Content-Type", Value: "text/plain"}}, []byte(l.ReturnText)
	}
	return a
}

// routedRequest is what is known of the route of a try.
type routedRequest struct {
	request        gateway.Request
	server         *route.Server
	location       *routeconfig.Location
	requestedPath  string // path as it was asked for
	path           string // normalised, behind rewrites
	query          string // likewise
	isRewritten    bool
	isFallback     bool // a fallback took over
	fallbackStatus int  // the status that it gives the answer; 0 is its own
}

// routeOfAttempt is the route of a try of this server.
func routeOfAttempt(t *attempt) *routedRequest {
	rt, ok := t.routed.(*routedRequest)
	if !ok {
		return &routedRequest{location: &routeconfig.Location{}} // no such try is made: it goes to no pool
	}
	return rt
}

// parseRequest turns a request into a try. Gateways may send the platform's fields; none has to be there.
func (r *router) parseAttempt(q gateway.Request, l *routeconfig.Location, now time.Duration) (*attempt, admission.Request, error) {
	f := &fieldReader{values: q.Headers}
	c := r.classes[l.Class]
	r.lastRequest++
	t := &attempt{requestID: fmt.Sprintf("%016x", r.lastRequest), class: c.other, atMostOnce: c.atMostOnce, body: q.Body}
	if !c.atMostOnce || !c.hasKey && slices.Contains(safeMethods, q.Method) {
		t.class, t.atMostOnce = c.safe, c.atMostOnce && c.safe == c.other
	}
	unix := r.server.loop.Now().Round(0)
	t.receivedAt = unix
	if q.Headers["received-at"] != "" {
		t.receivedAt = time.UnixMilli(int64(f.number("Received-At", 1, 1e15)))
		if lain := unix.Sub(t.receivedAt); lain > maxQueueingDelay || lain < -maxClockSkew {
			f.reject("Received-At", q.Headers["received-at"])
		}
	}
	mq := admission.Request{Class: t.class, IsRetry: q.Headers["attempt-again"] == "1",
		Caller: int(f.number("Sent-By", 0, maxSender, 0)), SizeKB: 1 + float64(len(q.Body))/1024}
	if c.hasKey {
		t.hasKey, t.key = true, idempotencyKey{t.class, f.required("Once-Key")}
		t.bodyHash = r.server.hashBody(q.Body)
	}
	if f.err != nil {
		return nil, mq, f.err
	}
	mq.QueueingDelay = max(unix.Sub(t.receivedAt), 0)
	t.arrivedAt = now - mq.QueueingDelay
	return t, mq, nil
}

// Submit implements worker.
func (r *router) Submit(t *attempt) {
	rt := routeOfAttempt(t)
	r.Forwarder.Submit(forward.Request{ID: t.requestID, Pool: rt.location.Pool, HashKey: r.hashKey(rt), NonIdempotent: t.atMostOnce, Params: r.memberParams(rt),
		Body: rt.request.Body})
}

// hashKey is what a pool's hash goes by.
func (r *router) hashKey(rt *routedRequest) []byte {
	p, q := r.pools[rt.location.Pool], &rt.request
	if p == nil {
		return nil
	}
	client := func() []byte {
		if a, err := netip.ParseAddr(q.Params["REMOTE_ADDR"]); err == nil {
			return a.Unmap().AsSlice()
		}
		return []byte{127, 0, 0, 1}
	}
	if p.BalancingPolicy == pool.IPHash {
		return client()
	}
	switch name, header, _ := strings.Cut(p.HashKey, ":"); name {
	case "uri":
		uri := rt.requestedPath
		if q.Query != "" {
			uri += "?" + q.Query
		}
		return []byte(uri)
	case "path":
		return []byte(rt.path)
	case "query":
		return []byte(rt.query)
	case "host":
		return []byte(q.Headers["host"])
	case "client":
		return client()
	case "header":
		return []byte(q.Headers[strings.ToLower(header)])
	}
	return nil
}

// memberParams are the parameters that a member gets: those of the gateway, and those of the location in their place.
func (r *router) memberParams(rt *routedRequest) []gateway.Field {
	list := make([]gateway.Field, 0, len(rt.request.Params)+len(rt.location.Params))
	own := map[string]bool{}
	for _, p := range rt.location.Params {
		own[p.Name] = true
		list = append(list, gateway.Field{Name: p.Name, Value: p.Value})
	}
	for _, name := range slices.Sorted(maps.Keys(rt.request.Params)) {
		value := rt.request.Params[name]
		if rt.isRewritten { // REQUEST_URI stays what was asked for
			switch name {
			case "SCRIPT_NAME", "DOCUMENT_URI":
				value = rt.path
			case "QUERY_STRING":
				value = rt.query
			}
		}
		if !own[name] {
			list = append(list, gateway.Field{Name: name, Value: value})
		}
	}
	return list
}

// Ended implements forward.Handler.
func (r *router) RequestFinished(id string, e forward.Outcome, a gateway.Response) {
	t := r.server.byRequestID[id]
	if t == nil || t.routed == nil {
		return // nobody waits for it
	}
	if r.runFallback(t, e, a.Status) {
		return
	}
	switch e {
	case forward.Responded:
		a.Status = routeOfAttempt(t).finalStatus(a.Status)
		r.finish(t, e, a)
	case forward.ResponseLost:
		r.server.finishRun(id, interpreter.OutcomeError, gateway.Response{})
	default:
		r.server.finishRun(id, interpreter.OutcomeRejected, gateway.Response{})
	}
}

// runFallback passes a request on to the location that takes over for how it ended. One that must not run twice and may have
// run goes to no second pool.
func (r *router) runFallback(t *attempt, e forward.Outcome, status int) bool {
	rt := routeOfAttempt(t)
	before := *rt
	if e == forward.Responded && !rt.location.InterceptErrors || !rt.takeFallback(status) {
		return false
	}
	l := rt.location
	switch {
	case l.Pool != "" && t.atMostOnce && e != forward.NotStarted:
		*rt = before
		return false
	case l.Pool != "":
		r.Submit(t)
	case l.ReturnStatus != 0:
		a := *returnAnswer(l)
		a.Status = rt.finalStatus(a.Status)
		r.finish(t, e, a)
	default:
		r.finish(t, e, gateway.Response{Status: rt.finalStatus(404)})
	}
	return true
}

// remove ends a request with an answer. Gateways read 429 and 503 as the word that nothing ran and send the request again.
// That a member says them proves no such thing, so what must not run twice has failed.
func (r *router) finish(t *attempt, e forward.Outcome, a gateway.Response) {
	switch {
	case e == forward.NotStarted:
		r.server.keys.unclaim(t) // nothing ran: the key is free
	case t.atMostOnce && (a.Status == 429 || a.Status == 503):
		a.Status = 502
	}
	r.server.finishRun(t.requestID, interpreter.OutcomeOK, a)
}

// Changed implements forward.Handler.
func (r *router) MemberChanged(pool string, c pool.StateChange) {
	r.server.log.Info("member", zap.String("pool", pool), zap.String("member", c.Addr), zap.String("state", c.State),
		zap.String("cause", c.Cause))
}

// Ready implements worker.
func (r *router) Ready() bool { return true }

// utilizationWindow is the time over which the gauge of the pools averages.
const utilizationWindow = 500 * time.Millisecond

// QueryGauges implements worker: what is at members stands for what wants a core.
func (r *router) QueryGauges(_ time.Time, then func([]float64, bool)) {
	now := r.server.clock.now
	part := min(float64(now-r.sampledAt)/float64(utilizationWindow), 1)
	r.sampledAt = now
	r.utilization += (min(1, float64(r.OpenRuns())/float64(r.routes.Capacity)) - r.utilization) * part
	then([]float64{r.utilization, float64(r.OpenRuns())}, true)
}

// CheckHealth implements worker.
func (r *router) CheckHealth(_ time.Time, then func(bool)) { then(len(r.routes.Pools) > 0) }

// Counters implements worker.
func (r *router) Counters() []reading {
	c := &r.Stats
	list := []reading{{"member_tries", c.Attempts}, {"member_retries", c.Retries}, {"member_refused", c.Rejected},
		{"member_timeouts", c.Timeouts}, {"member_errors", c.Errors}, {"member_invalid", c.InvalidResponses}, {"dials", c.Dials},
		{"reused_connections", c.ReusedConns}}
	for v, n := range c.RetryDecisions {
		list = append(list, reading{"verdict_" + strconv.Itoa(v), n})
	}
	return list
}
