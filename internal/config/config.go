package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"tillerusher/internal/settings"
)

// The names of the environment variables.
const (
	envName   = "RELAY_NAME"
	envListen = "RELAY_LISTEN"
	envConfig = "RELAY_CONFIG"
)

// Config is a server's configuration.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Interpreter netip.AddrPort
	LoadReports netip.AddrPort
	StopTimeout time.Duration // from SIGTERM until the platform sends SIGKILL
	Limits      Limits
	Settings    *settings.Site
	Capture     *CaptureConfig // nil if nothing is recorded
}

// Limits are the resource limits of this process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // maximum number of file descriptors
}

// Load reads the configuration file at the path in the variable RELAY_CONFIG. The variables RELAY_NAME and RELAY_LISTEN,
// if set, override the name and the listen address in the file.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, &FieldError{Field: envConfig, Fault: "is not set"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", envConfig, err)
	}
	return parsePlatform(text, getenv(envName), getenv(envListen))
}
