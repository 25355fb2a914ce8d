package scenario

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

// Scenario describes a cluster, its load and its incidents. Shares are between 0 and 1. cataloguectl prints the JSON keys.
type Scenario struct {
	Name    string
	Purpose string `json:"Teaches"` // what the scenario demonstrates

	Duration time.Duration `json:"Length"` // of the load
	// Cooldown is the time without load before servers are probed. Remembered idempotency keys count against a server's memory
	// and may use all of it until their window has passed.
	Cooldown time.Duration `json:"Calm"`

	Servers         int
	Cores           int           // of each server's interpreter
	MeanRunTime     time.Duration `json:"Work"` // core time of a run, drawn from an exponential distribution
	Rate            float64       // requests per second to all servers together
	IdempotentShare float64       `json:"Keyed"` // share of requests with an idempotency key

	Gateways        int
	MaxAttempts     int           `json:"Tries"`   // maximum number of attempts of a request, including the first
	RetryAfterShare float64       `json:"Heeds"`   // share of gateways that honor the server's retry-after advice
	RetryDelay      time.Duration `json:"Pause"`   // retry delay without such advice, and of gateways that do not honor it
	DuplicateShare  float64       `json:"Repeats"` // share of served attempts with a key whose requests are sent again
	HedgeShare      float64       `json:"Hedges"`  // share of attempts with a key that are sent again while they are in flight
	AbortShare      float64       `json:"Aborts"`  // share of attempts that their gateway aborts

	MaxOpenFiles int                  `json:"Files"` // maximum number of open descriptors of each server
	Network      simnet.NetworkConfig `json:"Net"`
	Incidents    []Incident
	Expect       Expectations
}

// Expectations are conditions that a scenario's result must meet. A zero field is no condition.
type Expectations struct {
	MinServedShare float64 `json:"Share"`
	// MaxRecoveryTime is the maximum time from the end of the last incident until the share of requests served is back to
	// 95 % of the share before the first incident.
	MaxRecoveryTime time.Duration `json:"Recovered"`
}

// Defaults returns a scenario with the values that apply where a file does not set them.
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

// String returns the one-line form that cataloguectl prints, with the names of the JSON keys.
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
