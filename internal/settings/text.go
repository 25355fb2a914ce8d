package settings

import (
	"time"

	"tillerusher/admission"
)

// settingsText mirrors the JSON object with a site's settings, as in the simulator's attach event. The simulator and the
// operators define its keys. Only this file maps the keys to the names used in the code.
//
// Errors of encoding/json quote the names of struct types, and operators see these errors. Therefore this type keeps its
// name, and the types of its parts are aliases of unnamed types.
type settingsText struct {
	Servers *int          `json:"servers"`
	Tick    time.Duration `json:"tick-ns"`
	Classes []classText   `json:"lanes"`
	Tenants []tenantText  `json:"realms"`
	Server  serverText    `json:"family-info"`
	Limits  limitsText    `json:"limits"`
	Rules   rulesText     `json:"obligations"`
}

// classText mirrors an entry of lanes: a class of requests.
type classText = struct {
	LatencyObjective time.Duration `json:"on-time-ns"`
	ObjectiveStretch float64       `json:"aim-stretch"`
	Deadline         time.Duration `json:"hard-limit-ns"`
	Weight           float64       `json:"worth"`
	LateWeight       float64       `json:"late-worth"`
	Effect           string        `json:"repeat"`
	KeyWindow        time.Duration `json:"repeat-window-ns"`
	Name             string        `json:"name"`
}

// tenantText mirrors an entry of realms: a tenant.
type tenantText = struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota-per-s"`
}

// serverText mirrors family-info: the properties and supported features of the servers.
type serverText = struct {
	Downstream            string        `json:"below"`
	Callers               int           `json:"callers"`
	CallerIdleTimeout     time.Duration `json:"caller-idle-ns"`
	CallAveragingTime     time.Duration `json:"calls-over-ns"`
	SkippedCallWeights    []float64     `json:"class-skip-worth"` // by class index; may be shorter than the list of classes
	WarmingUp             bool          `json:"cold"`
	Cores                 int           `json:"cores"`
	FairCallShare         float64       `json:"fair-calls"`
	ResultFreshness       time.Duration `json:"fresh-ns"`
	Gauges                []string      `json:"gauges"`
	KeyKB                 float64       `json:"key-kb"`
	MemoryKB              float64       `json:"memory-kb"`
	HasDeadlines          bool          `json:"passes-deadline"`
	RunningMemoryFactor   float64       `json:"run-factor"`
	Feedback              string        `json:"say"`
	AbandonedCallDuration time.Duration `json:"stays-for-ns"`
	StopMode              string        `json:"stop-mode"`
}

// limitsText mirrors limits: the retry delays that callers honour.
type limitsText = struct {
	MaxRetryAfter time.Duration `json:"max-retry-after-ns"`
	RetryAfter    bool          `json:"retry-after"`
}

// rulesText mirrors obligations: limits that every server of the fleet must observe.
type rulesText = struct {
	WarmUpTime           time.Duration `json:"cold-ns"`
	InitialCapacity      float64       `json:"cold-share"`
	DrainGracePeriod     time.Duration `json:"drain-grace-ns"`
	MaxConcurrencyFactor float64       `json:"overload-factor"`
}

// site translates the settings. Servers must not be nil.
func (t *settingsText) site() (*Site, error) {
	site := &Site{GaugeNames: t.Server.Gauges, Admission: t.numbers()}
	for _, tenant := range t.Tenants {
		site.Admission.Tenants = append(site.Admission.Tenants, admission.Tenant{Quota: tenant.Quota})
		site.TenantNames = append(site.TenantNames, tenant.Name)
	}
	for i, class := range t.Classes {
		translated, err := translateClass(class)
		if err != nil {
			return nil, err
		}
		if i < len(t.Server.SkippedCallWeights) {
			translated.SkippedCallWeight = t.Server.SkippedCallWeights[i]
		}
		site.Admission.Classes = append(site.Admission.Classes, translated)
		site.ClassNames = append(site.ClassNames, class.Name)
	}
	if err := translateEnums(t.Server, &site.Admission); err != nil {
		return nil, err
	}
	return site, nil
}

// numbers returns the settings that are copied without translation: numbers, durations and flags.
func (t *settingsText) numbers() admission.Settings {
	settings := admission.Settings{
		Servers:               *t.Servers,
		Callers:               t.Server.Callers,
		Cores:                 t.Server.Cores,
		Tick:                  t.Tick,
		WarmingUp:             t.Server.WarmingUp,
		InitialCapacity:       t.Rules.InitialCapacity,
		WarmUpTime:            t.Rules.WarmUpTime,
		MemoryKB:              t.Server.MemoryKB,
		KeyKB:                 t.Server.KeyKB,
		RunningMemoryFactor:   t.Server.RunningMemoryFactor,
		MaxConcurrencyFactor:  t.Rules.MaxConcurrencyFactor,
		DrainGracePeriod:      t.Rules.DrainGracePeriod,
		FairCallShare:         t.Server.FairCallShare,
		CallAveragingTime:     t.Server.CallAveragingTime,
		AbandonedCallDuration: t.Server.AbandonedCallDuration,
		ResultFreshness:       t.Server.ResultFreshness,
		HasDeadlines:          t.Server.HasDeadlines,
		CallerIdleTimeout:     t.Server.CallerIdleTimeout,
	}
	if t.Limits.RetryAfter {
		settings.MaxRetryAfter = t.Limits.MaxRetryAfter
	}
	return settings
}

// translateClass translates a class, except for SkippedCallWeight.
func translateClass(class classText) (admission.Class, error) {
	effect, err := lookup("lanes[].repeat", class.Effect, effects)
	return admission.Class{
		LatencyObjective: class.LatencyObjective,
		ObjectiveStretch: class.ObjectiveStretch,
		Deadline:         class.Deadline,
		Weight:           class.Weight,
		LateWeight:       class.LateWeight,
		Effect:           effect,
		KeyWindow:        class.KeyWindow,
	}, err
}

// translateEnums translates the enumerated settings of a server.
func translateEnums(server serverText, to *admission.Settings) (err error) {
	if to.StopMode, err = lookup("family-info.stop-mode", server.StopMode, stopModes); err != nil {
		return err
	}
	if to.Downstream, err = lookup("family-info.below", server.Downstream, dependencies); err != nil {
		return err
	}
	to.Feedback, err = lookup("family-info.say", server.Feedback, feedbacks)
	return err
}
