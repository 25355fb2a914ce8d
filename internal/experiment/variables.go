package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"tillerusher/internal/clustersim"
)

// variableSetters are what of a world can be varied, by name. Those of incidents are KIND.part, KIND.size and KIND.for, and make
// the incident where the world has none of the kind.
func variableSetters() map[string]func(*clustersim.Config, float64) {
	whole := func(v float64) int { return int(math.Round(v)) }
	seconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	gateways := func(set func(*clustersim.GatewayConfig, float64)) func(*clustersim.Config, float64) {
		return func(w *clustersim.Config, v float64) {
			for i := range w.Gateways {
				set(&w.Gateways[i], v)
			}
		}
	}
	return map[string]func(*clustersim.Config, float64){
		"load": func(w *clustersim.Config, v float64) { w.SetLoad(v) },
		"servers": func(w *clustersim.Config, v float64) {
			load := w.Arrival.Rate / w.Capacity()
			w.Servers.Count = whole(v)
			w.SetLoad(load)
		},
		"cores": func(w *clustersim.Config, v float64) {
			load := w.Arrival.Rate / w.Capacity()
			w.Servers.Cores = whole(v)
			w.SetLoad(load)
		},
		"speed-spread": func(w *clustersim.Config, v float64) { w.Servers.SpeedCV = v },
		"thrash":       func(w *clustersim.Config, v float64) { w.Servers.ThrashFactor = v },
		"thrash-at":    func(w *clustersim.Config, v float64) { w.Servers.ThrashThreshold = v },
		"read":         func(w *clustersim.Config, v float64) { w.Servers.ReadCost = v },
		"cold-share":   func(w *clustersim.Config, v float64) { w.Servers.InitialCapacity = v },
		"cold-for":     func(w *clustersim.Config, v float64) { w.Servers.WarmUpTime = seconds(v) },
		"retry-after":  func(w *clustersim.Config, v float64) { w.Servers.MaxRetryAfter = seconds(v) },
		"list-delay":   func(w *clustersim.Config, v float64) { w.EndpointListDelay = seconds(v) },
		"delay":        func(w *clustersim.Config, v float64) { w.NetworkDelay = seconds(v) },
		"skew":         func(w *clustersim.Config, v float64) { w.Skew = v },
		"tries":        gateways(func(g *clustersim.GatewayConfig, v float64) { g.MaxAttempts = whole(v) }),
		"budget":       gateways(func(g *clustersim.GatewayConfig, v float64) { g.RetryBudget = v }),
		"work-spread": func(w *clustersim.Config, v float64) {
			for i := range w.Classes {
				w.Classes[i].CV = v
			}
		},
		"keyed": func(w *clustersim.Config, v float64) {
			for i := range w.Classes {
				if w.Classes[i].IdempotentByKey {
					w.Classes[i].Share = v
				} else {
					w.Classes[i].Share = 1 - v
				}
			}
		},
	}
}

// findSetter is what varies a variable.
func findSetter(name string) (func(*clustersim.Config, float64), error) {
	if set, ok := variableSetters()[name]; ok {
		return set, nil
	}
	kind, field, _ := strings.Cut(name, ".")
	example := clustersim.Incident{Kind: clustersim.IncidentKind(kind), Start: time.Second, Duration: time.Second, ServerShare: 0.1, Magnitude: 1}
	if !slices.Contains([]string{"part", "size", "for", "from"}, field) || !example.IsKnown() {
		return nil, fmt.Errorf("nothing is called %q that could be varied, want one of %s, or KIND.part, KIND.size, KIND.for or KIND.from of an incident",
			name, strings.Join(slices.Sorted(maps.Keys(variableSetters())), ", "))
	}
	return func(w *clustersim.Config, v float64) {
		i := slices.IndexFunc(w.Incidents, func(i clustersim.Incident) bool { return string(i.Kind) == kind })
		if i < 0 {
			example.Start, example.Duration = w.Duration/4, w.Duration/4
			w.Incidents = append(slices.Clone(w.Incidents), example)
			i = len(w.Incidents) - 1
		} else {
			w.Incidents = slices.Clone(w.Incidents)
		}
		switch at := &w.Incidents[i]; field {
		case "part":
			at.ServerShare = v
		case "size":
			at.Magnitude = v
		case "for":
			at.Duration = time.Duration(v * float64(time.Second))
		case "from":
			at.Start = time.Duration(v * float64(time.Second))
		}
	}, nil
}
