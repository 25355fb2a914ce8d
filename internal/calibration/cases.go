package calibration

import (
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/clustersim"
)

// Case is a workload that both the daemon and the simulation can run.
type Case struct {
	Name        string
	Load        float64 // relative to the capacity of the interpreter
	MeanWork    time.Duration
	Cores       int     // of the interpreter
	KeyedShare  float64 // share of the requests that have an idempotency key
	ResendShare float64 // share of the served keyed requests that clients send again
	MaxAttempts int     // of one request
	ArrivalKind arrival.Kind
}

// Cases returns twelve cases, from low load to overload.
func Cases() []Case {
	const ms = time.Millisecond
	return []Case{
		{"calm", 0.3, 20 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"calm, long runs", 0.3, 60 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"half", 0.5, 20 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"half, in bursts", 0.5, 20 * ms, 2, 0.1, 0.1, 3, arrival.Bursty},
		{"busy", 0.7, 20 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"busy, reads only", 0.8, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
		{"busy, long runs", 0.8, 60 * ms, 2, 0.05, 0.1, 3, arrival.Poisson},
		{"full", 0.95, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
		{"full, one try", 1, 20 * ms, 2, 0, 0, 1, arrival.Poisson},
		{"over", 1.2, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
		{"over, one try", 1.5, 20 * ms, 2, 0, 0, 1, arrival.Poisson},
		{"far over", 2, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
	}
}

// requestRate returns the number of requests per second, without retries.
func (c Case) requestRate() float64 { return c.Load * float64(c.Cores) / c.MeanWork.Seconds() }

// requestCount returns the number of requests in a run of the duration, without retries.
func (c Case) requestCount(duration time.Duration) int {
	return int(duration.Seconds() * c.requestRate())
}

// arrivalConfig returns the arrival process, which is the same for the daemon and the simulation.
func (c Case) arrivalConfig() arrival.Config {
	return arrival.Config{
		Kind:          c.ArrivalKind,
		Rate:          c.requestRate(),
		BurstFactor:   1.8,
		BurstFraction: 0.2,
		MeanBurst:     2 * time.Second,
	}
}

const (
	// loopbackDelay is the time that a request takes on loopback in addition to its run. A request passes sockets four
	// times.
	loopbackDelay = 600 * time.Microsecond

	// interpreterIdle is the time for which a core of the interpreter is idle between the end of a run and the command for
	// the next. It follows from the interpreter's utilization of 0.989 in a load test at 1.5 times the capacity with runs of
	// 20 ms.
	interpreterIdle = 220 * time.Microsecond
)

// clusterConfig returns the configuration of the case for the simulation: one server with the settings of a load test.
func (c Case) clusterConfig(duration time.Duration) clustersim.Config {
	config := clustersim.DefaultConfig()
	config.Name = c.Name
	config.Duration = duration
	config.NetworkDelay = loopbackDelay / 2
	config.EndpointListDelay = 0
	config.ZipfExponent = 0
	config.Arrival = c.arrivalConfig()
	c.setServers(&config.Servers)
	for i := range config.Classes {
		config.Classes[i].MeanWork = c.MeanWork + interpreterIdle
		config.Classes[i].Distribution = clustersim.Exponential
	}
	config.Classes[0].Share, config.Classes[1].Share = 1-c.KeyedShare, c.KeyedShare
	config.Tenants = []clustersim.Tenant{
		{Name: "central", Share: 0.7, Quota: 55},
		{Name: "northern", Share: 0.3, Quota: 26},
	}
	config.Gateways = []clustersim.GatewayConfig{{
		Count:           3,
		Share:           1,
		Balancing:       clustersim.RoundRobin,
		Retry:           clustersim.RetryBackoff,
		MaxAttempts:     c.MaxAttempts,
		ResendShare:     c.ResendShare,
		NoClientTimeout: true,
	}}
	return config
}

// setServers configures the server of a load test. The module starts with two endpoints, because the settings of a load
// test name two servers. Reading a request takes no time, and cores don't thrash.
func (c Case) setServers(servers *clustersim.ServerConfig) {
	servers.Count = 1
	servers.InitialEndpoints = 2
	servers.Cores = c.Cores
	servers.SpeedCV = 0
	servers.ThrashFactor = 0
	servers.ReadCost = 0
	servers.MemoryKB = 40000
	servers.KeyKB = 50
	servers.RunningMemoryFactor = 16
	servers.RequestKB = [2]float64{24.5, 24.5}
	servers.DrainGracePeriod = 300 * time.Millisecond
	servers.MaxRetryAfter = time.Second
	servers.BacklogPerCore = 1 << 16
}
