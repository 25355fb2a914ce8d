package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tillerusher/admission"
)

// The values of the enumerated settings, by their names in the settings JSON.
var (
	effects = map[string]admission.Effect{
		"retryable": admission.Safe,
		"dedup":     admission.IdempotentByKey,
		"fragile":   admission.NonIdempotent,
	}
	stopModes = map[string]admission.StopMode{
		"none":  admission.StopNone,
		"drop":  admission.StopDiscard,
		"pause": admission.StopPause,
	}
	dependencies = map[string]admission.Dependency{
		"none":   admission.DependencyNone,
		"shared": admission.DependencyShared,
		"tier":   admission.DependencyTier,
	}
	feedbacks = map[string]admission.Feedback{
		"none":   admission.FeedbackNone,
		"level":  admission.FeedbackLevel,
		"credit": admission.FeedbackCredit,
		"weight": admission.FeedbackWeight,
	}
)

// UnknownValueError reports an unknown value of an enumerated setting.
type UnknownValueError struct {
	Field string   // path of the key in the settings JSON, such as "family-info.below"
	Value string   // value found in the settings JSON
	Known []string // in alphabetical order
}

// Error implements error. The text names the field, its value and the known values.
func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("settings: %s is %q, want one of %s", e.Field, e.Value, strings.Join(e.Known, ", "))
}

// lookup returns the value with the given name. An empty name means the zero value of T. An unknown name is an
// *UnknownValueError.
func lookup[T any](field, name string, values map[string]T) (T, error) {
	value, isKnown := values[name]
	if !isKnown && name != "" {
		return value, &UnknownValueError{Field: field, Value: name, Known: slices.Sorted(maps.Keys(values))}
	}
	return value, nil
}
