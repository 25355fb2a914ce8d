package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"tillerusher/internal/settings"
)

// platformFile mirrors the platform's configuration file. Unknown keys are ignored. All numbers are floats, since the
// platform may write a limit as 38.4.
type platformFile struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Interpreter string          `json:"vm"`
	LoadReports string          `json:"announce"`
	StopMS      float64         `json:"stop_ms"`
	Limits      platformLimits  `json:"limits"`
	Settings    json.RawMessage `json:"settings"`
}

// platformLimits mirrors the object "limits" in the platform's configuration file.
type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// Bounds of the numbers in the platform's configuration file.
const (
	minStopMS   = 1
	minCores    = 0.01
	minMemoryMB = 16
	minSockets  = 32
	maxNumber   = 1e9
)

// parsePlatform parses the text of the platform's configuration file. name and listen are the values of the environment
// variables; if not empty, they override the values in the file.
func parsePlatform(text []byte, name, listen string) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	nameField, listenField := "name", "listen"
	if name != "" {
		file.Name = name
		nameField = envName
	}
	if listen != "" {
		file.Listen = listen
		listenField = envListen
	}
	config := &Config{Name: file.Name, StopTimeout: time.Duration(file.StopMS * float64(time.Millisecond))}
	if err := checkName(nameField, file.Name); err != nil {
		return nil, err
	}
	if err := config.parseAddresses(&file, listenField); err != nil {
		return nil, err
	}
	if err := file.checkNumbers(); err != nil {
		return nil, err
	}
	config.Limits = Limits{Cores: file.Limits.Cores, MemoryMB: int(file.Limits.MemoryMB), Sockets: int(file.Limits.Sockets)}
	if err := config.parseSettings(file.Settings); err != nil {
		return nil, err
	}
	return config, nil
}

// checkName rejects names that are not one word. In a load report the name is one word of the text.
func checkName(field, name string) error {
	isSeparator := func(r rune) bool { return r <= ' ' || r == 0x7f }
	if name == "" || strings.ContainsFunc(name, isSeparator) {
		return &FieldError{Field: field, Value: fmt.Sprintf("%q", name), Wanted: "one word"}
	}
	return nil
}

// parseAddresses parses the addresses in the file. listenField names the source of the listen address in errors.
func (c *Config) parseAddresses(file *platformFile, listenField string) error {
	for _, address := range []struct {
		field, text string
		to          *netip.AddrPort
	}{
		{listenField, file.Listen, &c.Listen},
		{"vm", file.Interpreter, &c.Interpreter},
		{"announce", file.LoadReports, &c.LoadReports},
	} {
		parsed, err := netip.ParseAddrPort(address.text)
		if err != nil {
			return &FieldError{Field: address.field, Value: fmt.Sprintf("%q", address.text), Wanted: "an IP address and a port"}
		}
		*address.to = parsed
	}
	return nil
}

// checkNumbers checks the numbers in the file against their bounds.
func (f *platformFile) checkNumbers() error {
	for _, number := range []struct {
		field   string
		value   float64
		minimum float64
	}{
		{"stop_ms", f.StopMS, minStopMS},
		{"limits.cores", f.Limits.Cores, minCores},
		{"limits.memory_mb", f.Limits.MemoryMB, minMemoryMB},
		{"limits.sockets", f.Limits.Sockets, minSockets},
	} {
		if !(number.value >= number.minimum && number.value < maxNumber) {
			return &FieldError{Field: number.field, Value: fmt.Sprint(number.value), Wanted: fmt.Sprintf("at least %v", number.minimum)}
		}
	}
	return nil
}

// parseSettings parses the site's settings and checks the names of its classes and tenants.
func (c *Config) parseSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return &FieldError{Field: "settings", Fault: "is missing"}
	}
	site, err := settings.Parse(text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	c.Settings = site
	if err := checkDistinct("settings.lanes", site.ClassNames); err != nil {
		return err
	}
	return checkDistinct("settings.realms", site.TenantNames)
}

// checkDistinct rejects empty and duplicate names, since a request selects its class and tenant by name.
func checkDistinct(field string, names []string) error {
	seen := map[string]bool{}
	for _, name := range names {
		if name == "" || seen[name] {
			return &FieldError{Field: field, Fault: fmt.Sprintf("has the empty or duplicate name %q", name)}
		}
		seen[name] = true
	}
	return nil
}
