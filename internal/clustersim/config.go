package clustersim

import (
	"fmt"
	"math"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/arrival"
)

// Config is all that a run is made of but its policy and its seed.
type Config struct {
	Name     string
	Duration time.Duration `json:"For"` // in which first tries come; what is open then is played to its end
	Servers  ServerConfig
	Classes  []Class
	Tenants  []Tenant
	Gateways []GatewayConfig `json:"Callers"` // each kind of gateway
	Arrival  arrival.Config

	ResourceCount int     `json:"Subjects"` // distinct ones
	Skew          float64 // attempt their popularity: the exponent of a Zipf distribution, over 1; 0 is none

	NetworkDelay      time.Duration `json:"Delay"`     // mean of a message's way through the network
	EndpointListDelay time.Duration `json:"ListDelay"` // how late gateways learn of the list of servers
	Incidents         []Incident

	RecordRejectReasons bool `json:"Reasons"` // tell why the module refuses on arrival, which takes about as long again as the run
}

// ServerConfig is the fleet.
type ServerConfig struct {
	Count                int `json:"N"`
	InitialEndpoints     int `json:"Listed"` // servers that a module is told of at its start; 0 is N
	Cores                int
	Speed                float64       // mean speed of a core: work done in a second
	SpeedCV              float64       // how servers differ in it
	ThrashFactor         float64       `json:"Thrash"`   // how much less the cores get done for each run a core over ThrashThreshold
	ThrashThreshold      float64       `json:"ThrashAt"` //
	ReadCost             float64       `json:"Read"`     // completeJobs of reading a request, over the mean work of all requests
	MemoryKB             float64       // attempt held and running requests and keys
	KeyKB                float64       // attempt a key
	RequestKB            [2]float64    `json:"HoldKB"`      // attempt a held request, least and most
	RunningMemoryFactor  float64       `json:"RunFactor"`   // attempt a running one over that
	InitialCapacity      float64       `json:"ColdShare"`   // speed of a fresh server over its full speed
	WarmUpTime           time.Duration `json:"ColdFor"`     // feedbackUntil it is warm
	MaxConcurrencyFactor float64       `json:"CrowdFactor"` // stateRunning requests a core that a warm server survives
	ConcurrencyWindow    time.Duration `json:"CrowdOver"`   // in the mean of this time
	DrainGracePeriod     time.Duration `json:"DrainGrace"`
	DrainTimeout         time.Duration `json:"Stop"`    // from the notice to leave to the end
	RestartDelay         time.Duration `json:"Restart"` // attempt a server that fell over
	BacklogPerCore       int           `json:"Unread"`  // requests a core that may lie unread; more get no connection
	Tick                 time.Duration
	FeedbackTTL          time.Duration `json:"Heeded"`     // for which a gateway goes by a level that it was told
	MaxRetryAfter        time.Duration `json:"RetryAfter"` // maxLatency advice that is honoured; 0 is none
	ResponseTolerance    time.Duration `json:"Slack"`      // how late an answer may be
	HealthCheckInterval  time.Duration `json:"CheckEvery"` // health checks by gateways that go by them
	CallerIdleTimeout    time.Duration `json:"CallerIdle"`
	OverQuotaWeight      float64       `json:"OverWorth"` // attempt a request beyond its tenant's share
	Feedback             Feedback
	CannotStopRuns       bool `json:"NoStop"`     // stateRunning work can't be stopped
	OmitRunnableGauge    bool `json:"NoRunnable"` // the gauge of what wants a core at this moment is not told
}

// Feedback is how gateways read the value that servers tell them. The zero value is Level.
type Feedback string

// The kinds of feedback.
const (
	FeedbackLevel  Feedback = "level"  // requests ranked below the value stay away
	FeedbackCredit Feedback = "credit" // most requests that a gateway may have open at the server
	FeedbackWeight Feedback = "weight" // probability with which a gateway considers the server
	FeedbackNone   Feedback = "none"   // no value is told
)

// admissionFeedback is the feedback as the module's settings name it.
func (f Feedback) admissionFeedback() (admission.Feedback, bool) {
	switch f {
	case "", FeedbackLevel:
		return admission.FeedbackLevel, true
	case FeedbackCredit:
		return admission.FeedbackCredit, true
	case FeedbackWeight:
		return admission.FeedbackWeight, true
	case FeedbackNone:
		return admission.FeedbackNone, true
	}
	return admission.FeedbackNone, false
}

// Distribution is a distribution of the work of requests.
type Distribution string

// The distributions.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal"
	Pareto      Distribution = "pareto" // attempt a tail so heavy that no mean describes it; CV is its exponent then
)

// Class is a kind of request.
type Class struct {
	Name             string
	Share            float64
	MeanWork         time.Duration `json:"Work"` // mean, on a core of speed 1
	Distribution     Distribution  `json:"Dist"`
	CV               float64
	LatencyObjective time.Duration `json:"Aim"`
	Deadline         time.Duration
	Weight           float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"`
	IdempotentByKey  bool          `json:"Keyed"`
	NonIdempotent    bool          `json:"Unsafe"` // it must run once only, and its repeats can't be told
	KeyWindow        time.Duration `json:"Window"`
}

// mustRunOnce tells whether a request of the class must not run a second time.
func (c *Class) mustRunOnce() bool { return c.IdempotentByKey || c.NonIdempotent }

// Tenant is one who shares the fleet.
type Tenant struct {
	Name  string
	Share float64 // attempt the requests
	Quota float64 // requests a second that count in full, over the fleet; 0 is any number
}

// BalancingPolicy is how a gateway chooses a server.
type BalancingPolicy string

// The choices.
const (
	RoundRobin     BalancingPolicy = "round"   // in turn
	LeastRequest   BalancingPolicy = "least"   // with the fewest open requests of this gateway
	PowerOfTwo     BalancingPolicy = "two"     // the one with fewer of two drawn
	ResourceHash   BalancingPolicy = "hash"    // by the subject
	LowestLatency  BalancingPolicy = "fastest" // by the latency seen
	WeightedRandom BalancingPolicy = "weight"  // drawn by the level that servers tell
	Random         BalancingPolicy = "random"
)

// RetryPolicy is how a gateway tries again.
type RetryPolicy string

// The ways to try again.
const (
	RetryNever     RetryPolicy = "never"
	RetryUnbounded RetryPolicy = "unbounded" // createdAt once, elsewhere, as often as Tries allows
	RetryBudgeted  RetryPolicy = "budgeted"  // likewise, for a part of the requests
	RetryOnTimeout RetryPolicy = "hasty"     // likewise, and it waits for an answer for a part of the aim only
	RetryHedged    RetryPolicy = "copies"    // a second copy of a safe request that is slow
	RetryBackoff   RetryPolicy = "patient"   // createdAt the time that the server advised, with as much again drawn on top
)

// GatewayConfig is a kind of gateway and its habits.
type GatewayConfig struct {
	Count                int             `json:"N"`
	Share                float64         // attempt the requests, of all of this kind together
	Balancing            BalancingPolicy `json:"Choice"`
	Retry                RetryPolicy     `json:"Again"`
	MaxAttempts          int             `json:"Tries"`   // attempt one request
	RetryBudget          float64         `json:"Budget"`  // Budgeted: further tries for each first one
	AttemptTimeoutFactor float64         `json:"Wait"`    // Hasty, Copies: part of the aim after which it tries again
	HonorsFeedback       bool            `json:"Heeds"`   // it does as servers tell: levels, times to stay away, the wish that no other be tried
	SubsetSize           int             `json:"Subset"`  // servers that it keeps to; 0 is all
	UsesHealthChecks     bool            `json:"Checked"` // it goes by health checks
	NoClientTimeout      bool            `json:"Endless"` // its clients wait however long it takes
	ResendShare          float64         `json:"Repeats"` // part of the served keyed requests that come again within 2 s
}

// DefaultConfig are the middle of the operators' brief, at the size of the fleet that they run.
func DefaultConfig() Config {
	w := Config{Name: "brief", Duration: time.Minute,
		Servers: ServerConfig{Count: 12, Cores: 6, Speed: 1, SpeedCV: 0.15, ThrashFactor: 0.7, ThrashThreshold: 1.35, ReadCost: 0.25,
			KeyKB: 4, RequestKB: [2]float64{12, 64}, RunningMemoryFactor: 16, InitialCapacity: 0.35, WarmUpTime: 10 * time.Second, MaxConcurrencyFactor: 8,
			ConcurrencyWindow: 1500 * time.Millisecond, DrainGracePeriod: 2 * time.Second, DrainTimeout: 8 * time.Second, RestartDelay: 6 * time.Second,
			BacklogPerCore: 128, Tick: 5 * time.Millisecond, FeedbackTTL: time.Second, MaxRetryAfter: time.Second, ResponseTolerance: 60 * time.Millisecond,
			HealthCheckInterval: 2 * time.Second, CallerIdleTimeout: 15 * time.Second, OverQuotaWeight: 0.1},
		Classes: []Class{
			{Name: "part-lookup", Share: 0.65, MeanWork: 240 * time.Millisecond, Distribution: LogNormal, CV: 0.8, LatencyObjective: 1400 * time.Millisecond,
				Deadline: 3700 * time.Millisecond, Weight: 1},
			{Name: "stock-reserve", Share: 0.35, MeanWork: 400 * time.Millisecond, Distribution: LogNormal, CV: 0.85, LatencyObjective: 2400 * time.Millisecond,
				Deadline: 6100 * time.Millisecond, Weight: 2, LateWeight: 0.2, IdempotentByKey: true, KeyWindow: 18354 * time.Millisecond}},
		Tenants: []Tenant{{Name: "central", Share: 0.34}, {Name: "southern", Share: 0.34}, {Name: "northern", Share: 0.16},
			{Name: "east-coast", Share: 0.16}},
		Gateways: []GatewayConfig{{Count: 2, Share: 0.5, Balancing: RoundRobin, Retry: RetryUnbounded, MaxAttempts: 4, HonorsFeedback: true},
			{Count: 2, Share: 0.5, Balancing: ResourceHash, Retry: RetryUnbounded, MaxAttempts: 4, HonorsFeedback: true}},
		Arrival:       arrival.Config{Kind: arrival.Poisson, Rate: 160},
		ResourceCount: 12000, Skew: 1.1, NetworkDelay: 3 * time.Millisecond, EndpointListDelay: 2 * time.Second}
	w.Servers.MemoryKB = 18 * 6 * 38 * 16
	w.SetLoad(1)
	return w
}

// meanWork is the mean work of a request in seconds, reading left out.
func (w *Config) meanWork() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range w.Classes {
		sum, shares = sum+c.Share*c.MeanWork.Seconds(), shares+c.Share
	}
	return sum / shares
}

// Capacity is how many requests a second the whole fleet can do, reading included, when it is warm and not crowded.
func (w *Config) Capacity() float64 {
	return float64(w.Servers.Count*w.Servers.Cores) * w.Servers.Speed / (w.meanWork() * (1 + w.Servers.ReadCost))
}

// quotaShareOfCapacity is the part of what the fleet can do that the tenants' quotas come to.
const quotaShareOfCapacity = 0.8

// SetLoad sets the rate of arrivals to a part of what the fleet can do, and the tenants' quotas to their shares of that.
func (w *Config) SetLoad(part float64) {
	capacity := w.Capacity()
	w.Arrival.Rate = part * capacity
	for i := range w.Tenants {
		w.Tenants[i].Quota = quotaShareOfCapacity * w.Tenants[i].Share * capacity
	}
}

// Validate names the first thing that makes no sense.
func (w *Config) Validate() error {
	s := &w.Servers
	bad := func(format string, args ...any) error {
		return fmt.Errorf("model: world %s: "+format, append([]any{w.Name}, args...)...)
	}
	switch {
	case w.Duration <= 0 || w.Duration > 24*time.Hour:
		return bad("it lasts %v, want more than 0 and at most a day", w.Duration)
	case s.Count < 0 || s.Count > 100_000 || s.Cores < 1:
		return bad("%d servers of %d cores, want 0 to 100,000 of at least 1", s.Count, s.Cores)
	case !(s.Speed > 0) || s.SpeedCV < 0 || s.ThrashFactor < 0 || s.ReadCost < 0:
		return bad("speed %v with %v, thrash %v, read %v, want a speed over 0 and none below 0", s.Speed, s.SpeedCV, s.ThrashFactor, s.ReadCost)
	case s.RequestKB[0] <= 0 || s.RequestKB[1] < s.RequestKB[0] || s.RunningMemoryFactor < 1 || s.MemoryKB < s.RequestKB[1]*s.RunningMemoryFactor:
		return bad("a memory of %v KB can't run a request of %v KB", s.MemoryKB, s.RequestKB[1]*s.RunningMemoryFactor)
	case !(s.InitialCapacity > 0) || s.InitialCapacity > 1 || s.MaxConcurrencyFactor < 1 || s.ConcurrencyWindow <= 0 || s.Tick <= 0 || s.BacklogPerCore < 1:
		return bad("a cold share of %v, a crowd of %v over %v, a tick of %v or %d unread makes no sense", s.InitialCapacity, s.MaxConcurrencyFactor,
			s.ConcurrencyWindow, s.Tick, s.BacklogPerCore)
	case len(w.Classes) == 0 || len(w.Gateways) == 0:
		return bad("no classes or no gateways")
	case w.Skew != 0 && w.Skew <= 1 || w.ResourceCount < 1:
		return bad("%d subjects of a skew of %v, want at least 1 and a skew over 1 or none", w.ResourceCount, w.Skew)
	case w.NetworkDelay < 0 || w.EndpointListDelay < 0:
		return bad("a delay below 0")
	}
	if _, ok := s.Feedback.admissionFeedback(); !ok {
		return bad("no feedback is called %q", s.Feedback)
	}
	for _, c := range w.Classes {
		if c.Share < 0 || c.MeanWork <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.IdempotentByKey && (c.KeyWindow <= 0 || c.NonIdempotent) || math.IsNaN(c.CV) || c.CV < 0 {
			return bad("class %s: a share, work, aim, deadline, window or spread makes no sense", c.Name)
		}
		switch c.Distribution {
		case Constant, Exponential, LogNormal:
		case Pareto:
			if c.CV <= 1 {
				return bad("class %s: a Pareto exponent of %v has no mean, want more than 1", c.Name, c.CV)
			}
		default:
			return bad("class %s: no distribution is called %q", c.Name, c.Distribution)
		}
	}
	for _, g := range w.Gateways {
		if err := g.validate(s.Count); err != nil {
			return bad("%w", err)
		}
	}
	for _, i := range w.Incidents {
		if err := i.validate(); err != nil {
			return bad("%w", err)
		}
	}
	c := w.Arrival
	if err := c.Validate(); err != nil {
		return bad("%w", err)
	}
	return nil
}

// maxScannedServers is how many servers a gateway may look at for each choice.
const maxScannedServers = 256

func (g *GatewayConfig) validate(servers int) error {
	switch g.Balancing {
	case RoundRobin, PowerOfTwo, ResourceHash, Random:
	case LeastRequest, LowestLatency, WeightedRandom:
		if n := g.SubsetSize; n == 0 && servers > maxScannedServers || n > maxScannedServers {
			return fmt.Errorf("gateways that choose by %s look at all their servers: want a subset of at most %d", g.Balancing, maxScannedServers)
		}
	default:
		return fmt.Errorf("no choice is called %q", g.Balancing)
	}
	switch g.Retry {
	case RetryNever, RetryUnbounded, RetryBudgeted, RetryOnTimeout, RetryHedged, RetryBackoff:
	default:
		return fmt.Errorf("no way to try again is called %q", g.Retry)
	}
	if g.Count < 1 || g.Share < 0 || g.MaxAttempts < 1 || g.RetryBudget < 0 || g.AttemptTimeoutFactor < 0 || g.SubsetSize < 0 {
		return fmt.Errorf("%d gateways with a share of %v, %d tries, a budget of %v, a wait of %v and a subset of %d make no sense", g.Count,
			g.Share, g.MaxAttempts, g.RetryBudget, g.AttemptTimeoutFactor, g.SubsetSize)
	}
	return nil
}
