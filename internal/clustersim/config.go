package clustersim

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/arrival"
)

// Config describes a cluster and its workload. A run depends only on it, the servers' policy and the seed.
//
// The results file of an experiment holds a checksum of the experiment's plan, which is computed over the JSON encoding
// of this type and of the types of its fields. Field order and JSON keys are therefore part of a stored format: when a
// field is renamed, its tag keeps the old key.
type Config struct {
	Name     string
	Duration time.Duration `json:"For"` // time during which new requests arrive; a run ends when all of them have ended
	Servers  ServerConfig
	Classes  []Class
	Tenants  []Tenant
	Gateways []GatewayConfig `json:"Callers"` // one entry per kind of gateway
	Arrival  arrival.Config

	ResourceCount int     `json:"Subjects"` // number of distinct resources
	ZipfExponent  float64 `json:"Skew"`     // exponent of the Zipf distribution of resources, greater than 1; 0 means uniform

	NetworkDelay      time.Duration `json:"Delay"`     // mean one-way delay of a message
	EndpointListDelay time.Duration `json:"ListDelay"` // time until gateways see a change of the endpoint list
	Incidents         []Incident

	// RecordRejectReasons counts the module's reasons for rejections in the result. A run takes about twice as long
	// with it.
	RecordRejectReasons bool `json:"Reasons"`
}

// ServerConfig describes the servers of a cluster. They differ only in their speed.
type ServerConfig struct {
	Count            int `json:"N"`
	InitialEndpoints int `json:"Listed"` // number of servers in the settings of a module; 0 means Count
	CoreConfig
	MemoryConfig
	WarmUpConfig
	ConcurrencyConfig
	ShutdownConfig
	BacklogPerCore      int           `json:"Unread"` // requests per core that may wait to be read; beyond it connections are refused
	Tick                time.Duration // admission.Settings.Tick of the modules
	FeedbackTTL         time.Duration `json:"Heeded"`     // time for which a gateway uses an advertised load
	MaxRetryAfter       time.Duration `json:"RetryAfter"` // longest retry-after that is honored; 0 disables it
	ResponseTolerance   time.Duration `json:"Slack"`      // time after its deadline at which a response is still no violation
	HealthCheckInterval time.Duration `json:"CheckEvery"` // time between two health checks by a gateway
	CallerIdleTimeout   time.Duration `json:"CallerIdle"` // how long callers keep an idle connection; 0 means unknown
	OverQuotaWeight     float64       `json:"OverWorth"`  // factor on the weight of a request that exceeds its tenant's quota
	Feedback            Feedback
	CannotStopRuns      bool `json:"NoStop"`     // the module can't stop a run
	OmitRunnableGauge   bool `json:"NoRunnable"` // the module gets no gauge of jobs that need a core
}

// CoreConfig describes the cores of a server.
type CoreConfig struct {
	Cores           int
	Speed           float64 // mean speed of a core: seconds of work per second
	SpeedCV         float64 // coefficient of variation of the speed among the servers
	ThrashFactor    float64 `json:"Thrash"`   // loss of efficiency for each run per core above ThrashThreshold
	ThrashThreshold float64 `json:"ThrashAt"` // runs per core above which a server thrashes
	ReadCost        float64 `json:"Read"`     // work to read a request, relative to the mean work of a request
}

// MemoryConfig describes the memory of a server, which queued and running requests and idempotency keys share.
type MemoryConfig struct {
	MemoryKB            float64
	KeyKB               float64    // memory of one idempotency key
	RequestKB           [2]float64 `json:"HoldKB"`    // smallest and largest memory of a queued request
	RunningMemoryFactor float64    `json:"RunFactor"` // memory of a running request relative to that of a queued one
}

// WarmUpConfig describes the slow start of a new process.
type WarmUpConfig struct {
	InitialCapacity float64       `json:"ColdShare"` // speed at the start relative to the full speed
	WarmUpTime      time.Duration `json:"ColdFor"`   // time from the start to the full speed
}

// ConcurrencyConfig holds the limit on concurrency above which a server crashes.
type ConcurrencyConfig struct {
	MaxConcurrencyFactor float64       `json:"CrowdFactor"` // limit on the running requests per core of a warm server
	ConcurrencyWindow    time.Duration `json:"CrowdOver"`   // time over which the concurrency is averaged
}

// ShutdownConfig holds the durations of a graceful shutdown and of a restart.
type ShutdownConfig struct {
	DrainGracePeriod time.Duration `json:"DrainGrace"` // time after the drain notice during which a server still accepts requests
	DrainTimeout     time.Duration `json:"Stop"`       // time from the drain notice to the end of the process
	RestartDelay     time.Duration `json:"Restart"`    // time from a crash due to overload to the start of a new process
}

// Feedback selects how gateways interpret the load that servers advertise. The zero value means FeedbackLevel.
type Feedback string

// The kinds of feedback.
const (
	FeedbackLevel  Feedback = "level"  // requests with a priority below the value are not sent
	FeedbackCredit Feedback = "credit" // the value limits the open attempts of a gateway at the server
	FeedbackWeight Feedback = "weight" // the value is the probability with which a gateway considers the server
	FeedbackNone   Feedback = "none"   // servers advertise nothing
)

// feedbackKinds returns all kinds of feedback.
func feedbackKinds() []Feedback {
	return []Feedback{FeedbackLevel, FeedbackCredit, FeedbackWeight, FeedbackNone}
}

// admissionFeedback converts the feedback for the module's settings; ok is false if it is unknown.
func (f Feedback) admissionFeedback() (feedback admission.Feedback, ok bool) {
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

// Distribution is the probability distribution of the work of a class's requests.
type Distribution string

// The distributions.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal"
	Pareto      Distribution = "pareto" // heavy-tailed; Class.CV is its exponent (alpha)
)

// Distributions returns all distributions.
func Distributions() []Distribution { return []Distribution{Constant, Exponential, LogNormal, Pareto} }

// Class is a class of requests that have the same distribution of work, latency objective, deadline and weight.
type Class struct {
	Name             string
	Share            float64       // share of all requests
	MeanWork         time.Duration `json:"Work"` // on a core of speed 1
	Distribution     Distribution  `json:"Dist"`
	CV               float64       // coefficient of variation of the work
	LatencyObjective time.Duration `json:"Aim"`
	Deadline         time.Duration
	Weight           float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"` // factor on the weight of a response later than the objective
	IdempotentByKey  bool          `json:"Keyed"`
	NonIdempotent    bool          `json:"Unsafe"` // must run at most once, and the server can't recognize a repeat
	KeyWindow        time.Duration `json:"Window"` // time for which a key is remembered
}

// mustRunOnce reports whether a request of the class must not run a second time.
func (c *Class) mustRunOnce() bool { return c.IdempotentByKey || c.NonIdempotent }

// Tenant is one of the customers who share the cluster.
type Tenant struct {
	Name  string
	Share float64 // share of all requests
	Quota float64 // requests per second with full weight, over all servers; 0 means unlimited
}

// BalancingPolicy selects how a gateway chooses the server for an attempt.
type BalancingPolicy string

// The balancing policies.
const (
	RoundRobin     BalancingPolicy = "round"
	LeastRequest   BalancingPolicy = "least"   // fewest open attempts of this gateway
	PowerOfTwo     BalancingPolicy = "two"     // fewer open attempts of this gateway, of two servers drawn at random
	ResourceHash   BalancingPolicy = "hash"    // by a hash of the resource ID
	LowestLatency  BalancingPolicy = "fastest" // lowest product of the observed latency and the open attempts plus one
	WeightedRandom BalancingPolicy = "weight"  // at random, with a probability that falls with the advertised load
	Random         BalancingPolicy = "random"
)

// BalancingPolicies returns all balancing policies.
func BalancingPolicies() []BalancingPolicy {
	return []BalancingPolicy{RoundRobin, LeastRequest, PowerOfTwo, ResourceHash, LowestLatency, WeightedRandom, Random}
}

// RetryPolicy selects when and where a gateway retries a request.
type RetryPolicy string

// The retry policies.
const (
	RetryNever     RetryPolicy = "never"
	RetryUnbounded RetryPolicy = "unbounded" // immediately, at another server, up to MaxAttempts
	RetryBudgeted  RetryPolicy = "budgeted"  // like RetryUnbounded, limited to RetryBudget retries per request
	RetryOnTimeout RetryPolicy = "hasty"     // like RetryUnbounded, and also after a timeout shorter than the latency objective
	RetryHedged    RetryPolicy = "copies"    // like RetryUnbounded, and also sends a copy of a slow request without a key
	RetryBackoff   RetryPolicy = "patient"   // after the server's retry-after, with jitter of up to the same length
)

// RetryPolicies returns all retry policies.
func RetryPolicies() []RetryPolicy {
	return []RetryPolicy{RetryNever, RetryUnbounded, RetryBudgeted, RetryOnTimeout, RetryHedged, RetryBackoff}
}

// GatewayConfig describes one kind of gateway.
type GatewayConfig struct {
	Count                int             `json:"N"`
	Share                float64         // share of all requests, for all gateways of this kind together
	Balancing            BalancingPolicy `json:"Choice"`
	Retry                RetryPolicy     `json:"Again"`
	MaxAttempts          int             `json:"Tries"`   // maximum for one request
	RetryBudget          float64         `json:"Budget"`  // RetryBudgeted: retries earned by each request
	AttemptTimeoutFactor float64         `json:"Wait"`    // RetryOnTimeout, RetryHedged: timeout relative to the latency objective
	HonorsFeedback       bool            `json:"Heeds"`   // obeys advertised load, retry-after and requests not to retry
	SubsetSize           int             `json:"Subset"`  // number of servers that a gateway uses; 0 means all
	UsesHealthChecks     bool            `json:"Checked"` // avoids servers that fail health checks
	NoClientTimeout      bool            `json:"Endless"` // clients wait without a deadline
	ResendShare          float64         `json:"Repeats"` // share of the served requests with a key that clients send again
}

// meanWork returns the mean work of a request in seconds, without the work to read it.
func (c *Config) meanWork() float64 {
	sum, shares := 0.0, 0.0
	for i := range c.Classes {
		class := &c.Classes[i]
		sum += class.Share * class.MeanWork.Seconds()
		shares += class.Share
	}
	return sum / shares
}

// Capacity returns the requests per second that all servers together can read and run when they are warm and do not
// thrash.
func (c *Config) Capacity() float64 {
	return float64(c.Servers.Count*c.Servers.Cores) * c.Servers.Speed / (c.meanWork() * (1 + c.Servers.ReadCost))
}

// quotaShareOfCapacity is the sum of the tenants' quotas relative to the capacity of the cluster.
const quotaShareOfCapacity = 0.8

// SetLoad sets the arrival rate to load times the capacity of the cluster. It divides quotaShareOfCapacity of the
// capacity into the tenants' quotas in proportion to their shares.
func (c *Config) SetLoad(load float64) {
	capacity := c.Capacity()
	c.Arrival.Rate = load * capacity
	for i := range c.Tenants {
		c.Tenants[i].Quota = quotaShareOfCapacity * c.Tenants[i].Share * capacity
	}
}

// admissionSettings returns the settings of a server's module.
func (c *Config) admissionSettings() admission.Settings {
	servers := &c.Servers
	settings := admission.Settings{
		Servers:              servers.Count,
		Cores:                servers.Cores,
		Tick:                 servers.Tick,
		InitialCapacity:      servers.InitialCapacity,
		WarmUpTime:           servers.WarmUpTime,
		MemoryKB:             servers.MemoryKB,
		KeyKB:                servers.KeyKB,
		RunningMemoryFactor:  servers.RunningMemoryFactor,
		MaxConcurrencyFactor: servers.MaxConcurrencyFactor,
		DrainGracePeriod:     servers.DrainGracePeriod,
		StopMode:             admission.StopDiscard,
		MaxRetryAfter:        servers.MaxRetryAfter,
		CallerIdleTimeout:    servers.CallerIdleTimeout,
	}
	settings.Feedback, _ = servers.Feedback.admissionFeedback()
	if servers.CannotStopRuns {
		settings.StopMode = admission.StopNone
	}
	if servers.InitialEndpoints > 0 {
		settings.Servers = servers.InitialEndpoints
	}
	for i := range c.Classes {
		settings.Classes = append(settings.Classes, c.Classes[i].admissionClass())
	}
	for _, t := range c.Tenants {
		settings.Tenants = append(settings.Tenants, admission.Tenant{Quota: t.Quota})
	}
	for _, g := range c.Gateways {
		settings.Callers += g.Count
	}
	return settings
}

// admissionClass converts a class for the module's settings.
func (c *Class) admissionClass() admission.Class {
	class := admission.Class{
		LatencyObjective: c.LatencyObjective,
		Deadline:         c.Deadline,
		Weight:           c.Weight,
		LateWeight:       c.LateWeight,
	}
	switch {
	case c.IdempotentByKey:
		class.Effect, class.KeyWindow = admission.IdempotentByKey, c.KeyWindow
	case c.NonIdempotent:
		class.Effect = admission.NonIdempotent
	}
	return class
}
