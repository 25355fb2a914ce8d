// The check of the settings of an Instance. Nothing here decides.

package admission

import (
	"fmt"
	"math"
)

// setting is one figure of the settings, by the name that errors give it.
type setting struct {
	name  string
	value float64
}

// validate names the first field that makes no sense, and what was expected.
func validate(s Settings) error {
	for _, f := range positiveSettings(s) {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("tillerusher: %s is %v, want more than 0", f.name, f.value)
		}
	}
	for _, f := range nonNegativeSettings(s) {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("tillerusher: %s is %v, want 0 or more", f.name, f.value)
		}
	}
	return nil
}

// positiveSettings are the figures without which nothing can run.
func positiveSettings(s Settings) []setting {
	list := []setting{{"Cores", float64(s.Cores)}, {"Servers", float64(s.Servers)}, {"Tick", float64(s.Tick)},
		{"MemoryKB", s.MemoryKB}, {"RunFactor", s.RunningMemoryFactor}, {"CrowdFactor", s.MaxConcurrencyFactor},
		{"the number of Classes", float64(len(s.Classes))}}
	for i, c := range s.Classes {
		list = append(list, setting{fmt.Sprintf("Classes[%d].Aim", i), float64(c.LatencyObjective)},
			setting{fmt.Sprintf("Classes[%d].Deadline", i), float64(c.Deadline)})
	}
	return list
}

// nonNegativeSettings are the figures that may be nothing.
func nonNegativeSettings(s Settings) []setting {
	list := []setting{{"Callers", float64(s.Callers)}, {"KeyKB", s.KeyKB}, {"ColdShare", s.InitialCapacity}, {"ColdFor", float64(s.WarmUpTime)},
		{"DrainGrace", float64(s.DrainGracePeriod)}, {"FairCalls", s.FairCallShare}, {"CallsOver", float64(s.CallAveragingTime)},
		{"CallStays", float64(s.CallLinger)}, {"RetryAfter", float64(s.MaxRetryAfter)}, {"Fresh", float64(s.ResultFreshness)},
		{"CallerIdle", float64(s.CallerIdleTimeout)}}
	for i, c := range s.Classes {
		for _, f := range []setting{{"AimStretch", c.ObjectiveStretch}, {"Worth", c.Weight}, {"LateWorth", c.LateWeight},
			{"Window", float64(c.KeyWindow)}, {"SkipWorth", c.SkippedCallWeight}} {
			list = append(list, setting{fmt.Sprintf("Classes[%d].%s", i, f.name), f.value})
		}
	}
	for i, t := range s.Tenants {
		list = append(list, setting{fmt.Sprintf("Tenants[%d].Quota", i), t.Quota})
	}
	return list
}
