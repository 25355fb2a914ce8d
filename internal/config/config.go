package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"tillerusher/internal/settings"
)

// The environment's variables.
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
	StopTimeout time.Duration // from SIGTERM to SIGKILL
	Limits      Limits
	Settings    *settings.Site
	Capture     *CaptureConfig // nil where nothing is recorded
}

// Limits are the resources of this process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Load reads the configuration file that the environment names. The environment's own name and address, where set, override
// those of the file.
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
