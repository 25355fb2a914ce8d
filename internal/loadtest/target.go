package loadtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/fake"
)

const (
	stopMS = 3200
	// patience is how long a daemon may take to start, and to end after its stop_ms.
	patience = 20 * time.Second
	// sockets is the daemon's limit; gateways may use half of it.
	sockets = 1024
)

// daemon is the program under the storm, with the stand-ins that it talks to.
type daemon struct {
	interpreter *fake.Interpreter
	announce    *net.UDPConn
	addr        string
	dir         string
	config      map[string]any
	cmd         *exec.Cmd
	exited      chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// Write takes in the daemon's log.
func (d *daemon) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(p)
}

// lines is the daemon's log so far.
func (d *daemon) lines() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Clone(d.log.Bytes())
}

// start starts a daemon and waits until it serves.
func start(c Config) (d *daemon, err error) {
	d = &daemon{}
	defer func() {
		if err != nil {
			d.kill()
		}
	}()
	if d.interpreter, err = fake.NewInterpreter(); err != nil {
		return d, fmt.Errorf("storm: interpreter: %w", err)
	}
	d.interpreter.SimulateWork(c.InterpreterCores, fake.ParseWork)
	if d.announce, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return d, fmt.Errorf("storm: announce service: %w", err)
	}
	if d.addr, err = fake.FreeAddr(); err != nil {
		return d, fmt.Errorf("storm: %w", err)
	}
	if d.dir, err = os.MkdirTemp("", "tillerusher-storm"); err != nil {
		return d, fmt.Errorf("storm: %w", err)
	}
	d.config = map[string]any{"name": "storm", "listen": d.addr, "vm": d.interpreter.Addr(),
		"announce": d.announce.LocalAddr().String(), "stop_ms": stopMS, "settings": json.RawMessage(fake.SiteSettings),
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": sockets}}
	if err = d.configure(); err != nil {
		return d, err
	}
	if err = d.launch(c); err != nil {
		return d, err
	}
	return d, d.waitUp()
}

// launch starts the program.
func (d *daemon) launch(c Config) error {
	cmd, exited := exec.Command(c.Daemon, c.Args...), make(chan struct{})
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+d.configPath(), "RELAY_NAME=", "RELAY_LISTEN=")
	cmd.Stderr = d
	if err := startOn(cmd, c.PinnedCore); err != nil {
		return fmt.Errorf("storm: %w", err)
	}
	d.cmd, d.exited = cmd, exited
	go func() {
		cmd.Wait() // its status is read from the state
		close(exited)
	}()
	return nil
}

// restart kills the daemon and starts it again, without what it left in a directory where there is one to forget.
func (d *daemon) restart(c Config) error {
	d.cmd.Process.Kill() // what else could end it ended it
	<-d.exited
	if c.RemoveStateDir != "" {
		if err := os.RemoveAll(c.RemoveStateDir); err != nil {
			return fmt.Errorf("storm: %w", err)
		}
	}
	return d.launch(c)
}

// startOn starts a program on one core, or on any where it is negative.
func startOn(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread() // what is started inherits the cores of the thread that starts it
	defer runtime.UnlockOSThread()
	var before, pinned unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	pinned.Set(core)
	if err := unix.SchedSetaffinity(0, &pinned); err != nil {
		return fmt.Errorf("core %d: %w", core, err)
	}
	err := cmd.Start()
	if back := unix.SchedSetaffinity(0, &before); err == nil {
		err = back
	}
	return err
}

func (d *daemon) configPath() string { return filepath.Join(d.dir, "config.json") }

// configure writes the configuration in one step.
func (d *daemon) configure() error {
	text, err := json.Marshal(d.config)
	if err == nil {
		err = os.WriteFile(d.configPath()+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(d.configPath()+".new", d.configPath())
	}
	if err != nil {
		return fmt.Errorf("storm: configuration: %w", err)
	}
	return nil
}

// waitUp waits until the daemon is healthy.
func (d *daemon) waitUp() error {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		select {
		case <-d.exited:
			return fmt.Errorf("storm: the daemon ended at its start: %s", bytes.TrimSpace(d.lines()))
		default:
		}
		if d.healthy() {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("storm: the daemon does not serve after %v", patience)
}

func (d *daemon) healthy() bool {
	g, err := fake.Dial(d.addr)
	if err != nil {
		return false
	}
	defer g.Close()
	if g.Write(fake.NewHealthCheck(false).Encode(1)) != nil {
		return false
	}
	a, err := g.ReadResponse(1, time.Now().Add(time.Second))
	return err == nil && a.Status == 200
}

// logged is the last line of the daemon's log with the message, or nil.
func (d *daemon) logged(msg string) map[string]any {
	var last map[string]any
	for _, line := range bytes.Split(d.lines(), []byte{'\n'}) {
		var m map[string]any
		if json.Unmarshal(line, &m) == nil && m["msg"] == msg {
			last = m
		}
	}
	return last
}

// reload moves the interpreter to a new address and has the daemon read its configuration anew.
func (d *daemon) reload() error {
	addr, err := d.interpreter.AddListener()
	if err != nil {
		return fmt.Errorf("storm: %w", err)
	}
	d.config["vm"] = addr
	if err := d.configure(); err != nil {
		return err
	}
	return d.cmd.Process.Signal(syscall.SIGHUP)
}

// wait waits for the daemon's end and returns its exit status.
func (d *daemon) wait() (int, error) {
	select {
	case <-d.exited:
		return d.cmd.ProcessState.ExitCode(), nil
	case <-time.After(stopMS*time.Millisecond + patience):
		return -1, fmt.Errorf("storm: the daemon did not end")
	}
}

// kill ends everything at once.
func (d *daemon) kill() {
	if d.cmd != nil {
		d.cmd.Process.Kill()
		<-d.exited
	}
	if d.interpreter != nil {
		d.interpreter.Close()
	}
	if d.announce != nil {
		d.announce.Close()
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}
