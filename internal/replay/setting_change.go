package replay

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// SettingChange is a new value for one of the module's settings.
type SettingChange struct{ Name, Value string }

// errUnknownSetting is returned for an unknown setting. Its text lists the settings that can be changed.
var errUnknownSetting = errors.New("unknown name, want cores, servers, memory-kb, key-kb, crowd-factor, retry-after, fresh, aim.CLASS, " +
	"deadline.CLASS, worth.CLASS or quota.TENANT")

// ParseSettingChanges parses NAME=VALUE pairs. The names are cores, servers, memory-kb, key-kb, crowd-factor, retry-after and
// fresh; aim.CLASS, deadline.CLASS and worth.CLASS for a class; and quota.TENANT for a tenant. Unknown names and invalid values
// are found only when the changes are applied.
func ParseSettingChanges(pairs []string) ([]SettingChange, error) {
	var changes []SettingChange
	for _, pair := range pairs {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" || value == "" {
			return nil, fmt.Errorf("setting %q: want NAME=VALUE", pair)
		}
		changes = append(changes, SettingChange{name, value})
	}
	return changes, nil
}

// ApplySettingChanges returns a function for Simulate that applies the changes. The names of the classes and tenants are those of
// the capture's meta.
func ApplySettingChanges(changes []SettingChange, meta capture.Meta) func(*admission.Settings) error {
	return func(settings *admission.Settings) error {
		for _, c := range changes {
			if err := c.apply(settings, meta); err != nil {
				return fmt.Errorf("setting %s=%s: %w", c.Name, c.Value, err)
			}
		}
		return nil
	}
}

// apply applies the change to the settings.
func (c SettingChange) apply(settings *admission.Settings, meta capture.Meta) error {
	name, object, _ := strings.Cut(c.Name, ".")
	switch name {
	case "aim", "deadline", "worth":
		i := slices.Index(meta.Classes, object)
		if i < 0 || i >= len(settings.Classes) {
			return fmt.Errorf("unknown class %q, want one of %s", object, strings.Join(meta.Classes, ", "))
		}
		return c.applyToClass(name, &settings.Classes[i])
	case "quota":
		i := slices.Index(meta.Tenants, object)
		if i < 0 || i >= len(settings.Tenants) {
			return fmt.Errorf("unknown tenant %q, want one of %s", object, strings.Join(meta.Tenants, ", "))
		}
		return parseFloat(c.Value, &settings.Tenants[i].Quota)
	case "cores":
		return parseInt(c.Value, &settings.Cores)
	case "servers":
		return parseInt(c.Value, &settings.Servers)
	case "memory-kb":
		return parseFloat(c.Value, &settings.MemoryKB)
	case "key-kb":
		return parseFloat(c.Value, &settings.KeyKB)
	case "crowd-factor":
		return parseFloat(c.Value, &settings.MaxConcurrencyFactor)
	case "retry-after":
		return parseDuration(c.Value, &settings.MaxRetryAfter)
	case "fresh":
		return parseDuration(c.Value, &settings.ResultFreshness)
	}
	return errUnknownSetting
}

// applyToClass applies the change to the setting of a class: its aim, deadline or worth.
func (c SettingChange) applyToClass(name string, class *admission.Class) error {
	switch name {
	case "aim":
		return parseDuration(c.Value, &class.LatencyObjective)
	case "deadline":
		return parseDuration(c.Value, &class.Deadline)
	default:
		return parseFloat(c.Value, &class.Weight)
	}
}

func parseFloat(text string, to *float64) (err error) {
	*to, err = strconv.ParseFloat(text, 64)
	return err
}

func parseInt(text string, to *int) (err error) {
	*to, err = strconv.Atoi(text)
	return err
}

func parseDuration(text string, to *time.Duration) (err error) {
	*to, err = time.ParseDuration(text)
	return err
}
