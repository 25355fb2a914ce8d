package clustersim

import (
	"time"

	"tillerusher/internal/arrival"
)

// defaultMemoryKB is the memory of 18 running requests of mean size per core, on 6 cores. The mean size of a queued
// request is 38 KB, and a running request takes 16 times as much.
const defaultMemoryKB = 18 * 6 * 38 * 16

// DefaultConfig returns the middle of each range in the operators' brief, for a cluster of the size of the operators'
// own.
func DefaultConfig() Config {
	config := Config{
		Name:              "brief",
		Duration:          time.Minute,
		Servers:           defaultServers(),
		Classes:           defaultClasses(),
		Tenants:           defaultTenants(),
		Gateways:          defaultGateways(),
		Arrival:           arrival.Config{Kind: arrival.Poisson, Rate: 160},
		ResourceCount:     12000,
		ZipfExponent:      1.1,
		NetworkDelay:      3 * time.Millisecond,
		EndpointListDelay: 2 * time.Second,
	}
	config.SetLoad(1)
	return config
}

func defaultServers() ServerConfig {
	return ServerConfig{
		Count: 12,
		CoreConfig: CoreConfig{
			Cores:           6,
			Speed:           1,
			SpeedCV:         0.15,
			ThrashFactor:    0.7,
			ThrashThreshold: 1.35,
			ReadCost:        0.25,
		},
		MemoryConfig: MemoryConfig{
			MemoryKB:            defaultMemoryKB,
			KeyKB:               4,
			RequestKB:           [2]float64{12, 64},
			RunningMemoryFactor: 16,
		},
		WarmUpConfig:      WarmUpConfig{InitialCapacity: 0.35, WarmUpTime: 10 * time.Second},
		ConcurrencyConfig: ConcurrencyConfig{MaxConcurrencyFactor: 8, ConcurrencyWindow: 1500 * time.Millisecond},
		ShutdownConfig: ShutdownConfig{
			DrainGracePeriod: 2 * time.Second,
			DrainTimeout:     8 * time.Second,
			RestartDelay:     6 * time.Second,
		},
		BacklogPerCore:      128,
		Tick:                5 * time.Millisecond,
		FeedbackTTL:         time.Second,
		MaxRetryAfter:       time.Second,
		ResponseTolerance:   60 * time.Millisecond,
		HealthCheckInterval: 2 * time.Second,
		CallerIdleTimeout:   15 * time.Second,
		OverQuotaWeight:     0.1,
	}
}

func defaultClasses() []Class {
	return []Class{
		{
			Name:             "part-lookup",
			Share:            0.65,
			MeanWork:         240 * time.Millisecond,
			Distribution:     LogNormal,
			CV:               0.8,
			LatencyObjective: 1400 * time.Millisecond,
			Deadline:         3700 * time.Millisecond,
			Weight:           1,
		},
		{
			Name:             "stock-reserve",
			Share:            0.35,
			MeanWork:         400 * time.Millisecond,
			Distribution:     LogNormal,
			CV:               0.85,
			LatencyObjective: 2400 * time.Millisecond,
			Deadline:         6100 * time.Millisecond,
			Weight:           2,
			LateWeight:       0.2,
			IdempotentByKey:  true,
			KeyWindow:        18354 * time.Millisecond,
		},
	}
}

func defaultTenants() []Tenant {
	return []Tenant{
		{Name: "central", Share: 0.34},
		{Name: "southern", Share: 0.34},
		{Name: "northern", Share: 0.16},
		{Name: "east-coast", Share: 0.16},
	}
}

func defaultGateways() []GatewayConfig {
	return []GatewayConfig{
		{Count: 2, Share: 0.5, Balancing: RoundRobin, Retry: RetryUnbounded, MaxAttempts: 4, HonorsFeedback: true},
		{Count: 2, Share: 0.5, Balancing: ResourceHash, Retry: RetryUnbounded, MaxAttempts: 4, HonorsFeedback: true},
	}
}
