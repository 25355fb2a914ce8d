package replay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// SettingChange is one changed value of the module's settings.
type SettingChange struct{ Name, Value string }

// ParseSettingChanges reads NAME=VALUE pairs: cores, servers, memory-kb, key-kb, crowd-factor, retry-after and fresh; of a
// class aim.CLASS, deadline.CLASS and worth.CLASS; of a tenant quota.TENANT.
func ParseSettingChanges(pairs []string) ([]SettingChange, error) {
	var list []SettingChange
	for _, p := range pairs {
		name, value, ok := strings.Cut(p, "=")
		if !ok || name == "" || value == "" {
			return nil, fmt.Errorf("setting %q: want NAME=VALUE", p)
		}
		list = append(list, SettingChange{name, value})
	}
	return list, nil
}

// ApplySettingChanges returns a function for Model that makes the changes; m names the classes and tenants.
func ApplySettingChanges(list []SettingChange, m capture.Meta) func(*admission.Settings) error {
	return func(s *admission.Settings) error {
		for _, c := range list {
			if err := c.apply(s, m); err != nil {
				return fmt.Errorf("setting %s=%s: %w", c.Name, c.Value, err)
			}
		}
		return nil
	}
}

// apply makes one change.
func (c SettingChange) apply(s *admission.Settings, m capture.Meta) error {
	name, of, _ := strings.Cut(c.Name, ".")
	switch name {
	case "aim", "deadline", "worth":
		i := slices.Index(m.Classes, of)
		if i < 0 || i >= len(s.Classes) {
			return fmt.Errorf("no class %q, want one of %s", of, strings.Join(m.Classes, ", "))
		}
		class := &s.Classes[i]
		switch name {
		case "aim":
			return setTime(&class.LatencyObjective, c.Value)
		case "deadline":
			return setTime(&class.Deadline, c.Value)
		}
		return setFloat(&class.Weight, c.Value)
	case "quota":
		i := slices.Index(m.Tenants, of)
		if i < 0 || i >= len(s.Tenants) {
			return fmt.Errorf("no tenant %q, want one of %s", of, strings.Join(m.Tenants, ", "))
		}
		return setFloat(&s.Tenants[i].Quota, c.Value)
	case "cores":
		return setInt(&s.Cores, c.Value)
	case "servers":
		return setInt(&s.Servers, c.Value)
	case "memory-kb":
		return setFloat(&s.MemoryKB, c.Value)
	case "key-kb":
		return setFloat(&s.KeyKB, c.Value)
	case "crowd-factor":
		return setFloat(&s.MaxConcurrencyFactor, c.Value)
	case "retry-after":
		return setTime(&s.MaxRetryAfter, c.Value)
	case "fresh":
		return setTime(&s.ResultFreshness, c.Value)
	}
	return fmt.Errorf("want cores, servers, memory-kb, key-kb, crowd-factor, retry-after, fresh, aim.CLASS, " +
		"deadline.CLASS, worth.CLASS or quota.TENANT")
}

func setFloat(to *float64, text string) (err error) {
	*to, err = strconv.ParseFloat(text, 64)
	return err
}

func setInt(to *int, text string) (err error) {
	*to, err = strconv.Atoi(text)
	return err
}

func setTime(to *time.Duration, text string) (err error) {
	*to, err = time.ParseDuration(text)
	return err
}
