//go:build review

// Command harness plays the cases of the review against the project's own programs, on loopback addresses and the real
// clock. Its first argument is the name of a case, its second the folder of the case, in which it writes record.txt.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tillerusher/internal/daemon"
	"tillerusher/internal/fake"
)

// settingsText has the settings of one catalogue server of a small deployment, in the units of the wire page. The names,
// the classes and the figures of the rules are those of the site kl-parts-catalogue.
const settingsText = `{"servers": %d, "tick-ns": 5000000, "clients": {"marks-retry": true}, "counted-by": "work",
 "family": "server",
 "lanes": [{"name": "part-lookup", "on-time-ns": 1400000000, "hard-limit-ns": 3700000000, "late-worth": 0.0,
   "repeat": "retryable", "repeat-window-ns": 5000000000, "worth": 1.0},
  {"name": "stock-reserve", "on-time-ns": 2400000000, "hard-limit-ns": 6100000000, "late-worth": 0.2,
   "repeat": "dedup", "repeat-window-ns": 18354000000, "worth": 2.0}],
 "realms": [{"name": "central", "quota-per-s": 55.0, "share": 0.34}, {"name": "southern", "quota-per-s": 55.0, "share": 0.34},
  {"name": "northern", "quota-per-s": 26.0, "share": 0.16}, {"name": "east-coast", "quota-per-s": 26.0, "share": 0.16}],
 "family-info": {"below": "none", "caller-idle-ns": 15000000000, "callers": 3, "cold": false, "cores": 6, "fresh-ns": 0,
  "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "heeded-ns": 1000000000, "key-kb": 86.4, "list-follows": false,
  "memory-kb": 39474.0, "passes-deadline": false, "real-checks": true, "run-factor": 16.0, "say": "level",
  "stop-mode": "drop", "tells-gone": false},
 "limits": {"cpu-us-per-s": 60000, "max-retry-after-ns": 1000000000, "retry-after": true},
 "obligations": {"answer-slack-ns": 100000000, "cold-ns": 16000000000, "cold-share": 0.22, "drain-grace-ns": 2000000000,
  "fall-ns": 1500000000, "overload-factor": 8.0}}`

// Figures of the settings above that the checks use.
const (
	answerSlack = 150 * time.Millisecond // answer-slack-ns, and the 50 ms by which every limit on sockets is longer
	stopTime    = 3200 * time.Millisecond
)

// record is the record of a case: what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// openRecord creates the record in a folder.
func openRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

// at returns a time in seconds since the start of the case.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add adds a line to the record.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// server is one catalogue server, started by the command of the deploy file, with its interpreter and announce service.
type server struct {
	name        string
	addr        string
	configPath  string
	config      map[string]any
	interpreter *fake.Interpreter
	announce    *net.UDPConn
	process     *daemon.Process
	log         daemon.Log
}

// runCommand returns the command "run" of the deploy file in the current directory.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), `run = "`); found {
			return strings.TrimSuffix(value, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run")
}

// limits are the limits of a server's process.
type limits struct{ memoryMB, sockets int }

// startServer starts a server of a deployment with a number of servers, and waits until it answers a health check.
// stopServers stops it.
func startServer(r *record, dir, name string, l limits, servers int) (*server, error) {
	s := &server{name: name}
	started = append(started, s)
	var err error
	if s.interpreter, err = fake.NewInterpreter(); err != nil {
		return s, err
	}
	if s.announce, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return s, err
	}
	if s.addr, err = fake.FreeAddr(); err != nil {
		return s, err
	}
	s.configPath = filepath.Join(dir, name+".json")
	s.config = map[string]any{"name": name, "listen": s.addr, "vm": s.interpreter.Addr(), "announce": s.announce.LocalAddr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": stopTime.Milliseconds(), "settings": json.RawMessage(fmt.Sprintf(settingsText, servers)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": l.memoryMB, "sockets": l.sockets}}
	if err = daemon.ConfigFile(s.configPath).Write(s.config); err != nil {
		return s, err
	}
	run, err := runCommand()
	if err != nil {
		return s, err
	}
	s.process, err = daemon.Start(daemon.Command{Program: "/bin/sh", Args: []string{"-c", run}, Core: daemon.AnyCore,
		Env: []string{"RELAY_NAME=" + name, "RELAY_LISTEN=" + s.addr, "RELAY_CONFIG=" + s.configPath, "TMPDIR=" + dir}}, &s.log)
	if err != nil {
		return s, err
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s.isHealthy() {
			r.add("%s: started, %d MB, %d descriptors, healthy", name, l.memoryMB, l.sockets)
			return s, nil
		}
	}
	return s, fmt.Errorf("%s did not become healthy: %s", name, s.log.String())
}

// isHealthy sends one health check on a connection of its own.
func (s *server) isHealthy() bool {
	g, err := fake.Dial(s.addr)
	if err != nil {
		return false
	}
	defer g.Close()
	if g.Write(fake.NewHealthCheck(false).Encode(1)) != nil {
		return false
	}
	response, err := g.ReadResponse(1, time.Now().Add(time.Second))
	return err == nil && response.Status == 200
}

// started are the servers that startServer has started.
var started []*server

// stopServers kills the processes of all servers, and closes their stand-ins.
func stopServers() {
	for _, s := range started {
		if s.process != nil {
			s.process.Kill()
		}
		if s.interpreter != nil {
			s.interpreter.Close()
		}
		if s.announce != nil {
			s.announce.Close()
		}
	}
}

// checkAlive returns an error if the process of a server has ended, which no case here brings about by its disruption.
func checkAlive() error {
	for _, s := range started {
		select {
		case <-s.process.Exited():
			return fmt.Errorf("%s has ended: %s", s.name, s.log.String())
		default:
		}
	}
	return nil
}

// peakMemory returns the most memory that the server's process has had, as the kernel states it.
func (s *server) peakMemory() string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.OS().Pid)) // empty if the process has ended
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}
