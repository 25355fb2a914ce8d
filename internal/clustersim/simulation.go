package clustersim

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/arrival"
)

// PolicyFactory makes what a server decides by: admission.New, or one to compare it with.
type PolicyFactory func(s admission.Settings, a admission.Actions) (admission.Events, error)

// AdmissionModule is the real decision module.
func AdmissionModule(s admission.Settings, a admission.Actions) (admission.Events, error) {
	return admission.New(s, a)
}

// kind is how a try ended.
type kind uint8

const (
	served kind = iota
	refused
	failed
	broken      // its server died
	unreachable // its server took no connection: nothing ran
	lateAnswer  // no answer came in the time that the gateway waits
	kinds
)

// kindWords say the kinds.
var kindWords = [kinds]string{"served", "refused", "failed", "connection lost", "not reached", "no answer in time"}

// sim is a run under way.
type sim struct {
	world    Config
	seed     uint64
	policy   PolicyFactory
	now      time.Duration
	queue    queue
	servers  []*server
	gateways []*gateway
	clients  *clients
	arrivals arrival.Process
	observer *observer
	result   *Result
	touched  []*server
	readWork float64
	tries    uint64
	err      error

	network *rand.Rand
	faults  *rand.Rand
	listed  []bool // as gateways know it
	frozen  int    // incidents under which the list stands still
	pending []listing
}

// listing is a change of the list that gateways have not heard of.
type listing struct {
	server int
	listed bool
}

// The events of a run itself.
const (
	firstTry uint8 = iota
	listChanges
	incidentBegins
	incidentEnds
	incidentStep
)

// Run plays a world to its end. The same world, policy and seed give the same result. The error is for a world that
// makes no sense, a policy that can't serve it, or the context's end.
func Run(ctx context.Context, w Config, p PolicyFactory, seed uint64) (*Result, error) {
	if err := w.Validate(); err != nil {
		return nil, err
	}
	s := &sim{world: w, seed: seed, policy: p, observer: newObserver(&w), network: stream(seed, "network", 0), faults: stream(seed, "faults", 0),
		readWork: w.Servers.ReadCost * w.meanWork()}
	s.result = newResult(&s.world, seed)
	arrivals := w.Arrival
	for _, i := range w.Incidents {
		if i.Kind == RateJump {
			arrivals.Surges = append(slices.Clone(arrivals.Surges), arrival.Surge{Start: i.Start, Duration: i.Duration, Factor: i.Magnitude, RampUp: i.RampTime, RampDown: i.RampTime})
		}
	}
	var err error
	if s.arrivals, err = arrival.New(arrivals, stream(seed, "arrivals", 0)); err != nil {
		return nil, err
	}
	s.populate()
	for n := uint64(0); s.err == nil; n++ {
		if n%8192 == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !s.step() {
			break
		}
	}
	if s.err != nil {
		return nil, s.err
	}
	s.finish()
	return s.result, nil
}

// fail ends the run.
func (s *sim) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// populate makes servers and gateways, and what is known to come.
func (s *sim) populate() {
	speeds := stream(s.seed, "speeds", 0)
	n := s.world.Servers.Count
	s.listed = make([]bool, n)
	for i := range n {
		speed := s.world.Servers.Speed * (1 + s.world.Servers.SpeedCV*min(max(speeds.NormFloat64(), -2.5), 2.5))
		s.servers = append(s.servers, &server{sim: s, n: i, full: max(speed, s.world.Servers.Speed/10)})
	}
	for _, srv := range s.servers {
		srv.begin(false)
		s.listed[srv.n] = true // they stood there before
	}
	s.pending = nil
	for k := range s.world.Gateways {
		for range s.world.Gateways[k].Count {
			s.gateways = append(s.gateways, newGateway(s, len(s.gateways), &s.world.Gateways[k]))
		}
	}
	s.clients = newClients(s)
	for i := range s.world.Incidents {
		incident := &s.world.Incidents[i]
		s.queue.set(incident.Start, s, incidentBegins, newTrouble(s, i, incident))
	}
	s.settleAll()
	s.nextFirst()
}

// nextFirst has the next first try come.
func (s *sim) nextFirst() {
	if at, ok := s.arrivals.Next(); ok && at < s.world.Duration {
		s.queue.set(at, s, firstTry, nil)
	}
}

// step has the next event happen; it returns false at the end of the run.
func (s *sim) step() bool {
	e := s.queue.next()
	if e == nil {
		return false
	}
	if e.at > s.world.Duration && s.observer.open == 0 && s.result.open == 0 {
		return false // all that came has its end: only the modules' own timers are left
	}
	s.now = e.at
	s.result.Events++
	e.to.handle(e)
	if e.what != coresDue || !isServer(e.to) {
		s.queue.recycle(e)
	}
	if len(s.touched) > 0 && (len(s.queue.heap) == 0 || s.queue.heap[0].at > s.now) {
		s.settleAll()
	}
	return true
}

func isServer(h handler) bool { _, ok := h.(*server); return ok }

// copyOf is an event that outlasts its handling.
func (s *sim) copyOf(e *event) *event {
	c := *e
	return &c
}

// settleAll has the servers that something happened to settle, in the order in which it did.
func (s *sim) settleAll() {
	for i := 0; i < len(s.touched); i++ {
		s.touched[i].settle()
	}
	s.touched = s.touched[:0]
}

// handle implements handler.
func (s *sim) handle(e *event) {
	switch e.what {
	case firstTry:
		r := s.clients.next()
		s.result.asked(r)
		r.gateway.first(r)
		s.nextFirst()
	case listChanges:
		l := e.ref.(listing)
		if s.frozen > 0 {
			s.pending = append(s.pending, l)
		} else {
			s.listed[l.server] = l.listed
		}
	case incidentBegins:
		e.ref.(*trouble).begin()
	case incidentEnds:
		e.ref.(*trouble).end()
	case incidentStep:
		e.ref.(*trouble).step()
	}
}

// list has gateways learn of a server that came or went, when the list reaches them.
func (s *sim) list(srv *server, listed bool) {
	s.queue.set(s.now+s.world.EndpointListDelay, s, listChanges, listing{srv.n, listed})
}

// thaw lets gateways learn what happened while the list stood still.
func (s *sim) thaw() {
	if s.frozen--; s.frozen > 0 {
		return
	}
	for _, l := range s.pending {
		s.listed[l.server] = l.listed
	}
	s.pending = nil
}

// way is how long a message takes through the network: half of the mean at least, and the rest by chance.
func (s *sim) way() time.Duration {
	d := float64(s.world.NetworkDelay)
	return time.Duration(d/2 + s.network.ExpFloat64()*d/2)
}

// answer sends what became of a try to its gateway.
func (s *sim) answer(v *visit, k kind, stayAway time.Duration, last bool) {
	s.observer.answered(v.n, k, s.now)
	s.queue.set(s.now+s.way(), v.req.gateway, hears, &answer{visit: v, kind: k, stayAway: stayAway, last: last, value: v.server.value, told: v.server.told})
}

// drawServers draws a part of the fleet, in the order of their numbers.
func (s *sim) drawServers(rng *rand.Rand, part float64, among func(*server) bool) []*server {
	var list []*server
	for _, srv := range s.servers {
		if among == nil || among(srv) {
			list = append(list, srv)
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(int(part*float64(len(s.servers))+0.5), len(list))]
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.n, b.n) })
	return list
}

// finish puts the result together.
func (s *sim) finish() {
	for _, srv := range s.servers {
		if srv.up {
			srv.advance()
			s.result.WorkDone += srv.cores.worked
		}
	}
	s.result.finish(s)
}
