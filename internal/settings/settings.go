// Package settings turns the settings that an instance is told into those of the decision module, for the
// simulator's adapter and the real server alike.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tillerusher/admission"
)

// settingsText mirrors the JSON object of an attach event; unknown keys are skipped.
type settingsText struct {
	Servers *int          `json:"servers"`
	Tick    time.Duration `json:"tick-ns"`
	Lanes   []struct {
		Aim        time.Duration `json:"on-time-ns"`
		AimStretch float64       `json:"aim-stretch"`
		Deadline   time.Duration `json:"hard-limit-ns"`
		Worth      float64       `json:"worth"`
		LateWorth  float64       `json:"late-worth"`
		Repeat     string        `json:"repeat"`
		Window     time.Duration `json:"repeat-window-ns"`
		Name       string        `json:"name"`
	} `json:"lanes"`
	Realms []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-per-s"`
	} `json:"realms"`
	Info struct {
		Below          string        `json:"below"`
		Callers        int           `json:"callers"`
		CallerIdle     time.Duration `json:"caller-idle-ns"`
		CallsOver      time.Duration `json:"calls-over-ns"`
		SkipWorth      []float64     `json:"class-skip-worth"`
		Cold           bool          `json:"cold"`
		Cores          int           `json:"cores"`
		FairCalls      float64       `json:"fair-calls"`
		Fresh          time.Duration `json:"fresh-ns"`
		Gauges         []string      `json:"gauges"`
		KeyKB          float64       `json:"key-kb"`
		MemoryKB       float64       `json:"memory-kb"`
		PassesDeadline bool          `json:"passes-deadline"`
		RunFactor      float64       `json:"run-factor"`
		Say            string        `json:"say"`
		StaysFor       time.Duration `json:"stays-for-ns"`
		StopMode       string        `json:"stop-mode"`
	} `json:"family-info"`
	Limits struct {
		MaxRetryAfter time.Duration `json:"max-retry-after-ns"`
		RetryAfter    bool          `json:"retry-after"`
	} `json:"limits"`
	Rules struct {
		ColdFor     time.Duration `json:"cold-ns"`
		ColdShare   float64       `json:"cold-share"`
		DrainGrace  time.Duration `json:"drain-grace-ns"`
		CrowdFactor float64       `json:"overload-factor"`
	} `json:"obligations"`
}

// lookup translates a word of the wire; an absent word means the first value of its kind.
func lookup[T any](field, word string, words map[string]T) (T, error) {
	value, ok := words[word]
	if !ok && word != "" {
		known := slices.Sorted(maps.Keys(words))
		return value, fmt.Errorf("settings: %s is %q, want one of %s", field, word, strings.Join(known, ", "))
	}
	return value, nil
}

// Site is what the settings say to the host of an instance.
type Site struct {
	Admission   admission.Settings
	ClassNames  []string // names, by index
	TenantNames []string // names, by index
	GaugeNames  []string // names, in the order of the readings
}

// ReadGauges names the gauges of a reading.
func (t *Site) ReadGauges(values []float64) admission.Gauges {
	g := admission.Gauges{Utilization: -1, Runnable: -1}
	for i, name := range t.GaugeNames {
		switch {
		case i >= len(values):
		case name == "cpu_busy":
			g.Utilization = values[i]
		case name == "runnable":
			g.Runnable = values[i]
		}
	}
	return g
}

// Parse reads the settings object.
func Parse(text []byte) (*Site, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if t.Servers == nil {
		return nil, errors.New("settings: servers is missing")
	}
	if *t.Servers == 0 {
		*t.Servers = 1 // the list doesn't name this one yet
	}
	told := &Site{GaugeNames: t.Info.Gauges}
	s := &told.Admission
	*s = admission.Settings{
		Servers: *t.Servers, Callers: t.Info.Callers, Cores: t.Info.Cores, Tick: t.Tick,
		WarmingUp: t.Info.Cold, InitialCapacity: t.Rules.ColdShare, WarmUpTime: t.Rules.ColdFor,
		MemoryKB: t.Info.MemoryKB, KeyKB: t.Info.KeyKB, RunningMemoryFactor: t.Info.RunFactor,
		MaxConcurrencyFactor: t.Rules.CrowdFactor,
		DrainGracePeriod:     t.Rules.DrainGrace, FairCallShare: t.Info.FairCalls, CallAveragingTime: t.Info.CallsOver,
		CallLinger:      t.Info.StaysFor,
		ResultFreshness: t.Info.Fresh,
		HasDeadlines:    t.Info.PassesDeadline, CallerIdleTimeout: t.Info.CallerIdle,
	}
	if t.Limits.RetryAfter {
		s.MaxRetryAfter = t.Limits.MaxRetryAfter
	}
	for _, r := range t.Realms {
		s.Tenants = append(s.Tenants, admission.Tenant{Quota: r.Quota})
		told.TenantNames = append(told.TenantNames, r.Name)
	}
	var err error
	for i, l := range t.Lanes {
		c := admission.Class{LatencyObjective: l.Aim, ObjectiveStretch: l.AimStretch, Deadline: l.Deadline, Weight: l.Worth,
			LateWeight: l.LateWorth, KeyWindow: l.Window}
		if c.Effect, err = lookup("lanes[].repeat", l.Repeat, map[string]admission.Effect{
			"retryable": admission.Safe, "dedup": admission.IdempotentByKey, "fragile": admission.NonIdempotent}); err != nil {
			return nil, err
		}
		if i < len(t.Info.SkipWorth) {
			c.SkippedCallWeight = t.Info.SkipWorth[i]
		}
		s.Classes = append(s.Classes, c)
		told.ClassNames = append(told.ClassNames, l.Name)
	}
	if s.StopMode, err = lookup("family-info.stop-mode", t.Info.StopMode, map[string]admission.StopMode{
		"none": admission.StopNone, "drop": admission.StopDiscard, "pause": admission.StopPause}); err != nil {
		return nil, err
	}
	if s.Downstream, err = lookup("family-info.below", t.Info.Below, map[string]admission.Dependency{
		"none": admission.DependencyNone, "shared": admission.DependencyShared, "tier": admission.DependencyTier}); err != nil {
		return nil, err
	}
	s.Feedback, err = lookup("family-info.say", t.Info.Say, map[string]admission.Feedback{
		"none": admission.FeedbackNone, "level": admission.FeedbackLevel,
		"credit": admission.FeedbackCredit, "weight": admission.FeedbackWeight})
	if err != nil {
		return nil, err
	}
	return told, nil
}

// IdempotencyFingerprint is a text by which sites can be told apart as far as kept results of keyed requests go: the classes that have
// keys, and their windows.
func (t *Site) IdempotencyFingerprint() string {
	var parts []string
	for i, c := range t.Admission.Classes {
		if c.Effect == admission.IdempotentByKey {
			parts = append(parts, fmt.Sprintf("%s %v", t.ClassNames[i], c.KeyWindow))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
