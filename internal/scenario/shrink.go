package scenario

import (
	"slices"
	"time"
)

// Shrink does not reduce the rate and the duration of a scenario further once they are at or below these values.
const (
	minShrunkRate     = 2
	minShrunkDuration = 2 * time.Second
)

// Shrink reduces a scenario as long as it still violates a rule with the seed. It removes incidents, servers, gateways,
// attempts, network faults, load and time. The result is a local minimum.
func Shrink(scenario *Scenario, seed uint64) (*Scenario, error) {
	smallest := scenario.clone()
	for {
		smaller, err := findViolation(smallerVariants(smallest), seed)
		if err != nil {
			return nil, err
		}
		if smaller == nil {
			return smallest, nil
		}
		smallest = smaller
	}
}

// findViolation returns the first scenario of the list that violates a rule with the seed, or nil if there is none.
func findViolation(list []*Scenario, seed uint64) (*Scenario, error) {
	for _, s := range list {
		report, err := Run(s, seed)
		if err != nil {
			return nil, err
		}
		if report.HasViolations() {
			return s, nil
		}
	}
	return nil, nil
}

// clone returns a copy that does not share its list of incidents.
func (s *Scenario) clone() *Scenario {
	c := *s
	c.Incidents = slices.Clone(s.Incidents)
	return &c
}

// smallerVariants returns the scenarios that are one step smaller than the scenario.
func smallerVariants(scenario *Scenario) []*Scenario {
	var list []*Scenario
	add := func(change func(smaller *Scenario)) {
		smaller := scenario.clone()
		change(smaller)
		list = append(list, smaller)
	}
	for n := range scenario.Incidents {
		add(func(smaller *Scenario) { smaller.Incidents = slices.Delete(smaller.Incidents, n, n+1) })
	}
	if scenario.Servers > 1 {
		add((*Scenario).useOneServer)
	}
	if scenario.Gateways > 1 {
		add(func(smaller *Scenario) { smaller.Gateways = 1 })
	}
	if scenario.MaxAttempts > 1 {
		add(func(smaller *Scenario) { smaller.MaxAttempts-- })
	}
	if scenario.Network.PartialIO+scenario.Network.DatagramLoss+scenario.Network.DatagramDuplication > 0 {
		add(func(smaller *Scenario) {
			smaller.Network.PartialIO = 0
			smaller.Network.DatagramLoss = 0
			smaller.Network.DatagramDuplication = 0
		})
	}
	if scenario.Rate > minShrunkRate {
		add(func(smaller *Scenario) { smaller.Rate /= 2 })
	}
	if scenario.Duration > minShrunkDuration {
		add(func(smaller *Scenario) { smaller.Duration -= time.Second })
	}
	return list
}

// useOneServer removes all servers except the first, and moves all incidents to it.
func (s *Scenario) useOneServer() {
	s.Servers = 1
	for n := range s.Incidents {
		s.Incidents[n].Server = min(s.Incidents[n].Server, 1)
	}
}
