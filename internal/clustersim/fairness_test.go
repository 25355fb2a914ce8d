package clustersim

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The size of the deployments in this file. Only some of the servers are simulated. Each of them gets the load that it
// would get in the whole fleet, and its settings give the size of the fleet.
const (
	fleetServers     = 300
	fleetGateways    = 150
	simulatedServers = 6
)

// minFairShare is the fraction of its fair share that each class must get. The operators' regular test requires half of
// the share that a policy with a delayed view of the true state serves.
const minFairShare = 0.5

// testClass returns a class whose requests meet their objective on an idle server: their work varies little, and the
// objective is long compared with the work.
func testClass(name string, share float64, work, objective time.Duration, weight float64) Class {
	return Class{
		Name:             name,
		Share:            share,
		MeanWork:         work,
		Distribution:     LogNormal,
		CV:               0.4,
		LatencyObjective: objective,
		Deadline:         5 * objective / 2,
		Weight:           weight,
	}
}

func withKeyWindow(c Class, window time.Duration) Class {
	c.IdempotentByKey, c.KeyWindow = true, window
	return c
}

func withoutIdempotency(c Class) Class {
	c.NonIdempotent = true
	return c
}

func withLateWeight(c Class, lateWeight float64) Class {
	c.LateWeight = lateWeight
	return c
}

// objectivesTenfold returns classes whose latency objectives differ by a factor of ten.
func objectivesTenfold() []Class {
	return []Class{testClass("quick", 0.4, 80*ms, 600*ms, 1), testClass("slow", 0.6, 500*ms, 6000*ms, 1)}
}

// weightsTwentyfold returns classes whose weights differ by a factor of up to twenty.
func weightsTwentyfold() []Class {
	return []Class{testClass("cheap", 0.5, 80*ms, 600*ms, 1), testClass("middle", 0.3, 250*ms, 2000*ms, 4),
		withKeyWindow(withLateWeight(testClass("rich", 0.2, 600*ms, 6000*ms, 20), 0.2), 30*time.Second)}
}

// heavyAndNonIdempotent returns classes of which the one with the highest weight must not run twice.
func heavyAndNonIdempotent() []Class {
	return []Class{withoutIdempotency(testClass("rich", 0.2, 80*ms, 700*ms, 20)), testClass("cheap", 0.4, 600*ms, 6000*ms, 1),
		testClass("middle", 0.4, 300*ms, 1800*ms, 4)}
}

// rareWithShortObjective returns a rare class with a short latency objective and a frequent one with a long objective.
func rareWithShortObjective() []Class {
	return []Class{testClass("rare", 0.06, 150*ms, 900*ms, 1), testClass("bulk", 0.94, 300*ms, 4000*ms, 1)}
}

// fiveClasses returns classes of equal shares with different work, objectives and weights.
func fiveClasses() []Class {
	return []Class{testClass("a", 0.2, 100*ms, 800*ms, 1), testClass("b", 0.2, 200*ms, 1600*ms, 2),
		withKeyWindow(testClass("c", 0.2, 300*ms, 2400*ms, 4), 20*time.Second), testClass("d", 0.2, 400*ms, 3200*ms, 8),
		withLateWeight(testClass("e", 0.2, 500*ms, 4000*ms, 20), 1)}
}

// equalTenants returns n tenants with equal shares.
func equalTenants(n int) []Tenant {
	tenants := make([]Tenant, n)
	for i := range tenants {
		tenants[i] = Tenant{Name: string(rune('A' + i)), Share: 1 / float64(n)}
	}
	return tenants
}

func unequalTenants() []Tenant {
	return []Tenant{{Name: "large", Share: 0.9}, {Name: "small", Share: 0.06}, {Name: "smaller", Share: 0.04}}
}

// deployment is a configuration in which no class may starve.
type deployment struct {
	name    string
	classes []Class
	tenants []Tenant
	load    float64 // relative to the capacity of the cluster; 0 means 1.25
	change  func(config *Config)
}

func deployments() []deployment {
	return []deployment{
		{name: "objectives ten times apart, no tenants", classes: objectivesTenfold()},
		{name: "objectives ten times apart, four tenants", classes: objectivesTenfold(), tenants: equalTenants(4)},
		{name: "objectives ten times apart, forty tenants", classes: objectivesTenfold(), tenants: equalTenants(40)},
		{name: "objectives ten times apart, very unequal tenants", classes: objectivesTenfold(), tenants: unequalTenants()},
		{name: "weights twenty times apart, no tenants", classes: weightsTwentyfold()},
		{name: "weights twenty times apart, four tenants", classes: weightsTwentyfold(), tenants: equalTenants(4)},
		{name: "a class of high weight that must run once", classes: heavyAndNonIdempotent()},
		{name: "a rare class with a short objective", classes: rareWithShortObjective()},
		{name: "a rare class with a short objective, forty tenants", classes: rareWithShortObjective(), tenants: equalTenants(40)},
		{name: "five classes, no tenants", classes: fiveClasses()},
		{name: "five classes, very unequal tenants", classes: fiveClasses(), tenants: unequalTenants()},
		{name: "five classes at 0.9 of the capacity", classes: fiveClasses(), load: 0.9},
		{name: "no feedback", classes: objectivesTenfold(), change: func(config *Config) { config.Servers.Feedback = FeedbackNone }},
		{name: "credit as feedback", classes: objectivesTenfold(), change: func(config *Config) { config.Servers.Feedback = FeedbackCredit }},
		{name: "weight as feedback", classes: objectivesTenfold(), change: func(config *Config) { config.Servers.Feedback = FeedbackWeight }},
		{name: "no gauge of runnable tasks", classes: objectivesTenfold(), change: func(config *Config) { config.Servers.OmitRunnableGauge = true }},
		{name: "runs can't be stopped", classes: objectivesTenfold(), change: func(config *Config) { config.Servers.CannotStopRuns = true }},
		{name: "ten servers and five gateways", classes: objectivesTenfold(), change: func(config *Config) {
			config.Servers.Count, config.Servers.InitialEndpoints, config.Gateways[0].Count, config.Gateways[1].Count = 10, 10, 3, 2
		}},
		{name: "sixty servers and thirty gateways", classes: objectivesTenfold(), change: func(config *Config) {
			config.Servers.InitialEndpoints, config.Gateways[0].Count, config.Gateways[1].Count = 60, 15, 15
		}},
		{name: "three gateways", classes: objectivesTenfold(), change: func(config *Config) { config.Gateways[0].Count, config.Gateways[1].Count = 2, 1 }},
		{name: "six hundred gateways", classes: objectivesTenfold(), change: func(config *Config) { config.Gateways[0].Count, config.Gateways[1].Count = 300, 300 }},
		{name: "gateways without retries", classes: objectivesTenfold(), change: func(config *Config) {
			config.Gateways[0].Retry, config.Gateways[1].Retry = RetryNever, RetryNever
		}},
		{name: "gateways that ignore feedback", classes: objectivesTenfold(), load: 1.1, change: func(config *Config) {
			config.Servers.MaxRetryAfter, config.Gateways[0].HonorsFeedback, config.Gateways[1].HonorsFeedback = 0, false, false
		}},
		{name: "thirty-two cores", classes: objectivesTenfold(), change: func(config *Config) {
			config.Servers.MemoryKB *= 32 / float64(config.Servers.Cores)
			config.Servers.Cores, config.Servers.Count = 32, 2
		}},
		{name: "little memory, much of it for keys", classes: weightsTwentyfold(), change: func(config *Config) {
			keyed := config.Capacity() / float64(config.Servers.Count) * config.Classes[2].Share * config.Classes[2].KeyWindow.Seconds()
			config.Servers.MemoryKB = 10 * float64(config.Servers.Cores) * config.Servers.RunningMemoryFactor * config.Servers.RequestKB[1]
			config.Servers.KeyKB = 0.4 * config.Servers.MemoryKB / keyed
		}},
		{name: "half of the servers crash and restart cold", classes: objectivesTenfold(), load: 0.9, change: func(config *Config) {
			config.Servers.InitialCapacity, config.Servers.WarmUpTime = 0.2, 10*time.Second
			config.Incidents = []Incident{{Kind: ServerCrash, Start: 3 * time.Second, Duration: 4 * time.Second, ServerShare: 0.5}}
		}},
		{name: "slow for a while", classes: objectivesTenfold(), load: 0.9, change: func(config *Config) {
			config.Incidents = []Incident{{Kind: SlowServers, Start: 3 * time.Second, Duration: 5 * time.Second, ServerShare: 0.5, Magnitude: 8}}
		}},
		{name: "a release", classes: weightsTwentyfold(), load: 0.9, change: func(config *Config) {
			config.Incidents = []Incident{{Kind: RollingDeploy, Start: 3 * time.Second, Duration: 10 * time.Second, ServerShare: 0.98, Magnitude: 0.2}}
		}},
	}
}

// config returns the deployment's configuration, with only the simulated servers.
func (d *deployment) config() Config {
	config := DefaultConfig()
	config.Name, config.Duration = d.name, 30*time.Second
	config.Classes, config.Tenants = d.classes, d.tenants
	config.Servers.Count, config.Servers.InitialEndpoints = simulatedServers, fleetServers
	gateways := GatewayConfig{
		Count:          fleetGateways / 2,
		Share:          0.5,
		Balancing:      RoundRobin,
		Retry:          RetryUnbounded,
		MaxAttempts:    4,
		HonorsFeedback: true,
	}
	config.Gateways = []GatewayConfig{gateways, gateways}
	config.Gateways[1].Balancing = PowerOfTwo
	if d.change != nil {
		d.change(&config)
	}
	load := d.load
	if load == 0 {
		load = 1.25
	}
	config.SetLoad(load)
	for i := range config.Tenants {
		config.Tenants[i].Quota *= float64(config.Servers.InitialEndpoints) / float64(config.Servers.Count)
	}
	return config
}

// TestNoClassStarves checks that, in an overload and after a fault, the goodput share of each class is at least half of
// the share of all requests that the cluster can serve.
func TestNoClassStarves(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			r := mustRun(t, d.config(), AdmissionModule, 1)
			if len(r.ViolationMessages) > 0 {
				t.Errorf("violations %v, want none", r.ViolationMessages)
			}
			possible := min(1, 1/r.Load)
			for _, c := range r.Classes {
				t.Logf("class %s: goodput share %.3f; the cluster can serve %.3f of all requests", c.Name, c.GoodputShare, possible)
				if c.GoodputShare < minFairShare*possible {
					t.Errorf("class %s starves: goodput share %.3f, want at least half of the possible %.3f",
						c.Name, c.GoodputShare, possible)
				}
			}
		})
	}
}
