package daemon

import (
	"encoding/json"
	"os"
	"time"
)

const (
	// StopTime is the configured time in which a daemon has to stop after SIGTERM.
	StopTime = 3200 * time.Millisecond
	// MaxSockets is the configured limit of a daemon's sockets; gateways may use half of it.
	MaxSockets = 1024
)

// ConfigFile is the path of a daemon's configuration file.
type ConfigFile string

// Write replaces the file in one step, so that a daemon that reads it meanwhile sees the old or the new configuration.
func (f ConfigFile) Write(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	newFile := string(f) + ".new"
	if err := os.WriteFile(newFile, text, 0o600); err != nil {
		return err
	}
	return os.Rename(newFile, string(f))
}

// Endpoints are the addresses that a daemon is configured with.
type Endpoints struct {
	Listen      string // of the daemon itself
	Interpreter string
	LoadReport  string // the platform's service that load reports go to
}

// NewConfig returns a configuration, as the platform writes it, with the site's settings (JSON).
func NewConfig(name string, endpoints Endpoints, memoryMB int, settings string) map[string]any {
	return map[string]any{
		"name":     name,
		"listen":   endpoints.Listen,
		"vm":       endpoints.Interpreter,
		"announce": endpoints.LoadReport,
		"stop_ms":  StopTime.Milliseconds(),
		"settings": json.RawMessage(settings),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": MaxSockets},
	}
}
