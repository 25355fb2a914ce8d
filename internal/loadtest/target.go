package loadtest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"tillerusher/internal/daemon"
	"tillerusher/internal/fake"
)

const (
	// daemonTimeout is the longest time that a daemon may take to become healthy, and to exit after its stop time. It also
	// bounds the wait for the last answers of a round.
	daemonTimeout = 20 * time.Second
	// healthCheckTimeout is the timeout of one health check. healthCheckInterval is the time between two health checks while a
	// daemon starts.
	healthCheckTimeout  = time.Second
	healthCheckInterval = 5 * time.Millisecond
)

// target is the daemon under test, with the fakes that it connects to.
type target struct {
	interpreter *fake.Interpreter
	reports     *net.UDPConn // socket of the load report service; the reports are not read
	addr        string
	dir         string // directory of the configuration file
	config      map[string]any
	process     *daemon.Process
	log         daemon.Log
}

// startTarget starts a daemon and waits until it passes a health check. On an error nothing is left running.
func startTarget(config Config) (t *target, err error) {
	t = &target{}
	defer func() {
		if err != nil {
			t.kill()
		}
	}()
	if err := t.startFakes(config); err != nil {
		return t, err
	}
	if err := t.prepareConfig(config); err != nil {
		return t, err
	}
	if err := t.launch(config); err != nil {
		return t, err
	}
	return t, t.waitHealthy()
}

// startFakes starts the interpreter and the load report service.
func (t *target) startFakes(c Config) (err error) {
	if t.interpreter, err = fake.NewInterpreter(); err != nil {
		return fmt.Errorf("loadtest: interpreter: %w", err)
	}
	t.interpreter.SimulateWork(c.InterpreterCores, fake.ParseWork)
	if t.reports, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return fmt.Errorf("loadtest: load report service: %w", err)
	}
	return nil
}

// prepareConfig chooses the daemon's address and writes the configuration file.
func (t *target) prepareConfig(c Config) (err error) {
	if t.addr, err = fake.FreeAddr(); err != nil {
		return fmt.Errorf("loadtest: %w", err)
	}
	if t.dir, err = os.MkdirTemp("", "tillerusher-storm"); err != nil {
		return fmt.Errorf("loadtest: %w", err)
	}
	endpoints := daemon.Endpoints{Listen: t.addr, Interpreter: t.interpreter.Addr(), LoadReport: t.reports.LocalAddr().String()}
	t.config = daemon.NewConfig("storm", endpoints, c.MemoryMB, fake.SiteSettings)
	return t.writeConfig()
}

// launch starts the daemon's process.
func (t *target) launch(c Config) error {
	process, err := daemon.Start(daemon.Command{Program: c.Daemon, Args: c.Args, Core: c.PinnedCore,
		Env: []string{"RELAY_CONFIG=" + t.configPath(), "RELAY_NAME=", "RELAY_LISTEN="}}, &t.log)
	if err != nil {
		return fmt.Errorf("loadtest: %w", err)
	}
	t.process = process
	return nil
}

// restart kills the daemon and starts it again. It removes RemoveStateDir, if set, before the start.
func (t *target) restart(c Config) error {
	t.process.Kill()
	if c.RemoveStateDir != "" {
		if err := os.RemoveAll(c.RemoveStateDir); err != nil {
			return fmt.Errorf("loadtest: %w", err)
		}
	}
	return t.launch(c)
}

// configPath returns the path of the configuration file.
func (t *target) configPath() string { return filepath.Join(t.dir, "config.json") }

// writeConfig writes the configuration file and replaces the previous one.
func (t *target) writeConfig() error {
	if err := daemon.ConfigFile(t.configPath()).Write(t.config); err != nil {
		return fmt.Errorf("loadtest: configuration: %w", err)
	}
	return nil
}

// waitHealthy waits until the daemon passes a health check.
func (t *target) waitHealthy() error {
	for end := time.Now().Add(daemonTimeout); time.Now().Before(end); {
		select {
		case <-t.process.Exited():
			return fmt.Errorf("loadtest: the daemon exited before it was healthy: %s", bytes.TrimSpace([]byte(t.log.String())))
		default:
		}
		if t.isHealthy() {
			return nil
		}
		time.Sleep(healthCheckInterval)
	}
	return fmt.Errorf("loadtest: the daemon is not healthy after %v", daemonTimeout)
}

// isHealthy reports whether the daemon passes a health check now.
func (t *target) isHealthy() bool {
	g, err := fake.Dial(t.addr)
	if err != nil {
		return false
	}
	defer g.Close()
	if g.Write(fake.NewHealthCheck(false).Encode(1)) != nil {
		return false
	}
	response, err := g.ReadResponse(1, time.Now().Add(healthCheckTimeout))
	return err == nil && response.Status == http.StatusOK
}

// reload makes the interpreter listen at a new address, writes this address to the configuration and makes the daemon reload
// it.
func (t *target) reload() error {
	addr, err := t.interpreter.AddListener()
	if err != nil {
		return fmt.Errorf("loadtest: %w", err)
	}
	t.config["vm"] = addr
	if err := t.writeConfig(); err != nil {
		return err
	}
	return t.process.Signal(syscall.SIGHUP)
}

// wait waits until the daemon exits and returns its final state.
func (t *target) wait() (*os.ProcessState, error) {
	state, err := t.process.Wait(daemon.StopTimeout + daemonTimeout)
	if err != nil {
		return nil, fmt.Errorf("loadtest: %w", err)
	}
	return state, nil
}

// cpuTime returns the processor time that an exited process used.
func cpuTime(state *os.ProcessState) time.Duration { return state.UserTime() + state.SystemTime() }

// kill kills the process, closes the fakes and removes the configuration file's directory.
func (t *target) kill() {
	if t.process != nil {
		t.process.Kill()
	}
	if t.interpreter != nil {
		t.interpreter.Close()
	}
	if t.reports != nil {
		t.reports.Close()
	}
	if t.dir != "" {
		os.RemoveAll(t.dir)
	}
}
