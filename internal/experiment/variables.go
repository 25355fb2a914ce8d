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

// applyFunc sets a variable of a configuration to a value.
type applyFunc func(*clustersim.Config, float64)

// toInt rounds the value of a variable to the nearest integer.
func toInt(v float64) int { return int(math.Round(v)) }

// toSeconds converts the value of a variable, in seconds, to a duration.
func toSeconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// applyToGateways returns a function that sets a variable of all kinds of gateway.
func applyToGateways(apply func(*clustersim.GatewayConfig, float64)) applyFunc {
	return func(c *clustersim.Config, v float64) {
		for i := range c.Gateways {
			apply(&c.Gateways[i], v)
		}
	}
}

// atConstantLoad returns a function that sets a variable that affects the capacity, and keeps the load relative to the
// capacity.
func atConstantLoad(apply applyFunc) applyFunc {
	return func(c *clustersim.Config, v float64) {
		load := c.Arrival.Rate / c.Capacity()
		apply(c, v)
		c.SetLoad(load)
	}
}

// setWorkSpread sets the coefficient of variation of the work of all classes.
func setWorkSpread(c *clustersim.Config, v float64) {
	for i := range c.Classes {
		c.Classes[i].CV = v
	}
}

// setKeyedShare sets the share of each class that is idempotent by key to v, and of each other class to 1 - v.
func setKeyedShare(c *clustersim.Config, v float64) {
	for i := range c.Classes {
		if c.Classes[i].IdempotentByKey {
			c.Classes[i].Share = v
		} else {
			c.Classes[i].Share = 1 - v
		}
	}
}

// applyFuncs returns the functions that set the variables of a configuration, by the names that files use. It doesn't have
// the variables of incidents, see findIncidentVariable.
func applyFuncs() map[string]applyFunc {
	return map[string]applyFunc{
		"load":         func(c *clustersim.Config, v float64) { c.SetLoad(v) },
		"servers":      atConstantLoad(func(c *clustersim.Config, v float64) { c.Servers.Count = toInt(v) }),
		"cores":        atConstantLoad(func(c *clustersim.Config, v float64) { c.Servers.Cores = toInt(v) }),
		"speed-spread": func(c *clustersim.Config, v float64) { c.Servers.SpeedCV = v },
		"thrash":       func(c *clustersim.Config, v float64) { c.Servers.ThrashFactor = v },
		"thrash-at":    func(c *clustersim.Config, v float64) { c.Servers.ThrashThreshold = v },
		"read":         func(c *clustersim.Config, v float64) { c.Servers.ReadCost = v },
		"cold-share":   func(c *clustersim.Config, v float64) { c.Servers.InitialCapacity = v },
		"cold-for":     func(c *clustersim.Config, v float64) { c.Servers.WarmUpTime = toSeconds(v) },
		"retry-after":  func(c *clustersim.Config, v float64) { c.Servers.MaxRetryAfter = toSeconds(v) },
		"list-delay":   func(c *clustersim.Config, v float64) { c.EndpointListDelay = toSeconds(v) },
		"delay":        func(c *clustersim.Config, v float64) { c.NetworkDelay = toSeconds(v) },
		"skew":         func(c *clustersim.Config, v float64) { c.ZipfExponent = v },
		"tries":        applyToGateways(func(g *clustersim.GatewayConfig, v float64) { g.MaxAttempts = toInt(v) }),
		"budget":       applyToGateways(func(g *clustersim.GatewayConfig, v float64) { g.RetryBudget = v }),
		"work-spread":  setWorkSpread,
		"keyed":        setKeyedShare,
	}
}

// incidentFields are the functions that set the variables of incidents, by the names that files use after the kind and a
// dot.
var incidentFields = map[string]func(*clustersim.Incident, float64){
	"part": func(i *clustersim.Incident, v float64) { i.ServerShare = v },
	"size": func(i *clustersim.Incident, v float64) { i.Magnitude = v },
	"for":  func(i *clustersim.Incident, v float64) { i.Duration = toSeconds(v) },
	"from": func(i *clustersim.Incident, v float64) { i.Start = toSeconds(v) },
}

// findVariable returns the function that sets the variable with the name.
func findVariable(name string) (applyFunc, error) {
	variables := applyFuncs()
	if apply, ok := variables[name]; ok {
		return apply, nil
	}
	if apply, ok := findIncidentVariable(name); ok {
		return apply, nil
	}
	return nil, fmt.Errorf("no variable is called %q, want one of %s, "+
		"or KIND.part, KIND.size, KIND.for or KIND.from of an incident", name, strings.Join(slices.Sorted(maps.Keys(variables)), ", "))
}

// Defaults of an incident that findIncidentVariable adds. The variable then sets one of its fields.
const (
	addedServerShare = 0.1
	addedMagnitude   = 1
	addedTimeDivisor = 4 // the incident starts after a quarter of the run and lasts for a quarter
)

// findIncidentVariable returns the function that sets a variable KIND.FIELD of the first incident of the kind. The function
// adds an incident to a configuration that has none of the kind.
func findIncidentVariable(name string) (apply applyFunc, ok bool) {
	kind, field, _ := strings.Cut(name, ".")
	added := clustersim.Incident{Kind: clustersim.IncidentKind(kind), ServerShare: addedServerShare, Magnitude: addedMagnitude}
	set := incidentFields[field]
	if set == nil || !added.IsKnown() {
		return nil, false
	}
	return func(c *clustersim.Config, v float64) {
		c.Incidents = slices.Clone(c.Incidents) // other configurations of the plan share the slice
		i := slices.IndexFunc(c.Incidents, func(i clustersim.Incident) bool { return i.Kind == added.Kind })
		if i < 0 {
			incident := added
			incident.Start = c.Duration / addedTimeDivisor
			incident.Duration = c.Duration / addedTimeDivisor
			c.Incidents = append(c.Incidents, incident)
			i = len(c.Incidents) - 1
		}
		set(&c.Incidents[i], v)
	}, true
}
