package daemon

import (
	"encoding/json"
	"os"
	"time"
)

const (
	// StopTimeout is the configured maximum time from SIGTERM to the daemon's exit.
	StopTimeout = 3200 * time.Millisecond
	// MaxSockets is the configured maximum number of a daemon's sockets. Gateways may use half of them.
	MaxSockets = 1024
)

// ConfigFile is the path of a daemon's configuration file.
type ConfigFile string

// Write replaces the file atomically, so that a daemon that reads it at the same time sees either the old or the new
// configuration.
func (f ConfigFile) Write(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	tempFile := string(f) + ".new"
	if err := os.WriteFile(tempFile, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tempFile, string(f))
}

// Endpoints are the addresses in a daemon's configuration, each an IP address and a port.
type Endpoints struct {
	Listen      string // address that the daemon listens on
	Interpreter string
	LoadReport  string // address of the platform's service that receives load reports
}

// NewConfig returns a configuration in the platform's format. settings are the site's settings as JSON text.
func NewConfig(name string, endpoints Endpoints, memoryMB int, settings string) map[string]any {
	return map[string]any{
		"name":     name,
		"listen":   endpoints.Listen,
		"vm":       endpoints.Interpreter,
		"announce": endpoints.LoadReport,
		"stop_ms":  StopTimeout.Milliseconds(),
		"settings": json.RawMessage(settings),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": MaxSockets},
	}
}
