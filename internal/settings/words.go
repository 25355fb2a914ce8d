package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tillerusher/admission"
)

// The values of enumerated settings, by their names in the settings' JSON.
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

// WordError reports an unknown word in an enumerated field of the settings.
type WordError struct {
	Field string
	Word  string
	Known []string // in alphabetical order
}

// Error names the field, the word and those that are known.
func (e *WordError) Error() string {
	return fmt.Sprintf("settings: %s is %q, want one of %s", e.Field, e.Word, strings.Join(e.Known, ", "))
}

// lookup translates a word; an absent one means the first value of its kind.
func lookup[T any](field, word string, words map[string]T) (T, error) {
	value, isKnown := words[word]
	if !isKnown && word != "" {
		return value, &WordError{Field: field, Word: word, Known: slices.Sorted(maps.Keys(words))}
	}
	return value, nil
}
