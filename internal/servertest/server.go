package servertest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

// Server is one running server with all that it talks to.
type Server struct {
	*Interpreter
	Addr       string
	ConfigPath string
	Process    *os.Process

	t       testing.TB
	config  map[string]any
	reports *net.UDPConn
	mu      sync.Mutex
	log     bytes.Buffer
	exited  chan struct{}
	state   *os.ProcessState
}

// Write implements io.Writer for the node's log.
func (n *Server) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Write(p)
}

// Log returns what the node has logged so far.
func (n *Server) Log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

// FreeAddr returns a loopback address that nothing listens at.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := fake.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// NewReportListener opens an announce service.
func NewReportListener(t testing.TB) *net.UDPConn {
	t.Helper()
	reports, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reports.Close() })
	return reports
}

// ReadReport waits for the next report to an announce service.
func ReadReport(t testing.TB, reports *net.UDPConn) string {
	t.Helper()
	buf := make([]byte, 256)
	reports.SetReadDeadline(time.Now().Add(WaitTimeout))
	size, err := reports.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:size])
}

// Start starts the program, by a line for the shell as the platform does, with an interpreter; change may edit the
// configuration.
func Start(t testing.TB, program string, it *Interpreter, change func(config map[string]any)) *Server {
	t.Helper()
	return startNode(t, program, it, change, "RELAY_NAME=n3")
}

// StartWithConfigName is Start with the name that the configuration has, instead of one from the environment.
func StartWithConfigName(t testing.TB, program string, it *Interpreter, change func(config map[string]any)) *Server {
	t.Helper()
	return startNode(t, program, it, change, "RELAY_NAME=")
}

func startNode(t testing.TB, program string, it *Interpreter, change func(config map[string]any), name string) *Server {
	t.Helper()
	reports := NewReportListener(t)
	n := &Server{Interpreter: it, Addr: FreeAddr(t), t: t, reports: reports, exited: make(chan struct{})}
	config := map[string]any{"name": "n3", "listen": n.Addr, "vm": it.Addr(), "announce": reports.LocalAddr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3200, "settings": json.RawMessage(fake.SiteSettings),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
	if change != nil {
		change(config)
	}
	n.config, n.ConfigPath = config, filepath.Join(t.TempDir(), "config.json")
	n.Configure(func(map[string]any) {})
	cmd := exec.Command("/bin/sh", "-c", program)
	cmd.Env = append(os.Environ(), name, "RELAY_LISTEN="+n.Addr, "RELAY_CONFIG="+n.ConfigPath)
	cmd.Stderr = n
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	n.Process = cmd.Process
	go func() {
		cmd.Wait()
		n.state = cmd.ProcessState
		close(n.exited)
	}()
	t.Cleanup(func() {
		n.Process.Kill()
		<-n.exited
		if t.Failed() {
			t.Logf("log of the node:\n%s", n.Log())
		}
	})
	return n
}

// Configure replaces the file by an edited copy of the configuration that the node was started with.
func (n *Server) Configure(edit func(config map[string]any)) {
	n.t.Helper()
	config := maps.Clone(n.config)
	edit(config)
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(n.ConfigPath+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(n.ConfigPath+".new", n.ConfigPath)
	}
	if err != nil {
		n.t.Fatal(err)
	}
}

// Signal sends the process a signal.
func (n *Server) Signal(sig syscall.Signal) {
	n.t.Helper()
	if err := n.Process.Signal(sig); err != nil {
		n.t.Fatal(err)
	}
}

// WaitExit waits for the end of the process and returns its exit status.
func (n *Server) WaitExit() int {
	n.t.Helper()
	select {
	case <-n.exited:
		return n.state.ExitCode()
	case <-time.After(WaitTimeout):
		n.t.Fatal("the process did not end")
		return -1
	}
}

// WaitReport waits for the next report to the announce service.
func (n *Server) WaitReport() string {
	n.t.Helper()
	return ReadReport(n.t, n.reports)
}

// CloseReportListener takes the announce service down, and returns where it was.
func (n *Server) CloseReportListener() *net.UDPAddr {
	at := n.reports.LocalAddr().(*net.UDPAddr)
	n.reports.Close()
	return at
}

// Counter returns a counter of the newest line of counters, or -1 before the first.
func (n *Server) Counter(name string) int {
	lines := strings.Split(n.Log(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		var line map[string]any
		if json.Unmarshal([]byte(lines[i]), &line) == nil && line["msg"] == "counters" {
			if value, ok := line[name].(float64); ok {
				return int(value)
			}
		}
	}
	return -1
}

// WaitCounter asks for the counters until one has the value.
func (n *Server) WaitCounter(name string, want int) {
	n.t.Helper()
	WaitFor(n.t, fmt.Sprintf("counter %s to be %d", name, want), func() bool {
		n.Signal(syscall.SIGUSR1)
		return n.Counter(name) == want
	})
}

// WaitHealthy waits until the node serves.
func (n *Server) WaitHealthy() {
	n.t.Helper()
	WaitFor(n.t, "a healthy node", func() bool {
		g := Dial(n.t, n.Addr)
		defer g.Close()
		g.Write(fake.NewHealthCheck(false).Encode(1))
		return g.WaitResponse(1).Status == 200
	})
}
