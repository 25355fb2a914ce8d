// Package settings translates the settings of a site into those of the decision module, for the simulator's adapter
// and the catalogue server alike.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"tillerusher/admission"
)

// Names of the gauges in readings.
const (
	gaugeUtilization = "cpu_busy"
	gaugeRunnable    = "runnable"
)

// errNoServers reports that the number of servers is missing, without which no tenant's quota share is known.
var errNoServers = errors.New("settings: servers is missing")

// Site is the settings of a site, translated for the host of an instance.
type Site struct {
	Admission   admission.Settings
	ClassNames  []string // by the classes' index
	TenantNames []string // by the tenants' index
	GaugeNames  []string // in the order of the readings
}

// ReadGauges assigns the values of a reading to the gauges by the site's order. A gauge without a value is negative.
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

// Parse reads the settings object, which is JSON. Unknown keys are skipped; an unknown value of an enumerated setting is
// an *UnknownValueError.
func Parse(text []byte) (*Site, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if t.Servers == nil {
		return nil, errNoServers
	}
	if *t.Servers == 0 {
		*t.Servers = 1 // the endpoint list doesn't name this server yet
	}
	return t.site()
}

// IdempotencyFingerprint is equal for sites whose stored results of idempotent requests can replace each other: those
// with the same classes with keys and the same windows. It is stored, so its form must not change.
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
