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
	Name        string
	Listen      netip.AddrPort
	Stop        time.Duration // from SIGTERM to SIGKILL
	MemoryMB    int
	Sockets     int
	Description *routeconfig.Description
	Seed        uint64 // of random choices
	Operator    *config.Operator
}

// The figures of a server that routes, where the description says none.
const (
	routeGrace = 300 * time.Millisecond
	routeIdle  = time.Minute
	// routeMemory is the part of the memory that requests may take which are held or at members.
	routeMemory = 4
	routeBody   = 1 << 20
)

// router is the worker and the intake of a server that routes.
type router struct {
	*forward.Link
	server  *Server
	table   *route.Table
	desc    *routeconfig.Description
	pools   map[string]*routeconfig.Pool // of desc, by name
	at      netip.AddrPort
	classes map[string]routedClass
	random  *rand.Rand
	number  uint64 // of the requests so far
	busy    float64
	looked  time.Duration
}

// routedClass is where a class of the description is among the module's.
type routedClass struct {
	safe, other int // by the request's method; the same where the method does not count
	keyed       bool
	once        bool // of the other one
}

// NewRouter returns a server that routes to pools in place of an interpreter.
func NewRouter(cfg *RouterConfig, log *zap.Logger) (*Server, error) {
	if err := forwardable(cfg.Description); err != nil {
		return nil, err
	}
	told, classes := routeSettings(cfg)
	base := &Config{Name: cfg.Name, Listen: cfg.Listen, Stop: cfg.Stop, Settings: told}
	if cfg.Operator != nil {
		base.Capture = cfg.Operator.Capture
	}
	base.Limits.Cores, base.Limits.MemoryMB, base.Limits.Sockets = 1, cfg.MemoryMB, cfg.Sockets
	s, err := open(eventloop.Kernel{}, base, log, fastcgi.Limits{Requests: maxOpen, Params: maxParams, Body: routeBody,
		Memory: cfg.MemoryMB << 20 / requestPart, Raw: true})
	if err != nil {
		return nil, err
	}
	r := &router{server: s, at: cfg.Listen, classes: classes, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
	s.intake = r.intake
	s.begin = func() worker {
		r.Link = forward.New(s.loop, r)
		if err := r.update(cfg.Description); err != nil {
			s.log.Error("routes", zap.Error(err)) // the description was checked
		}
		s.loop.Post(func() { s.Up(false, 0) })
		return r
	}
	return s, nil
}

// Reroute goes on with another description; any goroutine may call it. Requests that are open go on where they are.
func (s *Server) Reroute(d *routeconfig.Description) {
	s.loop.Post(func() {
		r, ok := s.link.(*router)
		if !ok {
			return
		}
		if err := r.update(d); err != nil {
			s.log.Error("configuration not reloaded", zap.Error(err))
			return
		}
		s.count.reloads++
		s.log.Info("routes reloaded", zap.Int("pools", len(d.Pools)), zap.Int("servers", len(d.Servers)))
		s.remark("routes reloaded")
	})
}

// errClasses says that classes can't be changed while a server runs: the module was told them at its start.
var errClasses = errors.New("classes and capacity need a restart")

// update takes over a description.
func (r *router) update(d *routeconfig.Description) error {
	if r.desc != nil && (!slices.EqualFunc(r.desc.Classes, d.Classes, sameClass) || r.desc.Capacity != d.Capacity) {
		return errClasses
	}
	if err := forwardable(d); err != nil {
		return err
	}
	table, err := d.Table()
	if err != nil {
		return err
	}
	err = r.Update(d.Pools, func() *rand.Rand { return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())) })
	if err != nil {
		return err
	}
	r.table, r.desc, r.pools = table, d, make(map[string]*routeconfig.Pool, len(d.Pools))
	for i := range d.Pools {
		r.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	return nil
}

// forwardable tells what of a description can be read and not be served.
func forwardable(d *routeconfig.Description) error {
	if len(d.Servers) == 0 || len(d.Classes) == 0 {
		return errors.New("routes: a description without (server ...) or (class ...)")
	}
	return nil
}

// sameClass compares all but the place.
func sameClass(a, b routeconfig.Class) bool {
	a.At = b.At
	return a == b
}

// routeSettings is what the module is told: the capacity of the pools takes the place of the interpreter's cores.
func routeSettings(cfg *RouterConfig) (*settings.Told, map[string]routedClass) {
	d := cfg.Description
	told := &settings.Told{Gauges: []string{"cpu_busy", "runnable"}}
	told.Module = admission.Settings{Servers: 1, Callers: 1, Cores: d.Capacity, Apart: true, Tick: 5 * time.Millisecond,
		MemoryKB: float64(cfg.MemoryMB<<10) / routeMemory, KeyKB: 1, RunFactor: 2, CrowdFactor: 2, DrainGrace: routeGrace,
		StopMode: admission.StopDrop, RetryAfter: time.Second, CallerIdle: routeIdle}
	classes := map[string]routedClass{}
	add := func(c routeconfig.Class, name string, e admission.Effect) int {
		told.Classes = append(told.Classes, name)
		told.Module.Classes = append(told.Module.Classes, admission.Class{Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth,
			LateWorth: 0.5, Effect: e, Window: c.Window})
		return len(told.Classes) - 1
	}
	for _, c := range d.Classes {
		var rc routedClass
		switch c.Effect {
		case routeconfig.Safe:
			rc.safe = add(c, c.Name, admission.Safe)
			rc.other = rc.safe
		case routeconfig.ByMethod:
			rc.safe = add(c, c.Name+" (reads)", admission.Safe)
			rc.other, rc.once = add(c, c.Name+" (writes)", admission.Unsafe), true
		case routeconfig.Keyed:
			rc.safe = add(c, c.Name, admission.Keyed)
			rc.other, rc.once, rc.keyed = rc.safe, true, true
		default:
			rc.safe = add(c, c.Name, admission.Unsafe)
			rc.other, rc.once = rc.safe, true
		}
		classes[c.Name] = rc
	}
	return told, classes
}

// safeMethods are those that change nothing (RFC 9110, section 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// intake finds a request's route. Where that does not lead to a pool the answer is returned.
func (r *router) intake(q gateway.Request, now time.Duration) (*try, admission.Request, *gateway.Answer, error) {
	server, _ := r.table.Server(r.reached(q), q.Fields["host"])
	if server == nil {
		return nil, admission.Request{}, &gateway.Answer{Status: 404}, nil
	}
	raw := q.Path
	if q.URI != "" {
		raw = q.URI // SCRIPT_NAME may have been changed on its way
	}
	m, err := server.Resolve(raw, q.Query)
	if err != nil {
		return nil, admission.Request{}, &gateway.Answer{Status: statusInvalid}, nil
	}
	if m.Redirect {
		m.Status, m.To = 301, m.Path+"/"
		if m.Query != "" {
			m.To += "?" + m.Query
		}
	}
	switch {
	case m.To != "":
		return nil, admission.Request{}, &gateway.Answer{Status: m.Status, Fields: []gateway.Field{{Name: "Location", Value: m.To}}}, nil
	case m.Status != 0:
		return nil, admission.Request{}, &gateway.Answer{Status: m.Status}, nil
	case m.Location == nil:
		return nil, admission.Request{}, &gateway.Answer{Status: 404}, nil
	}
	rt := &routed{request: q, server: server, location: m.Location.Value.(*routeconfig.Location), asked: raw, path: m.Path,
		query: m.Query, rewritten: m.Rewritten}
	if a := rt.direct(m.Settled); a != nil {
		return nil, admission.Request{}, a, nil
	}
	t, mq, err := r.read(q, rt.location, now)
	if t != nil {
		t.routed = rt
	}
	return t, mq, nil, err
}

// direct is the answer of a route that leads to no pool, or nil. A status without a text of its own may lead on to a
// fallback, which then is the route.
func (rt *routed) direct(settled bool) *gateway.Answer {
	l := rt.location
	if l.Pool != "" && (l.Status == 0 || settled) {
		return nil
	}
	a := &gateway.Answer{Status: 404}
	if l.Status != 0 && !settled {
		if a = returned(l); l.Text != "" {
			return a
		}
	}
	if !rt.fall(a.Status) {
		return a
	}
	if rt.location.Pool != "" {
		return nil
	}
	b := *a
	if rt.location.Status != 0 {
		b = *returned(rt.location)
	}
	b.Status = rt.status(b.Status)
	return &b
}

// fall makes the fallback for a status the route, where there is one. There is one fall in a request: what a fallback
// ends with is its end, as in nginx.
func (rt *routed) fall(status int) bool {
	if rt.fell {
		return false
	}
	for _, f := range rt.location.Fallbacks {
		if !slices.Contains(f.On, status) {
			continue
		}
		named := rt.server.Named(f.Name)
		if named == nil {
			return false // the description was checked
		}
		rt.location, rt.fell, rt.as = named.Value.(*routeconfig.Location), true, f.As
		if f.As == routeconfig.Same {
			rt.as = status
		}
		return true
	}
	return false
}

// status is the status of the answer in the end, where the route's end has this one.
func (rt *routed) status(own int) int {
	if rt.as != 0 {
		return rt.as
	}
	return own
}

// reached is the address at which the gateway's caller reached it, where the gateway tells, and else that of this
// server.
func (r *router) reached(q gateway.Request) netip.AddrPort {
	at, err := netip.ParseAddrPort(net.JoinHostPort(q.Params["SERVER_ADDR"], q.Params["SERVER_PORT"]))
	if err != nil {
		return r.at
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

// returned is the answer of a location that has one of its own.
func returned(l *routeconfig.Location) *gateway.Answer {
	a := &gateway.Answer{Status: l.Status}
	if l.Status >= 300 && l.Status < 400 && l.Text != "" {
		a.Fields = []gateway.Field{{Name: "Location", Value: l.Text}}
	} else if l.Text != "" {
		a.Fields, a.Body = []gateway.Field{{Name: "Content-Type", Value: "text/plain"}}, []byte(l.Text)
	}
	return a
}

// routed is what is known of the route of a try.
type routed struct {
	request   gateway.Request
	server    *route.Server
	location  *routeconfig.Location
	asked     string // path as it was asked for
	path      string // normalised, behind rewrites
	query     string // likewise
	rewritten bool
	fell      bool // a fallback took over
	as        int  // the status that it gives the answer; 0 is its own
}

// routeOf is the route of a try of this server.
func routeOf(t *try) *routed {
	rt, ok := t.routed.(*routed)
	if !ok {
		return &routed{location: &routeconfig.Location{}} // no such try is made: it goes to no pool
	}
	return rt
}

// read turns a request into a try. Gateways may send the platform's fields; none has to be there.
func (r *router) read(q gateway.Request, l *routeconfig.Location, now time.Duration) (*try, admission.Request, error) {
	f := &fields{of: q.Fields}
	c := r.classes[l.Class]
	r.number++
	t := &try{wire: fmt.Sprintf("%016x", r.number), class: c.other, once: c.once, body: q.Body}
	if !c.once || !c.keyed && slices.Contains(safeMethods, q.Method) {
		t.class, t.once = c.safe, c.once && c.safe == c.other
	}
	unix := r.server.loop.Now().Round(0)
	t.stamp = unix
	if q.Fields["received-at"] != "" {
		t.stamp = time.UnixMilli(int64(f.number("Received-At", 1, 1e15)))
		if lain := unix.Sub(t.stamp); lain > maxUnread || lain < -maxAhead {
			f.fail("Received-At", q.Fields["received-at"])
		}
	}
	mq := admission.Request{Class: t.class, Retry: q.Fields["attempt-again"] == "1",
		Caller: int(f.number("Sent-By", 0, maxSender, 0)), SizeKB: 1 + float64(len(q.Body))/1024}
	if c.keyed {
		t.keyed, t.key = true, keyID{t.class, f.text("Once-Key")}
		t.sum = r.server.sum(q.Body)
	}
	if f.err != nil {
		return nil, mq, f.err
	}
	mq.Waited = max(unix.Sub(t.stamp), 0)
	t.arrived = now - mq.Waited
	return t, mq, nil
}

// Apply implements worker.
func (r *router) Apply(t *try) {
	rt := routeOf(t)
	r.Link.Apply(forward.Job{ID: t.wire, Pool: rt.location.Pool, Key: r.key(rt), Once: t.once, Params: r.params(rt),
		Body: rt.request.Body})
}

// key is what a pool's hash goes by.
func (r *router) key(rt *routed) []byte {
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
	if p.Method == pool.IPHash {
		return client()
	}
	switch name, header, _ := strings.Cut(p.HashKey, ":"); name {
	case "uri":
		uri := rt.asked
		if q.Query != "" {
			uri += "?" + q.Query
		}
		return []byte(uri)
	case "path":
		return []byte(rt.path)
	case "query":
		return []byte(rt.query)
	case "host":
		return []byte(q.Fields["host"])
	case "client":
		return client()
	case "header":
		return []byte(q.Fields[strings.ToLower(header)])
	}
	return nil
}

// params are the parameters that a member gets: those of the gateway, and those of the location in their place.
func (r *router) params(rt *routed) []gateway.Field {
	list := make([]gateway.Field, 0, len(rt.request.Params)+len(rt.location.Params))
	own := map[string]bool{}
	for _, p := range rt.location.Params {
		own[p.Name] = true
		list = append(list, gateway.Field{Name: p.Name, Value: p.Value})
	}
	for _, name := range slices.Sorted(maps.Keys(rt.request.Params)) {
		value := rt.request.Params[name]
		if rt.rewritten { // REQUEST_URI stays what was asked for
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
func (r *router) Ended(id string, e forward.End, a gateway.Answer) {
	t := r.server.byWire[id]
	if t == nil || t.routed == nil {
		return // nobody waits for it
	}
	if r.fallback(t, e, a.Status) {
		return
	}
	switch e {
	case forward.Answered:
		a.Status = routeOf(t).status(a.Status)
		r.end(t, e, a)
	case forward.Lost:
		r.server.ran(id, interpreter.EndError, gateway.Answer{})
	default:
		r.server.ran(id, interpreter.EndRejected, gateway.Answer{})
	}
}

// fallback passes a request on to the location that takes over for how it ended. One that must not run twice and may have
// run goes to no second pool.
func (r *router) fallback(t *try, e forward.End, status int) bool {
	rt := routeOf(t)
	before := *rt
	if e == forward.Answered && !rt.location.Intercept || !rt.fall(status) {
		return false
	}
	l := rt.location
	switch {
	case l.Pool != "" && t.once && e != forward.Unrun:
		*rt = before
		return false
	case l.Pool != "":
		r.Apply(t)
	case l.Status != 0:
		a := *returned(l)
		a.Status = rt.status(a.Status)
		r.end(t, e, a)
	default:
		r.end(t, e, gateway.Answer{Status: rt.status(404)})
	}
	return true
}

// end ends a request with an answer. Gateways read 429 and 503 as the word that nothing ran and send the request again.
// That a member says them proves no such thing, so what must not run twice has failed.
func (r *router) end(t *try, e forward.End, a gateway.Answer) {
	switch {
	case e == forward.Unrun:
		r.server.keys.disclaim(t) // nothing ran: the key is free
	case t.once && (a.Status == 429 || a.Status == 503):
		a.Status = 502
	}
	r.server.ran(t.wire, interpreter.EndOK, a)
}

// Changed implements forward.Handler.
func (r *router) Changed(pool string, c pool.Change) {
	r.server.log.Info("member", zap.String("pool", pool), zap.String("member", c.Addr), zap.String("state", c.What),
		zap.String("cause", c.Cause))
}

// Ready implements worker.
func (r *router) Ready() bool { return true }

// busyOver is the time over which the gauge of the pools averages.
const busyOver = 500 * time.Millisecond

// Top implements worker: what is at members stands for what wants a core.
func (r *router) Top(_ time.Time, then func([]float64, bool)) {
	now := r.server.clock.now
	part := min(float64(now-r.looked)/float64(busyOver), 1)
	r.looked = now
	r.busy += (min(1, float64(r.Runs())/float64(r.desc.Capacity)) - r.busy) * part
	then([]float64{r.busy, float64(r.Runs())}, true)
}

// Smoke implements worker.
func (r *router) Smoke(_ time.Time, then func(bool)) { then(len(r.desc.Pools) > 0) }

// Counters implements worker.
func (r *router) Counters() []reading {
	c := &r.Count
	list := []reading{{"member_tries", c.Tries}, {"member_retries", c.Retries}, {"member_refused", c.Refused},
		{"member_timeouts", c.Timeouts}, {"member_errors", c.Errors}, {"member_invalid", c.Invalid}, {"dials", c.Dials},
		{"reused_connections", c.Reused}}
	for v, n := range c.Verdicts {
		list = append(list, reading{"verdict_" + strconv.Itoa(v), n})
	}
	return list
}
