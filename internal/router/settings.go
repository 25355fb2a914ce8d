package router

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/config"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/settings"
	"tillerusher/server"
)

// The settings of the decision module that a router's configuration can't change.
const (
	tick                 = 5 * time.Millisecond
	drainGracePeriod     = 300 * time.Millisecond
	maxRetryAfter        = time.Second
	callerIdleTimeout    = time.Minute
	lateWeight           = 0.5
	runningMemoryFactor  = 2
	maxConcurrencyFactor = 2
	keyKB                = 1
	// queueMemoryDivisor determines the memory for requests that are queued or at members: it is the memory limit divided
	// by queueMemoryDivisor.
	queueMemoryDivisor = 4
	// cores is the number of CPU cores that the router process may use.
	cores = 1
)

// gaugeNames are the names of the gauges, in the order of the values from backend.QueryGauges.
var gaugeNames = []string{"cpu_busy", "runnable"}

// classMapping maps a class of the routes to classes of the decision module, each of which has one effect.
type classMapping struct {
	safe, other int // indexes of the classes for safe and for other methods; equal if the method does not matter
	hasKey      bool
	atMostOnce  bool // requests of the class other must not run twice
}

// serverConfig returns the configuration of the server.
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

// siteSettings returns the settings of the decision module, and the mappings of the routes' classes to the module's classes,
// by class name. The capacity of the pools replaces the number of the interpreter's cores.
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

// addClass adds a class of the routes to the classes of the decision module. A class whose effect depends on the method
// becomes two classes.
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

// addModuleClass adds one class of the decision module and returns its index.
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
