// Package settings translates a site's settings from JSON into the decision module's settings. The simulator's adapter and
// the catalogue server both use it.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"tillerusher/admission"
)

// Names of the gauges that the decision module uses.
const (
	gaugeUtilization = "cpu_busy"
	gaugeRunnable    = "runnable"
)

// errNoServers reports that the number of servers is missing. A tenant's share of its quota depends on that number.
var errNoServers = errors.New("settings: servers is missing")

// Site holds the translated settings of a site, for the host of an admission.Instance.
type Site struct {
	Admission   admission.Settings
	ClassNames  []string // by class index
	TenantNames []string // by tenant index
	GaugeNames  []string // in the order of the values in a reading
}

// ReadGauges converts a reading, whose values are in the order of GaugeNames, to the decision module's gauges. A gauge
// without a value is -1.
func (s *Site) ReadGauges(values []float64) admission.Gauges {
	gauges := admission.Gauges{Utilization: -1, Runnable: -1}
	for i, name := range s.GaugeNames {
		if i >= len(values) {
			break
		}
		switch name {
		case gaugeUtilization:
			gauges.Utilization = values[i]
		case gaugeRunnable:
			gauges.Runnable = values[i]
		}
	}
	return gauges
}

// Parse parses a site's settings, a JSON object. It ignores unknown keys. An unknown value of an enumerated setting is an
// *UnknownValueError.
func Parse(text []byte) (*Site, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if t.Servers == nil {
		return nil, errNoServers
	}
	if *t.Servers == 0 {
		*t.Servers = 1 // the endpoint list does not contain this server yet
	}
	return t.site()
}

// IdempotencyFingerprint returns a text that is equal for two sites if each can use the other's stored results of
// idempotent requests. This is so if both have the same classes with idempotency keys and the same idempotency windows.
// The fingerprint is stored on disk, so its format must not change.
func (s *Site) IdempotencyFingerprint() string {
	var parts []string
	for i, class := range s.Admission.Classes {
		if class.Effect == admission.IdempotentByKey {
			parts = append(parts, fmt.Sprintf("%s %v", s.ClassNames[i], class.KeyWindow))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
