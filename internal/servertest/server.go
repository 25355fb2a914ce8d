package servertest

import (
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/daemon"
	"tillerusher/internal/fake"
)

// serverName, serverSeed and memoryMB are the name, the seed and the memory limit with which the platform would configure
// the server.
const (
	serverName = "n3"
	serverSeed = "8c1f30d27a5be964"
	memoryMB   = 192
)

// Server is a running server process, with the interpreter and the load report service that it uses. The process is killed
// when its test ends.
type Server struct {
	*Interpreter
	Addr       string
	ConfigPath string
	Process    *os.Process

	t       testing.TB
	process *daemon.Process
	config  map[string]any
	reports *net.UDPConn
	log     daemon.Log
}

// Start starts a server that uses the interpreter. program is a shell command, as on the platform. change edits the
// configuration before the start, and may be nil.
func Start(t testing.TB, program string, it *Interpreter, change func(config map[string]any)) *Server {
	t.Helper()
	return start(t, program, it, change, serverName)
}

// StartWithConfigName is like Start with an empty name in the environment, so that the server uses the name in its
// configuration file.
func StartWithConfigName(t testing.TB, program string, it *Interpreter, change func(config map[string]any)) *Server {
	t.Helper()
	return start(t, program, it, change, "")
}

func start(t testing.TB, program string, it *Interpreter, change func(config map[string]any), name string) *Server {
	t.Helper()
	server := &Server{Interpreter: it, Addr: FreeAddr(t), t: t, reports: NewReportListener(t)}
	endpoints := daemon.Endpoints{Listen: server.Addr, Interpreter: it.Addr(), LoadReport: server.reports.LocalAddr().String()}
	server.config = daemon.NewConfig(serverName, endpoints, memoryMB, fake.SiteSettings)
	server.config["seed"] = serverSeed
	if change != nil {
		change(server.config)
	}
	server.ConfigPath = filepath.Join(t.TempDir(), "config.json")
	server.Configure(func(map[string]any) {})
	process, err := daemon.Start(daemon.Command{Program: "/bin/sh", Args: []string{"-c", program}, Core: daemon.AnyCore,
		Env: []string{"RELAY_NAME=" + name, "RELAY_LISTEN=" + server.Addr, "RELAY_CONFIG=" + server.ConfigPath}}, &server.log)
	if err != nil {
		t.Fatal(err)
	}
	server.process, server.Process = process, process.OS()
	t.Cleanup(func() {
		process.Kill()
		if t.Failed() {
			t.Logf("log of the server:\n%s", server.Log())
		}
	})
	return server
}

// Log returns the server's log so far.
func (s *Server) Log() string { return s.log.String() }

// Configure replaces the configuration file with an edited copy of the configuration that the server was started with.
func (s *Server) Configure(edit func(config map[string]any)) {
	s.t.Helper()
	config := maps.Clone(s.config)
	edit(config)
	if err := daemon.ConfigFile(s.ConfigPath).Write(config); err != nil {
		s.t.Fatal(err)
	}
}

// Signal sends the process a signal.
func (s *Server) Signal(signal syscall.Signal) {
	s.t.Helper()
	if err := s.process.Signal(signal); err != nil {
		s.t.Fatal(err)
	}
}

// WaitExit waits until the process exits and returns its exit status.
func (s *Server) WaitExit() int {
	s.t.Helper()
	state, err := s.process.Wait(WaitTimeout)
	if err != nil {
		s.t.Fatal("timed out waiting for the server process to exit")
		return -1
	}
	return state.ExitCode()
}

// WaitHealthy waits until the server passes a health check.
func (s *Server) WaitHealthy() {
	s.t.Helper()
	WaitFor(s.t, "the server to pass a health check", func() bool {
		g := Dial(s.t, s.Addr)
		defer g.Close()
		g.Write(fake.NewHealthCheck(false).Encode(1))
		return g.WaitResponse(1).Status == 200
	})
}

// Counter returns the value of a counter in the newest log entry of counters that has it, or -1 if there is none.
func (s *Server) Counter(name string) int {
	isNumber := func(e daemon.Entry) bool {
		_, ok := e[name].(float64)
		return ok
	}
	if entry := s.log.Last("counters", isNumber); entry != nil {
		return int(entry[name].(float64))
	}
	return -1
}

// WaitCounter makes the server log its counters, by SIGUSR1, until the counter has the wanted value.
func (s *Server) WaitCounter(name string, want int) {
	s.t.Helper()
	WaitFor(s.t, fmt.Sprintf("counter %s to be %d", name, want), func() bool {
		s.Signal(syscall.SIGUSR1)
		return s.Counter(name) == want
	})
}

// WaitReport waits for the next load report and returns it.
func (s *Server) WaitReport() string {
	s.t.Helper()
	return ReadReport(s.t, s.reports)
}

// CloseReportListener closes the load report service and returns the address that it listened on.
func (s *Server) CloseReportListener() *net.UDPAddr {
	addr := s.reports.LocalAddr().(*net.UDPAddr)
	s.reports.Close()
	return addr
}

// FreeAddr returns a loopback TCP address that nothing listens on.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := fake.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// NewReportListener opens the UDP socket of a load report service on loopback. It is closed when the test ends.
func NewReportListener(t testing.TB) *net.UDPConn {
	t.Helper()
	reports, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reports.Close() })
	return reports
}

// ReadReport waits for the next report to a load report service and returns it.
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
