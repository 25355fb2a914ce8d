package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestSettingsOnWhichNothingCanRun(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Cores": func(s *Settings) { s.Cores = 0 }, "Servers": func(s *Settings) { s.Servers = 0 },
		"Classes": func(s *Settings) { s.Classes = nil }, "Tick": func(s *Settings) { s.Tick = 0 },
		"MemoryKB": func(s *Settings) { s.MemoryKB = math.NaN() }, "RunFactor": func(s *Settings) { s.RunningMemoryFactor = -1 },
		"CrowdFactor":      func(s *Settings) { s.MaxConcurrencyFactor = math.Inf(1) },
		"Classes[1]":       func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Tenants[0].Quota": func(s *Settings) { s.Tenants[0].Quota = -1 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// TestIllegalSettings changes one field to what no instance can go by: the error is one line that names it and what
// was expected.
func TestIllegalSettings(t *testing.T) {
	for field, change := range map[string]func(s *Settings){
		"Callers":              func(s *Settings) { s.Callers = -1 },
		"KeyKB":                func(s *Settings) { s.KeyKB = -1 },
		"ColdShare":            func(s *Settings) { s.InitialCapacity = -0.1 },
		"ColdFor":              func(s *Settings) { s.WarmUpTime = -time.Second },
		"DrainGrace":           func(s *Settings) { s.DrainGracePeriod = -time.Second },
		"RetryAfter":           func(s *Settings) { s.MaxRetryAfter = -time.Second },
		"Fresh":                func(s *Settings) { s.ResultFreshness = -time.Second },
		"FairCalls":            func(s *Settings) { s.FairCallShare = math.NaN() },
		"Classes[1].Worth":     func(s *Settings) { s.Classes[1].Weight = -1 },
		"Classes[0].LateWorth": func(s *Settings) { s.Classes[0].LateWeight = math.Inf(1) },
		"Classes[1].Window":    func(s *Settings) { s.Classes[1].KeyWindow = -time.Second },
		"Classes[0].SkipWorth": func(s *Settings) { s.Classes[0].SkippedCallWeight = -0.5 },
	} {
		s := testSettings()
		change(&s)
		_, err := New(s, &recorder{})
		if err == nil || !strings.Contains(err.Error(), field+" is ") || !strings.Contains(err.Error(), "want 0 or more") ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// TestExtremeSettings drives a server under settings that are legal, however odd: each request gets its answer in
// time.
func TestExtremeSettings(t *testing.T) {
	manyTenants := make([]Tenant, 500)
	for name, change := range map[string]func(s *Settings){
		"nothing is of any weight":             func(s *Settings) { s.Classes[0].Weight, s.Classes[1].Weight = 0, 0 },
		"an objective of a millisecond":        func(s *Settings) { s.Classes[0].LatencyObjective = ms },
		"an objective of a day":                func(s *Settings) { s.Classes[1].LatencyObjective, s.Classes[1].Deadline = 24*time.Hour, 48*time.Hour },
		"an objective over the deadline":       func(s *Settings) { s.Classes[0].LatencyObjective = time.Minute },
		"no window":                            func(s *Settings) { s.Classes[1].Effect, s.Classes[1].KeyWindow = IdempotentByKey, 0 },
		"a window of a year":                   func(s *Settings) { s.Classes[1].Effect, s.Classes[1].KeyWindow = IdempotentByKey, 365*24*time.Hour },
		"no callers given":                     func(s *Settings) { s.Callers = 0 },
		"a million servers":                    func(s *Settings) { s.Servers = 1e6 },
		"quotas of nothing":                    func(s *Settings) { s.Tenants = manyTenants },
		"memory for nothing":                   func(s *Settings) { s.MemoryKB = 1 },
		"a thousand cores":                     func(s *Settings) { s.Cores = 1000 },
		"a maximum concurrency of a hundredth": func(s *Settings) { s.MaxConcurrencyFactor = 0.01 },
		"no cold share":                        func(s *Settings) { s.WarmingUp, s.InitialCapacity, s.WarmUpTime = true, 0, time.Hour },
		"a tick of a nanosecond":               func(s *Settings) { s.Tick = 1 },
		"a weight of a million":                func(s *Settings) { s.Classes[1].Weight = 1e6 },
	} {
		t.Run(name, func(t *testing.T) {
			set := twoClassSettings()
			set.Feedback = FeedbackCredit
			change(&set)
			s := newDriver(t, set)
			asked, running := map[RequestID]time.Duration{}, []RequestID(nil)
			for step := range 600 {
				s.isSaturated = len(running) >= set.Cores
				for class := range 2 {
					id := s.request(class, nil)
					asked[id] = s.now + set.Classes[class].Deadline
				}
				s.advance(20 * ms)
				for _, line := range s.recorder.take("run", "reject", "fail") {
					word, id := scanAction(t, line)
					if word == "run" {
						running = append(running, id)
					} else {
						delete(asked, id)
					}
				}
				if step%3 == 0 && len(running) > 0 {
					s.module.RunFinished(s.now, running[0], OK)
					delete(asked, running[0])
					running = running[1:]
				}
				for id, due := range asked {
					if s.now > due {
						t.Fatalf("request %d has no answer %v after it was due", id, s.now-due)
					}
				}
				if i := s.module.Inspect(); math.IsNaN(i.TrafficWeight) || math.IsNaN(i.ConcurrencyLimit) {
					t.Fatalf("step %d: weight %v, limit %v", step, i.TrafficWeight, i.ConcurrencyLimit)
				}
			}
		})
	}
}
