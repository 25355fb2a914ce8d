package scenario

import (
	"math/rand/v2"
	"time"

	"tillerusher/internal/simnet"
)

// generatorStream is the second seed of the generator's random numbers. It makes them independent of the random numbers that
// the scenario's run draws from the same seed.
const generatorStream = 0xda7

// The range of the generated descriptor limits: from minGeneratedFiles up to but excluding
// minGeneratedFiles+generatedFilesSpan. Near these limits, a server has to close idle connections.
const (
	minGeneratedFiles  = 340
	generatedFilesSpan = 30
)

// generatedKinds are the kinds of incidents from which Generate chooses. LinkLoss is twice as likely as any other.
var generatedKinds = []IncidentKind{Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload, MachinePause, SlowReaders,
	ConnectionResets, MalformedInput, LinkLoss, LinkLoss, ConnectionFlood}

// Generate returns a short scenario with network faults and incidents, which the seed determines. Changing the order of the
// random draws changes the scenario of every known seed.
func Generate(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, generatorStream))
	scenario := Defaults()
	scenario.Name = "drawn"
	scenario.Duration = time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	scenario.Servers = 1 + rng.IntN(2)
	scenario.Gateways = 1 + rng.IntN(3)
	scenario.MaxAttempts = 1 + rng.IntN(4)
	scenario.Rate = 50 + 500*rng.Float64()
	scenario.IdempotentShare = rng.Float64()
	scenario.RetryAfterShare = float64(rng.IntN(2))
	scenario.MeanRunTime = time.Duration(1+rng.IntN(20)) * time.Millisecond
	scenario.Network = generateNetwork(rng)
	scenario.DuplicateShare = rng.Float64() * 0.5
	scenario.HedgeShare = rng.Float64() * 0.2
	scenario.AbortShare = rng.Float64() * 0.05
	if rng.IntN(3) == 0 {
		scenario.MaxOpenFiles = minGeneratedFiles + rng.IntN(generatedFilesSpan)
	}
	for range 1 + rng.IntN(6) {
		scenario.Incidents = append(scenario.Incidents, generateIncident(rng, &scenario))
	}
	return &scenario
}

// generateNetwork draws the delays and faults of the network.
func generateNetwork(rng *rand.Rand) simnet.NetworkConfig {
	return simnet.NetworkConfig{
		Delay:               time.Duration(rng.IntN(500)) * time.Microsecond,
		Jitter:              time.Duration(rng.IntN(2000)) * time.Microsecond,
		PartialIO:           rng.Float64() * 0.5,
		DatagramLoss:        rng.Float64() * 0.1,
		DatagramDuplication: rng.Float64() * 0.1,
	}
}

// generateIncident draws an incident for a scenario whose duration and number of servers are set.
func generateIncident(rng *rand.Rand, scenario *Scenario) Incident {
	return Incident{
		Kind:     generatedKinds[rng.IntN(len(generatedKinds))],
		At:       time.Duration(rng.Int64N(int64(scenario.Duration))),
		Duration: time.Duration(rng.Int64N(int64(1500 * time.Millisecond))),
		Server:   rng.IntN(scenario.Servers + 1),
		Factor:   0.5 + 4*rng.Float64(),
	}
}
