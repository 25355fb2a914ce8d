// Package config reads what the platform tells a server: its environment and the configuration file.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"tillerusher/internal/settings"
)

// The environment.
const (
	envName   = "RELAY_NAME"
	envListen = "RELAY_LISTEN"
	envConfig = "RELAY_CONFIG"
)

// Config is all that a server is told at its start.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Interpreter netip.AddrPort
	LoadReports netip.AddrPort
	StopTimeout time.Duration // from SIGTERM to SIGKILL
	Limits      Limits
	Settings    *settings.Site
	Capture     *CaptureConfig // nil where nothing is recorded
}

// Limits are those of this process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// platformFile mirrors the configuration file; unknown keys are skipped.
type platformFile struct {
	Name        string  `json:"name"`
	Listen      string  `json:"listen"`
	Interpreter string  `json:"vm"`
	LoadReports string  `json:"announce"`
	StopMS      float64 `json:"stop_ms"`
	Limits      struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"` // a number like the others: 38.4 is none too few
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration that the environment names. The environment's own name and address take the
// place of the file's.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, fmt.Errorf("config: %s is not set", envConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", envConfig, err)
	}
	return parsePlatform(text, getenv(envName), getenv(envListen))
}

// parsePlatform reads the file's text; name and listen take the place of its own where they are not empty.
func parsePlatform(text []byte, name, listen string) (*Config, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	nameField, listenField := "name", "listen"
	if name != "" {
		f.Name, nameField = name, envName
	}
	if listen != "" {
		f.Listen, listenField = listen, envListen
	}
	c := &Config{Name: f.Name, StopTimeout: time.Duration(f.StopMS * float64(time.Millisecond))}
	if f.Name == "" || strings.ContainsFunc(f.Name, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return nil, fmt.Errorf("config: %s is %q, want one word", nameField, f.Name)
	}
	for _, a := range []struct {
		field, text string
		to          *netip.AddrPort
	}{{listenField, f.Listen, &c.Listen}, {"vm", f.Interpreter, &c.Interpreter}, {"announce", f.LoadReports, &c.LoadReports}} {
		var err error
		if *a.to, err = netip.ParseAddrPort(a.text); err != nil {
			return nil, fmt.Errorf("config: %s is %q, want an IP address and a port", a.field, a.text)
		}
	}
	for _, n := range []struct {
		field       string
		value, from float64
	}{{"stop_ms", f.StopMS, 1}, {"limits.cores", f.Limits.Cores, 0.01}, {"limits.memory_mb", f.Limits.MemoryMB, 16},
		{"limits.sockets", f.Limits.Sockets, 32}} {
		if !(n.value >= n.from && n.value < 1e9) {
			return nil, fmt.Errorf("config: %s is %v, want at least %v", n.field, n.value, n.from)
		}
	}
	c.Limits = Limits{Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets)}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("config: settings is missing")
	}
	var err error
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := checkDistinctNames(c.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// checkDistinctNames makes sure that requests can name their class and tenant.
func checkDistinctNames(t *settings.Site) error {
	for field, names := range map[string][]string{"settings.lanes": t.ClassNames, "settings.realms": t.TenantNames} {
		seen := map[string]bool{}
		for _, name := range names {
			if name == "" || seen[name] {
				return fmt.Errorf("%s has the name %q twice or empty", field, name)
			}
			seen[name] = true
		}
	}
	return nil
}
