package scenario

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

// Scenario describes a cluster, its load and its incidents. Shares are between 0 and 1. The JSON keys are printed by
// cataloguectl.
type Scenario struct {
	Name    string
	Purpose string `json:"Teaches"` // what a reader learns from it

	Duration time.Duration `json:"Length"` // of the load
	// Cooldown is the time without load before servers are probed. Kept idempotency keys count as memory, and may take all of it
	// until their window has passed.
	Cooldown time.Duration `json:"Calm"`

	Servers         int
	Cores           int           // of each server's interpreter
	MeanRunTime     time.Duration `json:"Work"` // core time of a run, drawn from an exponential distribution
	Rate            float64       // requests a second, over all servers
	IdempotentShare float64       `json:"Keyed"` // share of requests with an idempotency key

	Gateways        int
	MaxAttempts     int           `json:"Tries"`   // of one request, the first included
	RetryAfterShare float64       `json:"Heeds"`   // share of gateways that honor the server's retry-after advice
	RetryDelay      time.Duration `json:"Pause"`   // of the other gateways, and where there is no advice
	DuplicateShare  float64       `json:"Repeats"` // share of served requests with a key that are sent again
	HedgeShare      float64       `json:"Hedges"`  // share of attempts with a key that are sent again while they are in flight
	AbortShare      float64       `json:"Aborts"`  // share of attempts that their gateway aborts

	MaxOpenFiles int                  `json:"Files"` // descriptors of each server
	Network      simnet.NetworkConfig `json:"Net"`
	Incidents    []Incident
	Expect       Expectations
}

// Expectations are what a scenario's result must satisfy. The zero value of a field expects nothing.
type Expectations struct {
	MinServedShare float64 `json:"Share"`
	// MaxRecoveryTime runs from the end of the last incident until the share of requests served is back to 95 % of the share
	// before the first incident.
	MaxRecoveryTime time.Duration `json:"Recovered"`
}

// Defaults returns the values of what a scenario's file does not set.
func Defaults() Scenario {
	return Scenario{
		Duration:        20 * time.Second,
		Cooldown:        fake.IdempotencyWindow + 10*time.Second,
		Servers:         3,
		Cores:           2,
		MeanRunTime:     4 * time.Millisecond,
		Rate:            600,
		IdempotentShare: 0.2,
		Gateways:        4,
		MaxAttempts:     3,
		RetryAfterShare: 1,
		RetryDelay:      100 * time.Millisecond,
		DuplicateShare:  0.05,
		MaxOpenFiles:    serverDescriptors,
		Network: simnet.NetworkConfig{
			Delay:               50 * time.Microsecond,
			Jitter:              150 * time.Microsecond,
			PartialIO:           0.05,
			DatagramLoss:        0.01,
			DatagramDuplication: 0.01,
		},
	}
}

// String returns the one-line form that cataloguectl prints. Its names are those of the JSON keys.
func (s Scenario) String() string {
	incidents := make([]string, len(s.Incidents))
	for n, incident := range s.Incidents {
		incidents[n] = incident.String()
	}
	cluster := fmt.Sprintf("Name:%s Teaches:%s Length:%v Calm:%v Servers:%d Cores:%d Work:%v Rate:%v Keyed:%v", s.Name, s.Purpose,
		s.Duration, s.Cooldown, s.Servers, s.Cores, s.MeanRunTime, s.Rate, s.IdempotentShare)
	callers := fmt.Sprintf("Gateways:%d Tries:%d Heeds:%v Pause:%v Repeats:%v Hedges:%v Aborts:%v", s.Gateways, s.MaxAttempts,
		s.RetryAfterShare, s.RetryDelay, s.DuplicateShare, s.HedgeShare, s.AbortShare)
	network := fmt.Sprintf("Net:{Delay:%v Jitter:%v Partial:%v Lost:%v Doubled:%v}", s.Network.Delay, s.Network.Jitter,
		s.Network.PartialIO, s.Network.DatagramLoss, s.Network.DatagramDuplication)
	expect := fmt.Sprintf("Expect:{Share:%v Recovered:%v}", s.Expect.MinServedShare, s.Expect.MaxRecoveryTime)
	return fmt.Sprintf("{%s %s Files:%d %s Incidents:[%s] %s}", cluster, callers, s.MaxOpenFiles, network, strings.Join(incidents, " "),
		expect)
}
