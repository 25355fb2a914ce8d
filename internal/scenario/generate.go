package scenario

import (
	"math/rand/v2"
	"time"

	"tillerusher/internal/simnet"
)

// generatorStream separates the generator's random numbers from those of the run with the same seed.
const generatorStream = 0xda7

// The smallest generated limit of descriptors, near which a server has to close idle connections.
const (
	minGeneratedFiles  = 340
	generatedFilesSpan = 30
)

// generatedKinds are the kinds of incidents that Generate chooses from. LinkLoss is twice as likely as the others.
var generatedKinds = []IncidentKind{Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload, MachinePause, SlowReaders,
	ConnectionResets, MalformedInput, LinkLoss, LinkLoss, ConnectionFlood}

// Generate returns a short scenario with network faults and incidents that a seed determines. The order of the draws is part of
// that: a change makes every known seed another scenario.
func Generate(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, generatorStream))
	s := Defaults()
	s.Name = "drawn"
	s.Duration = time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	s.Servers = 1 + rng.IntN(2)
	s.Gateways = 1 + rng.IntN(3)
	s.MaxAttempts = 1 + rng.IntN(4)
	s.Rate = 50 + 500*rng.Float64()
	s.IdempotentShare = rng.Float64()
	s.RetryAfterShare = float64(rng.IntN(2))
	s.MeanRunTime = time.Duration(1+rng.IntN(20)) * time.Millisecond
	s.Network = generateNetwork(rng)
	s.DuplicateShare = rng.Float64() * 0.5
	s.HedgeShare = rng.Float64() * 0.2
	s.AbortShare = rng.Float64() * 0.05
	if rng.IntN(3) == 0 {
		s.MaxOpenFiles = minGeneratedFiles + rng.IntN(generatedFilesSpan)
	}
	for range 1 + rng.IntN(6) {
		s.Incidents = append(s.Incidents, generateIncident(rng, &s))
	}
	return &s
}

// generateNetwork draws the network's behavior.
func generateNetwork(rng *rand.Rand) simnet.NetworkConfig {
	return simnet.NetworkConfig{
		Delay:               time.Duration(rng.IntN(500)) * time.Microsecond,
		Jitter:              time.Duration(rng.IntN(2000)) * time.Microsecond,
		PartialIO:           rng.Float64() * 0.5,
		DatagramLoss:        rng.Float64() * 0.1,
		DatagramDuplication: rng.Float64() * 0.1,
	}
}

// generateIncident draws an incident of a scenario.
func generateIncident(rng *rand.Rand, s *Scenario) Incident {
	return Incident{
		Kind:     generatedKinds[rng.IntN(len(generatedKinds))],
		At:       time.Duration(rng.Int64N(int64(s.Duration))),
		Duration: time.Duration(rng.Int64N(int64(1500 * time.Millisecond))),
		Server:   rng.IntN(s.Servers + 1),
		Factor:   0.5 + 4*rng.Float64(),
	}
}
