package settings

import (
	"time"

	"tillerusher/admission"
)

// settingsText is the JSON object of an attach event. Its keys are the simulator's and the operators'; their
// translation into the terms of the code stands here alone.
//
// The errors of encoding/json quote the names of struct types to operators: the name of this one stays, and those of
// its parts are aliases of types without a name.
type settingsText struct {
	Servers *int          `json:"servers"`
	Tick    time.Duration `json:"tick-ns"`
	Classes []classText   `json:"lanes"`
	Tenants []tenantText  `json:"realms"`
	Server  serverText    `json:"family-info"`
	Limits  limitsText    `json:"limits"`
	Rules   rulesText     `json:"obligations"`
}

// classText is one kind of request.
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

// tenantText is one customer.
type tenantText = struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota-per-s"`
}

// serverText describes a server of this kind and what it supports.
type serverText = struct {
	Downstream          string        `json:"below"`
	Callers             int           `json:"callers"`
	CallerIdleTimeout   time.Duration `json:"caller-idle-ns"`
	CallAveragingTime   time.Duration `json:"calls-over-ns"`
	SkippedCallWeights  []float64     `json:"class-skip-worth"` // by the classes' index; may be shorter
	WarmingUp           bool          `json:"cold"`
	Cores               int           `json:"cores"`
	FairCallShare       float64       `json:"fair-calls"`
	ResultFreshness     time.Duration `json:"fresh-ns"`
	Gauges              []string      `json:"gauges"`
	KeyKB               float64       `json:"key-kb"`
	MemoryKB            float64       `json:"memory-kb"`
	HasDeadlines        bool          `json:"passes-deadline"`
	RunningMemoryFactor float64       `json:"run-factor"`
	Feedback            string        `json:"say"`
	CallLinger          time.Duration `json:"stays-for-ns"`
	StopMode            string        `json:"stop-mode"`
}

// limitsText is the retry advice that callers honour.
type limitsText = struct {
	MaxRetryAfter time.Duration `json:"max-retry-after-ns"`
	RetryAfter    bool          `json:"retry-after"`
}

// rulesText holds the limits that every server of the fleet must observe.
type rulesText = struct {
	WarmUpTime           time.Duration `json:"cold-ns"`
	InitialCapacity      float64       `json:"cold-share"`
	DrainGracePeriod     time.Duration `json:"drain-grace-ns"`
	MaxConcurrencyFactor float64       `json:"overload-factor"`
}

// site translates the object. Servers must be set.
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

// numbers returns the settings that need no translation: numbers, times and flags.
func (t *settingsText) numbers() admission.Settings {
	settings := admission.Settings{
		Servers:              *t.Servers,
		Callers:              t.Server.Callers,
		Cores:                t.Server.Cores,
		Tick:                 t.Tick,
		WarmingUp:            t.Server.WarmingUp,
		InitialCapacity:      t.Rules.InitialCapacity,
		WarmUpTime:           t.Rules.WarmUpTime,
		MemoryKB:             t.Server.MemoryKB,
		KeyKB:                t.Server.KeyKB,
		RunningMemoryFactor:  t.Server.RunningMemoryFactor,
		MaxConcurrencyFactor: t.Rules.MaxConcurrencyFactor,
		DrainGracePeriod:     t.Rules.DrainGracePeriod,
		FairCallShare:        t.Server.FairCallShare,
		CallAveragingTime:    t.Server.CallAveragingTime,
		CallLinger:           t.Server.CallLinger,
		ResultFreshness:      t.Server.ResultFreshness,
		HasDeadlines:         t.Server.HasDeadlines,
		CallerIdleTimeout:    t.Server.CallerIdleTimeout,
	}
	if t.Limits.RetryAfter {
		settings.MaxRetryAfter = t.Limits.MaxRetryAfter
	}
	return settings
}

// translateClass returns the class without the weight of skipped calls.
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

// translateEnums translates the enumerated settings of the server.
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
