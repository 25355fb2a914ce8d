package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestInvalidSettingsAreRejected(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores": func(settings *Settings) { settings.Cores = 0 }, "Servers": func(settings *Settings) { settings.Servers = 0 },
		"Classes": func(settings *Settings) { settings.Classes = nil }, "Tick": func(settings *Settings) { settings.Tick = 0 },
		"MemoryKB": func(settings *Settings) { settings.MemoryKB = math.NaN() }, "RunFactor": func(settings *Settings) { settings.RunningMemoryFactor = -1 },
		"CrowdFactor":      func(settings *Settings) { settings.MaxConcurrencyFactor = math.Inf(1) },
		"Classes[1]":       func(settings *Settings) { settings.Classes[1].LatencyObjective = 0 },
		"Tenants[0].Quota": func(settings *Settings) { settings.Tenants[0].Quota = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v, want an error that names the field", field, err)
		}
	}
}

// TestSettingErrorNamesFieldAndExpectedValue sets one field to an invalid value. The error must be one line that
// names the field and what was expected.
func TestSettingErrorNamesFieldAndExpectedValue(t *testing.T) {
	for field, change := range map[string]func(settings *Settings){
		"Callers":              func(settings *Settings) { settings.Callers = -1 },
		"KeyKB":                func(settings *Settings) { settings.KeyKB = -1 },
		"ColdShare":            func(settings *Settings) { settings.InitialCapacity = -0.1 },
		"ColdFor":              func(settings *Settings) { settings.WarmUpTime = -time.Second },
		"DrainGrace":           func(settings *Settings) { settings.DrainGracePeriod = -time.Second },
		"RetryAfter":           func(settings *Settings) { settings.MaxRetryAfter = -time.Second },
		"Fresh":                func(settings *Settings) { settings.ResultFreshness = -time.Second },
		"FairCalls":            func(settings *Settings) { settings.FairCallShare = math.NaN() },
		"Classes[1].Worth":     func(settings *Settings) { settings.Classes[1].Weight = -1 },
		"Classes[0].LateWorth": func(settings *Settings) { settings.Classes[0].LateWeight = math.Inf(1) },
		"Classes[1].Window":    func(settings *Settings) { settings.Classes[1].KeyWindow = -time.Second },
		"Classes[0].SkipWorth": func(settings *Settings) { settings.Classes[0].SkippedCallWeight = -0.5 },
	} {
		settings := testSettings()
		change(&settings)
		_, err := New(settings, &recorder{})
		if err == nil || !strings.Contains(err.Error(), field+" is ") || !strings.Contains(err.Error(), "want 0 or more") ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with the field and what was expected", field, err)
		}
	}
}

// TestExtremeSettings drives a server with valid but unusual settings. Each request must be answered by its deadline.
func TestExtremeSettings(t *testing.T) {
	manyTenants := make([]Tenant, 500)
	for name, change := range map[string]func(settings *Settings){
		"weights of zero":               func(settings *Settings) { settings.Classes[0].Weight, settings.Classes[1].Weight = 0, 0 },
		"an objective of a millisecond": func(settings *Settings) { settings.Classes[0].LatencyObjective = ms },
		"an objective of a day": func(settings *Settings) {
			settings.Classes[1].LatencyObjective, settings.Classes[1].Deadline = 24*time.Hour, 48*time.Hour
		},
		"an objective over the deadline": func(settings *Settings) { settings.Classes[0].LatencyObjective = time.Minute },
		"a key window of zero": func(settings *Settings) {
			settings.Classes[1].Effect, settings.Classes[1].KeyWindow = IdempotentByKey, 0
		},
		"a key window of a year": func(settings *Settings) {
			settings.Classes[1].Effect, settings.Classes[1].KeyWindow = IdempotentByKey, 365*24*time.Hour
		},
		"no callers":            func(settings *Settings) { settings.Callers = 0 },
		"a million servers":     func(settings *Settings) { settings.Servers = 1e6 },
		"quotas of zero":        func(settings *Settings) { settings.Tenants = manyTenants },
		"memory for no request": func(settings *Settings) { settings.MemoryKB = 1 },
		"a thousand cores":      func(settings *Settings) { settings.Cores = 1000 },
		"a maximum concurrency factor of a hundredth": func(settings *Settings) { settings.MaxConcurrencyFactor = 0.01 },
		"an initial capacity of zero": func(settings *Settings) {
			settings.WarmingUp, settings.InitialCapacity, settings.WarmUpTime = true, 0, time.Hour
		},
		"a tick of a nanosecond": func(settings *Settings) { settings.Tick = 1 },
		"a weight of a million":  func(settings *Settings) { settings.Classes[1].Weight = 1e6 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := twoClassSettings()
			settings.Feedback = FeedbackCredit
			change(&settings)
			driver := newDriver(t, settings)
			deadlines, running := map[RequestID]time.Duration{}, []RequestID(nil)
			for step := range 600 {
				driver.isSaturated = len(running) >= settings.Cores
				for class := range 2 {
					id := driver.request(class, nil)
					deadlines[id] = driver.now + settings.Classes[class].Deadline
				}
				driver.advance(20 * ms)
				for _, line := range driver.recorder.take("run", "reject", "fail") {
					word, id := scanAction(t, line)
					if word == "run" {
						running = append(running, id)
					} else {
						delete(deadlines, id)
					}
				}
				if step%3 == 0 && len(running) > 0 {
					driver.module.RunFinished(driver.now, running[0], OK)
					delete(deadlines, running[0])
					running = running[1:]
				}
				for id, deadline := range deadlines {
					if driver.now > deadline {
						t.Fatalf("request %d has no answer %v after its deadline", id, driver.now-deadline)
					}
				}
				if i := driver.module.Inspect(); math.IsNaN(i.TrafficWeight) || math.IsNaN(i.ConcurrencyLimit) {
					t.Fatalf("step %d: traffic weight %v, limit %v, want numbers", step, i.TrafficWeight, i.ConcurrencyLimit)
				}
			}
		})
	}
}
