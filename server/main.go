package server

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
)

// Main runs one server as a program does: configured by the environment, drained by SIGTERM or SIGINT, its
// counters logged on SIGUSR1. It returns the exit status.
func Main(getenv func(string) string, stderr io.Writer) int {
	cfg, err := LoadConfig(getenv)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	tune(cfg)
	log, flush := NewLogger(stderr)
	defer flush()
	s, err := New(cfg, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	go func() {
		for sig := range signals {
			if sig == syscall.SIGUSR1 {
				s.Report()
			} else {
				s.Drain()
			}
		}
	}()
	if err := s.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// tune fits the runtime to the limits: collections are rare while memory is far off and frequent near it, and
// no more threads run Go code than there are cores.
func tune(cfg *Config) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 3 / 4)
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
}
