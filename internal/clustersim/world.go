package clustersim

import (
	"fmt"
	"math"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/arrival"
)

// World is all that a run is made of but its policy and its seed.
type World struct {
	Name    string
	For     time.Duration `json:"For"` // in which first tries come; what is open then is played to its end
	Servers Servers
	Classes []Class
	Tenants []Tenant
	Callers []Gateway `json:"Callers"` // each kind of gateway
	Arrival arrival.Config

	Subjects int     `json:"Subjects"` // distinct ones
	Skew     float64 // of their popularity: the exponent of a Zipf distribution, over 1; 0 is none

	Delay     time.Duration `json:"Delay"`     // mean of a message's way through the network
	ListDelay time.Duration `json:"ListDelay"` // how late gateways learn of the list of servers
	Incidents []Incident

	Reasons bool `json:"Reasons"` // tell why the module refuses on arrival, which takes about as long again as the run
}

// Servers is the fleet.
type Servers struct {
	N           int `json:"N"`
	Listed      int `json:"Listed"` // servers that a module is told of at its start; 0 is N
	Cores       int
	Speed       float64       // mean speed of a core: work done in a second
	SpeedCV     float64       // how servers differ in it
	Thrash      float64       `json:"Thrash"`   // how much less the cores get done for each run a core over ThrashAt
	ThrashAt    float64       `json:"ThrashAt"` //
	Read        float64       `json:"Read"`     // work of reading a request, over the mean work of all requests
	MemoryKB    float64       // of held and running requests and keys
	KeyKB       float64       // of a key
	HoldKB      [2]float64    `json:"HoldKB"`      // of a held request, least and most
	RunFactor   float64       `json:"RunFactor"`   // of a running one over that
	ColdShare   float64       `json:"ColdShare"`   // speed of a fresh server over its full speed
	ColdFor     time.Duration `json:"ColdFor"`     // until it is warm
	CrowdFactor float64       `json:"CrowdFactor"` // running requests a core that a warm server survives
	CrowdOver   time.Duration `json:"CrowdOver"`   // in the mean of this time
	DrainGrace  time.Duration `json:"DrainGrace"`
	Stop        time.Duration `json:"Stop"`    // from the notice to leave to the end
	Restart     time.Duration `json:"Restart"` // of a server that fell over
	Unread      int           `json:"Unread"`  // requests a core that may lie unread; more get no connection
	Tick        time.Duration
	Heeded      time.Duration `json:"Heeded"`     // for which a gateway goes by a level that it was told
	RetryAfter  time.Duration `json:"RetryAfter"` // longest advice that is honoured; 0 is none
	Slack       time.Duration `json:"Slack"`      // how late an answer may be
	CheckEvery  time.Duration `json:"CheckEvery"` // health checks by gateways that go by them
	CallerIdle  time.Duration `json:"CallerIdle"`
	OverWorth   float64       `json:"OverWorth"` // of a request beyond its tenant's share
	Feedback    Feedback
	NoStop      bool `json:"NoStop"`     // running work can't be stopped
	NoRunnable  bool `json:"NoRunnable"` // the gauge of what wants a core at this moment is not told
}

// Feedback is how gateways read the value that servers tell them. The zero value is Level.
type Feedback string

// The kinds of feedback.
const (
	Level       Feedback = "level"  // requests ranked below the value stay away
	Credit      Feedback = "credit" // most requests that a gateway may have open at the server
	Probability Feedback = "weight" // probability with which a gateway considers the server
	Silent      Feedback = "none"   // no value is told
)

// module is the feedback as the module's settings name it.
func (f Feedback) module() (admission.Feedback, bool) {
	switch f {
	case "", Level:
		return admission.FeedbackLevel, true
	case Credit:
		return admission.FeedbackCredit, true
	case Probability:
		return admission.FeedbackWeight, true
	case Silent:
		return admission.FeedbackNone, true
	}
	return admission.FeedbackNone, false
}

// Dist is a distribution of the work of requests.
type Dist string

// The distributions.
const (
	Constant    Dist = "constant"
	Exponential Dist = "exponential"
	LogNormal   Dist = "lognormal"
	Pareto      Dist = "pareto" // of a tail so heavy that no mean describes it; CV is its exponent then
)

// Class is a kind of request.
type Class struct {
	Name      string
	Share     float64
	Work      time.Duration `json:"Work"` // mean, on a core of speed 1
	Dist      Dist          `json:"Dist"`
	CV        float64
	Aim       time.Duration `json:"Aim"`
	Deadline  time.Duration
	Worth     float64       `json:"Worth"`
	LateWorth float64       `json:"LateWorth"`
	Keyed     bool          `json:"Keyed"`
	Unsafe    bool          `json:"Unsafe"` // it must run once only, and its repeats can't be told
	Window    time.Duration `json:"Window"`
}

// once tells whether a request of the class must not run a second time.
func (c *Class) once() bool { return c.Keyed || c.Unsafe }

// Tenant is one who shares the fleet.
type Tenant struct {
	Name  string
	Share float64 // of the requests
	Quota float64 // requests a second that count in full, over the fleet; 0 is any number
}

// Choice is how a gateway chooses a server.
type Choice string

// The choices.
const (
	Round   Choice = "round"   // in turn
	Least   Choice = "least"   // with the fewest open requests of this gateway
	Two     Choice = "two"     // the one with fewer of two drawn
	Hash    Choice = "hash"    // by the subject
	Fastest Choice = "fastest" // by the latency seen
	Weight  Choice = "weight"  // drawn by the level that servers tell
	Random  Choice = "random"
)

// Again is how a gateway tries again.
type Again string

// The ways to try again.
const (
	Never     Again = "never"
	Unbounded Again = "unbounded" // at once, elsewhere, as often as Tries allows
	Budgeted  Again = "budgeted"  // likewise, for a part of the requests
	Hasty     Again = "hasty"     // likewise, and it waits for an answer for a part of the aim only
	Copies    Again = "copies"    // a second copy of a safe request that is slow
	Patient   Again = "patient"   // at the time that the server advised, with as much again drawn on top
)

// Gateway is a kind of gateway and its habits.
type Gateway struct {
	N       int     `json:"N"`
	Share   float64 // of the requests, of all of this kind together
	Choice  Choice  `json:"Choice"`
	Again   Again   `json:"Again"`
	Tries   int     `json:"Tries"`   // of one request
	Budget  float64 `json:"Budget"`  // Budgeted: further tries for each first one
	Wait    float64 `json:"Wait"`    // Hasty, Copies: part of the aim after which it tries again
	Heeds   bool    `json:"Heeds"`   // it does as servers tell: levels, times to stay away, the wish that no other be tried
	Subset  int     `json:"Subset"`  // servers that it keeps to; 0 is all
	Checked bool    `json:"Checked"` // it goes by health checks
	Endless bool    `json:"Endless"` // its clients wait however long it takes
	Repeats float64 `json:"Repeats"` // part of the served keyed requests that come again within 2 s
}

// Defaults are the middle of the operators' brief, at the size of the fleet that they run.
func Defaults() World {
	w := World{Name: "brief", For: time.Minute,
		Servers: Servers{N: 12, Cores: 6, Speed: 1, SpeedCV: 0.15, Thrash: 0.7, ThrashAt: 1.35, Read: 0.25,
			KeyKB: 4, HoldKB: [2]float64{12, 64}, RunFactor: 16, ColdShare: 0.35, ColdFor: 10 * time.Second, CrowdFactor: 8,
			CrowdOver: 1500 * time.Millisecond, DrainGrace: 2 * time.Second, Stop: 8 * time.Second, Restart: 6 * time.Second,
			Unread: 128, Tick: 5 * time.Millisecond, Heeded: time.Second, RetryAfter: time.Second, Slack: 60 * time.Millisecond,
			CheckEvery: 2 * time.Second, CallerIdle: 15 * time.Second, OverWorth: 0.1},
		Classes: []Class{
			{Name: "part-lookup", Share: 0.65, Work: 240 * time.Millisecond, Dist: LogNormal, CV: 0.8, Aim: 1400 * time.Millisecond,
				Deadline: 3700 * time.Millisecond, Worth: 1},
			{Name: "stock-reserve", Share: 0.35, Work: 400 * time.Millisecond, Dist: LogNormal, CV: 0.85, Aim: 2400 * time.Millisecond,
				Deadline: 6100 * time.Millisecond, Worth: 2, LateWorth: 0.2, Keyed: true, Window: 18354 * time.Millisecond}},
		Tenants: []Tenant{{Name: "central", Share: 0.34}, {Name: "southern", Share: 0.34}, {Name: "northern", Share: 0.16},
			{Name: "east-coast", Share: 0.16}},
		Callers: []Gateway{{N: 2, Share: 0.5, Choice: Round, Again: Unbounded, Tries: 4, Heeds: true},
			{N: 2, Share: 0.5, Choice: Hash, Again: Unbounded, Tries: 4, Heeds: true}},
		Arrival:  arrival.Config{Kind: arrival.Poisson, Rate: 160},
		Subjects: 12000, Skew: 1.1, Delay: 3 * time.Millisecond, ListDelay: 2 * time.Second}
	w.Servers.MemoryKB = 18 * 6 * 38 * 16
	w.Load(1)
	return w
}

// meanWork is the mean work of a request in seconds, reading left out.
func (w *World) meanWork() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range w.Classes {
		sum, shares = sum+c.Share*c.Work.Seconds(), shares+c.Share
	}
	return sum / shares
}

// Capacity is how many requests a second the whole fleet can do, reading included, when it is warm and not crowded.
func (w *World) Capacity() float64 {
	return float64(w.Servers.N*w.Servers.Cores) * w.Servers.Speed / (w.meanWork() * (1 + w.Servers.Read))
}

// quotaPart is the part of what the fleet can do that the tenants' quotas come to.
const quotaPart = 0.8

// Load sets the rate of arrivals to a part of what the fleet can do, and the tenants' quotas to their shares of that.
func (w *World) Load(part float64) {
	capacity := w.Capacity()
	w.Arrival.Rate = part * capacity
	for i := range w.Tenants {
		w.Tenants[i].Quota = quotaPart * w.Tenants[i].Share * capacity
	}
}

// Check names the first thing that makes no sense.
func (w *World) Check() error {
	s := &w.Servers
	bad := func(format string, args ...any) error {
		return fmt.Errorf("model: world %s: "+format, append([]any{w.Name}, args...)...)
	}
	switch {
	case w.For <= 0 || w.For > 24*time.Hour:
		return bad("it lasts %v, want more than 0 and at most a day", w.For)
	case s.N < 0 || s.N > 100_000 || s.Cores < 1:
		return bad("%d servers of %d cores, want 0 to 100,000 of at least 1", s.N, s.Cores)
	case !(s.Speed > 0) || s.SpeedCV < 0 || s.Thrash < 0 || s.Read < 0:
		return bad("speed %v with %v, thrash %v, read %v, want a speed over 0 and none below 0", s.Speed, s.SpeedCV, s.Thrash, s.Read)
	case s.HoldKB[0] <= 0 || s.HoldKB[1] < s.HoldKB[0] || s.RunFactor < 1 || s.MemoryKB < s.HoldKB[1]*s.RunFactor:
		return bad("a memory of %v KB can't run a request of %v KB", s.MemoryKB, s.HoldKB[1]*s.RunFactor)
	case !(s.ColdShare > 0) || s.ColdShare > 1 || s.CrowdFactor < 1 || s.CrowdOver <= 0 || s.Tick <= 0 || s.Unread < 1:
		return bad("a cold share of %v, a crowd of %v over %v, a tick of %v or %d unread makes no sense", s.ColdShare, s.CrowdFactor,
			s.CrowdOver, s.Tick, s.Unread)
	case len(w.Classes) == 0 || len(w.Callers) == 0:
		return bad("no classes or no gateways")
	case w.Skew != 0 && w.Skew <= 1 || w.Subjects < 1:
		return bad("%d subjects of a skew of %v, want at least 1 and a skew over 1 or none", w.Subjects, w.Skew)
	case w.Delay < 0 || w.ListDelay < 0:
		return bad("a delay below 0")
	}
	if _, ok := s.Feedback.module(); !ok {
		return bad("no feedback is called %q", s.Feedback)
	}
	for _, c := range w.Classes {
		if c.Share < 0 || c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim || c.Keyed && (c.Window <= 0 || c.Unsafe) || math.IsNaN(c.CV) || c.CV < 0 {
			return bad("class %s: a share, work, aim, deadline, window or spread makes no sense", c.Name)
		}
		switch c.Dist {
		case Constant, Exponential, LogNormal:
		case Pareto:
			if c.CV <= 1 {
				return bad("class %s: a Pareto exponent of %v has no mean, want more than 1", c.Name, c.CV)
			}
		default:
			return bad("class %s: no distribution is called %q", c.Name, c.Dist)
		}
	}
	for _, g := range w.Callers {
		if err := g.check(s.N); err != nil {
			return bad("%w", err)
		}
	}
	for _, i := range w.Incidents {
		if err := i.check(); err != nil {
			return bad("%w", err)
		}
	}
	c := w.Arrival
	if err := c.Check(); err != nil {
		return bad("%w", err)
	}
	return nil
}

// mostScanned is how many servers a gateway may look at for each choice.
const mostScanned = 256

func (g *Gateway) check(servers int) error {
	switch g.Choice {
	case Round, Two, Hash, Random:
	case Least, Fastest, Weight:
		if n := g.Subset; n == 0 && servers > mostScanned || n > mostScanned {
			return fmt.Errorf("gateways that choose by %s look at all their servers: want a subset of at most %d", g.Choice, mostScanned)
		}
	default:
		return fmt.Errorf("no choice is called %q", g.Choice)
	}
	switch g.Again {
	case Never, Unbounded, Budgeted, Hasty, Copies, Patient:
	default:
		return fmt.Errorf("no way to try again is called %q", g.Again)
	}
	if g.N < 1 || g.Share < 0 || g.Tries < 1 || g.Budget < 0 || g.Wait < 0 || g.Subset < 0 {
		return fmt.Errorf("%d gateways with a share of %v, %d tries, a budget of %v, a wait of %v and a subset of %d make no sense", g.N,
			g.Share, g.Tries, g.Budget, g.Wait, g.Subset)
	}
	return nil
}
