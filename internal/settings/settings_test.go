package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"tillerusher/admission"
)

const settingsExample = `{"unknown": [1], "family-info": {"below": "tier", "caller-idle-ns": 30000000000, "callers": 3,
 "class-skip-worth": [0.3, 0.0], "cold": true, "cores": 6, "gauges": ["cpu_busy", "sockets"], "key-kb": 74.5,
 "memory-kb": 29958.0, "passes-deadline": true, "run-factor": 16.0, "say": "weight", "stop-mode": "drop"},
 "lanes": [{"hard-limit-ns": 11000000000, "late-worth": 0.2, "name": "look", "on-time-ns": 3400000000, "repeat": "retryable", "worth": 1.0},
 {"hard-limit-ns": 5700000000, "on-time-ns": 2300000000, "repeat": "dedup", "repeat-window-ns": 17058000000, "worth": 2.0}],
 "limits": {"max-retry-after-ns": 1000000000, "retry-after": true},
 "obligations": {"cold-share": 0.24, "overload-factor": 8.0}, "realms": [{"name": "east", "quota-per-s": 33.0}],
 "servers": 11, "tick-ns": 4000000}`

// TestParse checks the translated settings, the assignment of gauge readings, and that invalid settings are rejected.
func TestParse(t *testing.T) {
	site, err := Parse([]byte(settingsExample))
	if err != nil {
		t.Fatal(err)
	}
	s := site.Admission
	if s.Cores != 6 || s.Servers != 11 || s.Tick != 4*time.Millisecond || !s.WarmingUp ||
		s.StopMode != admission.StopDiscard || s.Feedback != admission.FeedbackWeight ||
		s.Downstream != admission.DependencyTier || s.MaxRetryAfter != time.Second || s.Tenants[0].Quota != 33 {
		t.Errorf("settings %+v", s)
	}
	if c := s.Classes[1]; c.Effect != admission.IdempotentByKey || c.KeyWindow != 17058*time.Millisecond || c.SkippedCallWeight != 0 || c.Weight != 2 {
		t.Errorf("class %+v", c)
	}
	if s.Classes[0].SkippedCallWeight != 0.3 || !reflect.DeepEqual(site.GaugeNames, []string{"cpu_busy", "sockets"}) {
		t.Errorf("class %+v, gauges %v", s.Classes[0], site.GaugeNames)
	}
	if !reflect.DeepEqual(site.ClassNames, []string{"look", ""}) || !reflect.DeepEqual(site.TenantNames, []string{"east"}) {
		t.Errorf("classes %q, tenants %q", site.ClassNames, site.TenantNames)
	}
	if g := site.ReadGauges([]float64{0.25, 3}); g.Utilization != 0.25 {
		t.Errorf("gauges %+v", g)
	}
	site.GaugeNames = []string{"runnable", "cpu_busy"}
	if g := site.ReadGauges([]float64{7, 0.25}); g.Utilization != 0.25 || g.Runnable != 7 {
		t.Errorf("gauges with the names in another order: %+v", g)
	}
	if g := site.ReadGauges(nil); g.Utilization >= 0 || g.Runnable >= 0 {
		t.Errorf("gauges of an empty reading: %+v, want negative values", g)
	}
	bad := strings.Replace(settingsExample, `"drop"`, `"melt"`, 1)
	if _, err := Parse([]byte(bad)); err == nil || !strings.Contains(err.Error(), "stop-mode") {
		t.Errorf("unknown stop mode: error %v, want one with stop-mode", err)
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("invalid JSON was accepted")
	}
}

// TestServerNotYetListed checks that a server counts itself if the endpoint list contains no server yet, and that a
// missing number of servers is an error.
func TestServerNotYetListed(t *testing.T) {
	site, err := Parse([]byte(`{"servers": 0}`))
	if err != nil || site.Admission.Servers != 1 {
		t.Errorf("%+v, %v", site, err)
	}
	if _, err := Parse([]byte(`{}`)); err == nil || !strings.Contains(err.Error(), "servers") {
		t.Errorf("missing number of servers: error %v", err)
	}
}

// TestUnknownValues checks that the error for an unknown enumerated value names the field, the value and the known values.
func TestUnknownValues(t *testing.T) {
	for field, text := range map[string]string{
		"family-info.below": `"family-info": {"below": "sideways"}`, "family-info.say": `"family-info": {"say": "sideways"}`,
		"family-info.stop-mode": `"family-info": {"stop-mode": "sideways"}`, "lanes[].repeat": `"lanes": [{"repeat": "sideways"}]`,
	} {
		_, err := Parse([]byte(`{"servers": 2, ` + text + `}`))
		if err == nil || !strings.Contains(err.Error(), field+` is "sideways", want one of `) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// TestIdempotencyFingerprint checks that the fingerprint lists the classes with idempotency keys and their windows in
// alphabetical order. The fingerprint is stored on disk, so it must not change.
func TestIdempotencyFingerprint(t *testing.T) {
	site, err := Parse([]byte(`{"servers": 1, "lanes": [{"name": "write", "repeat": "dedup", "repeat-window-ns": 17058000000},
 {"name": "read", "repeat": "retryable"}, {"name": "order", "repeat": "dedup", "repeat-window-ns": 60000000000}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := site.IdempotencyFingerprint(), "order 1m0s, write 17.058s"; got != want {
		t.Errorf("fingerprint %q, want %q", got, want)
	}
}
