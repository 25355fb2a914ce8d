package router

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/config"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/settings"
	"tillerusher/server"
)

// The settings of the decision module that the configuration of a router does not have.
const (
	tick                 = 5 * time.Millisecond
	drainGracePeriod     = 300 * time.Millisecond
	maxRetryAfter        = time.Second
	callerIdleTimeout    = time.Minute
	lateWeight           = 0.5
	runningMemoryFactor  = 2
	maxConcurrencyFactor = 2
	keyKB                = 1
	// queueMemoryDivisor: the memory limit divided by it is for requests that are queued or at members.
	queueMemoryDivisor = 4
	// cores is how many cores the process itself may use.
	cores = 1
)

// gaugeNames are the gauges, in the order of backend.QueryGauges.
var gaugeNames = []string{"cpu_busy", "runnable"}

// classMapping maps a class of the routes to those of the module, which have one effect each.
type classMapping struct {
	safe, other int // by the request's method; equal where the method does not matter
	hasKey      bool
	atMostOnce  bool // requests of the class other must not run twice
}

// serverConfig returns the configuration of the core.
func serverConfig(cfg *Config, site *settings.Site) *server.Config {
	core := &server.Config{
		Name:        cfg.Name,
		Listen:      cfg.Listen,
		StopTimeout: cfg.StopTimeout,
		Limits:      config.Limits{Cores: cores, MemoryMB: cfg.MemoryMB, Sockets: cfg.Sockets},
		Settings:    site,
	}
	if cfg.Operator != nil {
		core.Capture = cfg.Operator.Capture
	}
	return core
}

// siteSettings returns the settings of the module, and the mapping of the routes' classes to its own. The capacity of
// the pools takes the place of the interpreter's cores.
func siteSettings(cfg *Config) (*settings.Site, map[string]classMapping) {
	site := &settings.Site{GaugeNames: gaugeNames}
	site.Admission = admission.Settings{
		Servers:              1,
		Callers:              1,
		Cores:                cfg.Routes.Capacity,
		IndependentRuns:      true,
		Tick:                 tick,
		MemoryKB:             float64(cfg.MemoryMB<<10) / queueMemoryDivisor,
		KeyKB:                keyKB,
		RunningMemoryFactor:  runningMemoryFactor,
		MaxConcurrencyFactor: maxConcurrencyFactor,
		DrainGracePeriod:     drainGracePeriod,
		StopMode:             admission.StopDiscard,
		MaxRetryAfter:        maxRetryAfter,
		CallerIdleTimeout:    callerIdleTimeout,
	}
	classes := map[string]classMapping{}
	for _, class := range cfg.Routes.Classes {
		classes[class.Name] = addClass(site, class)
	}
	return site, classes
}

// addClass adds a class of the routes to the module's: two where the effect depends on the method.
func addClass(site *settings.Site, class routeconfig.Class) classMapping {
	switch class.Effect {
	case routeconfig.EffectSafe:
		index := addModuleClass(site, class, class.Name, admission.Safe)
		return classMapping{safe: index, other: index}
	case routeconfig.EffectByMethod:
		safe := addModuleClass(site, class, class.Name+" (reads)", admission.Safe)
		other := addModuleClass(site, class, class.Name+" (writes)", admission.NonIdempotent)
		return classMapping{safe: safe, other: other, atMostOnce: true}
	case routeconfig.EffectIdempotentByKey:
		index := addModuleClass(site, class, class.Name, admission.IdempotentByKey)
		return classMapping{safe: index, other: index, atMostOnce: true, hasKey: true}
	default:
		index := addModuleClass(site, class, class.Name, admission.NonIdempotent)
		return classMapping{safe: index, other: index, atMostOnce: true}
	}
}

// addModuleClass adds one class with one effect and returns its index.
func addModuleClass(site *settings.Site, class routeconfig.Class, name string, effect admission.Effect) int {
	site.ClassNames = append(site.ClassNames, name)
	site.Admission.Classes = append(site.Admission.Classes, admission.Class{
		LatencyObjective: class.LatencyObjective,
		Deadline:         class.Deadline,
		Weight:           class.Weight,
		LateWeight:       lateWeight,
		Effect:           effect,
		KeyWindow:        class.KeyWindow,
	})
	return len(site.ClassNames) - 1
}
