package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"tillerusher"
)

// settingsText mirrors the JSON object of an attach event; unknown keys are skipped.
type settingsText struct {
	Servers int           `json:"servers"`
	Tick    time.Duration `json:"tick-ns"`
	Lanes   []struct {
		Aim        time.Duration `json:"on-time-ns"`
		AimStretch float64       `json:"aim-stretch"`
		Deadline   time.Duration `json:"hard-limit-ns"`
		Worth      float64       `json:"worth"`
		LateWorth  float64       `json:"late-worth"`
		Repeat     string        `json:"repeat"`
		Window     time.Duration `json:"repeat-window-ns"`
	} `json:"lanes"`
	Realms []struct {
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
		return value, fmt.Errorf("settings: %s has the unknown value %q", field, word)
	}
	return value, nil
}

// ParseSettings reads the settings of an attach event and the order of its gauges.
func ParseSettings(text []byte) (tillerusher.Settings, []string, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return tillerusher.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s := tillerusher.Settings{
		Servers: t.Servers, Callers: t.Info.Callers, Cores: t.Info.Cores, Tick: t.Tick,
		Cold: t.Info.Cold, ColdShare: t.Rules.ColdShare, ColdFor: t.Rules.ColdFor,
		MemoryKB: t.Info.MemoryKB, KeyKB: t.Info.KeyKB, RunFactor: t.Info.RunFactor,
		CrowdFactor: t.Rules.CrowdFactor,
		DrainGrace:  t.Rules.DrainGrace, FairCalls: t.Info.FairCalls, CallsOver: t.Info.CallsOver,
		CallStays: t.Info.StaysFor,
		Fresh:     t.Info.Fresh,
		Deadlines: t.Info.PassesDeadline, CallerIdle: t.Info.CallerIdle,
	}
	if t.Limits.RetryAfter {
		s.RetryAfter = t.Limits.MaxRetryAfter
	}
	for _, r := range t.Realms {
		s.Tenants = append(s.Tenants, tillerusher.Tenant{Quota: r.Quota})
	}
	var err error
	for i, l := range t.Lanes {
		c := tillerusher.Class{Aim: l.Aim, AimStretch: l.AimStretch, Deadline: l.Deadline, Worth: l.Worth,
			LateWorth: l.LateWorth, Window: l.Window}
		if c.Effect, err = lookup("lanes[].repeat", l.Repeat, map[string]tillerusher.Effect{
			"retryable": tillerusher.Safe, "dedup": tillerusher.Keyed, "fragile": tillerusher.Unsafe}); err != nil {
			return s, nil, err
		}
		if i < len(t.Info.SkipWorth) {
			c.SkipWorth = t.Info.SkipWorth[i]
		}
		s.Classes = append(s.Classes, c)
	}
	if s.StopMode, err = lookup("stop-mode", t.Info.StopMode, map[string]tillerusher.StopMode{
		"none": tillerusher.StopNone, "drop": tillerusher.StopDrop, "pause": tillerusher.StopPause}); err != nil {
		return s, nil, err
	}
	if s.Below, err = lookup("below", t.Info.Below, map[string]tillerusher.Dependency{
		"none": tillerusher.DependencyNone, "shared": tillerusher.DependencyShared, "tier": tillerusher.DependencyTier}); err != nil {
		return s, nil, err
	}
	s.Feedback, err = lookup("say", t.Info.Say, map[string]tillerusher.Feedback{
		"none": tillerusher.FeedbackNone, "level": tillerusher.FeedbackLevel,
		"credit": tillerusher.FeedbackCredit, "weight": tillerusher.FeedbackWeight})
	return s, t.Info.Gauges, err
}
