// Validation of the settings of an Instance. This file makes no decisions.

package admission

import (
	"fmt"
	"math"
)

// SettingError is the error for a setting with an invalid value.
type SettingError struct {
	Field    string  // name of the setting, as operators know it
	Value    float64 // its present value
	Expected string  // the values that are valid
}

// Error returns one line that names the field, its value and what was expected.
func (e *SettingError) Error() string {
	return fmt.Sprintf("admission: %s is %v, want %s", e.Field, e.Value, e.Expected)
}

// namedValue is a numeric setting with its name in error messages. Operators know the names from earlier versions.
type namedValue struct {
	name  string
	value float64
}

// validate returns a *SettingError for the first setting with an invalid value.
func validate(settings Settings) error {
	for _, f := range positiveSettings(settings) {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return &SettingError{Field: f.name, Value: f.value, Expected: "more than 0"}
		}
	}
	for _, f := range nonNegativeSettings(settings) {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return &SettingError{Field: f.name, Value: f.value, Expected: "0 or more"}
		}
	}
	return nil
}

// positiveSettings returns the settings that must be more than 0.
func positiveSettings(settings Settings) []namedValue {
	values := []namedValue{
		{"Cores", float64(settings.Cores)},
		{"Servers", float64(settings.Servers)},
		{"Tick", float64(settings.Tick)},
		{"MemoryKB", settings.MemoryKB},
		{"RunFactor", settings.RunningMemoryFactor},
		{"CrowdFactor", settings.MaxConcurrencyFactor},
		{"the number of Classes", float64(len(settings.Classes))},
	}
	for i, class := range settings.Classes {
		values = append(values,
			namedValue{fmt.Sprintf("Classes[%d].Aim", i), float64(class.LatencyObjective)},
			namedValue{fmt.Sprintf("Classes[%d].Deadline", i), float64(class.Deadline)})
	}
	return values
}

// nonNegativeSettings returns the settings that must be 0 or more.
func nonNegativeSettings(settings Settings) []namedValue {
	values := []namedValue{
		{"Callers", float64(settings.Callers)},
		{"KeyKB", settings.KeyKB},
		{"ColdShare", settings.InitialCapacity},
		{"ColdFor", float64(settings.WarmUpTime)},
		{"DrainGrace", float64(settings.DrainGracePeriod)},
		{"FairCalls", settings.FairCallShare},
		{"CallsOver", float64(settings.CallAveragingTime)},
		{"CallStays", float64(settings.AbandonedCallDuration)},
		{"RetryAfter", float64(settings.MaxRetryAfter)},
		{"Fresh", float64(settings.ResultFreshness)},
		{"CallerIdle", float64(settings.CallerIdleTimeout)},
	}
	for i, class := range settings.Classes {
		for _, f := range nonNegativeClassSettings(class) {
			values = append(values, namedValue{fmt.Sprintf("Classes[%d].%s", i, f.name), f.value})
		}
	}
	for i, tenant := range settings.Tenants {
		values = append(values, namedValue{fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota})
	}
	return values
}

// nonNegativeClassSettings returns the settings of a class that must be 0 or more.
func nonNegativeClassSettings(class Class) []namedValue {
	return []namedValue{
		{"AimStretch", class.ObjectiveStretch},
		{"Worth", class.Weight},
		{"LateWorth", class.LateWeight},
		{"Window", float64(class.KeyWindow)},
		{"SkipWorth", class.SkippedCallWeight},
	}
}
