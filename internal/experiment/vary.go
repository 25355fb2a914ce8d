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

// variables are what of a world can be varied, by name. Those of incidents are KIND.part, KIND.size and KIND.for, and make
// the incident where the world has none of the kind.
func variables() map[string]func(*clustersim.World, float64) {
	whole := func(v float64) int { return int(math.Round(v)) }
	seconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	gateways := func(set func(*clustersim.Gateway, float64)) func(*clustersim.World, float64) {
		return func(w *clustersim.World, v float64) {
			for i := range w.Callers {
				set(&w.Callers[i], v)
			}
		}
	}
	return map[string]func(*clustersim.World, float64){
		"load": func(w *clustersim.World, v float64) { w.Load(v) },
		"servers": func(w *clustersim.World, v float64) {
			load := w.Arrival.Rate / w.Capacity()
			w.Servers.N = whole(v)
			w.Load(load)
		},
		"cores": func(w *clustersim.World, v float64) {
			load := w.Arrival.Rate / w.Capacity()
			w.Servers.Cores = whole(v)
			w.Load(load)
		},
		"speed-spread": func(w *clustersim.World, v float64) { w.Servers.SpeedCV = v },
		"thrash":       func(w *clustersim.World, v float64) { w.Servers.Thrash = v },
		"thrash-at":    func(w *clustersim.World, v float64) { w.Servers.ThrashAt = v },
		"read":         func(w *clustersim.World, v float64) { w.Servers.Read = v },
		"cold-share":   func(w *clustersim.World, v float64) { w.Servers.ColdShare = v },
		"cold-for":     func(w *clustersim.World, v float64) { w.Servers.ColdFor = seconds(v) },
		"retry-after":  func(w *clustersim.World, v float64) { w.Servers.RetryAfter = seconds(v) },
		"list-delay":   func(w *clustersim.World, v float64) { w.ListDelay = seconds(v) },
		"delay":        func(w *clustersim.World, v float64) { w.Delay = seconds(v) },
		"skew":         func(w *clustersim.World, v float64) { w.Skew = v },
		"tries":        gateways(func(g *clustersim.Gateway, v float64) { g.Tries = whole(v) }),
		"budget":       gateways(func(g *clustersim.Gateway, v float64) { g.Budget = v }),
		"work-spread": func(w *clustersim.World, v float64) {
			for i := range w.Classes {
				w.Classes[i].CV = v
			}
		},
		"keyed": func(w *clustersim.World, v float64) {
			for i := range w.Classes {
				if w.Classes[i].Keyed {
					w.Classes[i].Share = v
				} else {
					w.Classes[i].Share = 1 - v
				}
			}
		},
	}
}

// setter is what varies a variable.
func setter(name string) (func(*clustersim.World, float64), error) {
	if set, ok := variables()[name]; ok {
		return set, nil
	}
	kind, field, _ := strings.Cut(name, ".")
	example := clustersim.Incident{What: clustersim.What(kind), From: time.Second, For: time.Second, Part: 0.1, Size: 1}
	if !slices.Contains([]string{"part", "size", "for", "from"}, field) || !example.Known() {
		return nil, fmt.Errorf("nothing is called %q that could be varied, want one of %s, or KIND.part, KIND.size, KIND.for or KIND.from of an incident",
			name, strings.Join(slices.Sorted(maps.Keys(variables())), ", "))
	}
	return func(w *clustersim.World, v float64) {
		i := slices.IndexFunc(w.Incidents, func(i clustersim.Incident) bool { return string(i.What) == kind })
		if i < 0 {
			example.From, example.For = w.For/4, w.For/4
			w.Incidents = append(slices.Clone(w.Incidents), example)
			i = len(w.Incidents) - 1
		} else {
			w.Incidents = slices.Clone(w.Incidents)
		}
		switch at := &w.Incidents[i]; field {
		case "part":
			at.Part = v
		case "size":
			at.Size = v
		case "for":
			at.For = time.Duration(v * float64(time.Second))
		case "from":
			at.From = time.Duration(v * float64(time.Second))
		}
	}, nil
}
