package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// program is the shell command of the deploy file, with the path of the built binary: tests start it as the platform
// does.
var program string

// kit is the path of cataloguectl, which runs servers with faulty disks.
var kit string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs, runs the tests and returns the exit status.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tillerusher")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "catalogue-server")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	if out, err := exec.Command("go", "build", "-o", dir, "../catalogue-server-durable", "../cataloguectl").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	line := regexp.MustCompile(`(?m)^run = "(.*bin/catalogue-server)"$`).FindSubmatch(deploy)
	if err != nil || line == nil {
		fmt.Fprintln(os.Stderr, "deploy/balancer.toml starts no bin/catalogue-server", err)
		return 1
	}
	program = strings.Replace(string(line[1]), "bin/catalogue-server", binary, 1)
	kit = filepath.Join(dir, "cataloguectl")
	return m.Run()
}

// startServer starts a server whose interpreter is up, and waits until it is healthy.
func startServer(t *testing.T, prepare func(interpreter *servertest.Interpreter)) *servertest.Server {
	t.Helper()
	interpreter := servertest.NewInterpreter(t)
	if prepare != nil {
		prepare(interpreter)
	}
	server := servertest.Start(t, program, interpreter, nil)
	server.WaitHealthy()
	return server
}

// finishImmediately has an interpreter finish its runs at once.
func finishImmediately(it *servertest.Interpreter) { it.FinishImmediately() }

// TestServe has requests of both classes served, with any bytes, and checks the headers that are sent along.
func TestServe(t *testing.T) {
	server := startServer(t, finishImmediately)
	if got := server.WaitReport(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("a\x00\xff").Encode(1), fake.NewReserve(1, "").Encode(2))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "[a\x00\xff]" {
		t.Errorf("answer %+v", a)
	}
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "[]" {
		t.Errorf("answer %+v", a)
	}
	for _, run := range server.StartedRuns() {
		if run.Class == "part-lookup" && string(run.Body) != "a\x00\xff" {
			t.Errorf("the body reached the interpreter as %q", run.Body)
		}
	}
	// The module advertises the load from its first reading of the gauges on.
	servertest.WaitFor(t, "the hint on an answer", func() bool {
		g.Write(fake.NewLookup("").Encode(1))
		return g.WaitResponse(1).Header.Get("Server-Hint") != ""
	})
	flawed := fake.NewLookup(strings.Repeat("b", 2049))
	for _, r := range []fake.Request{fake.NewHealthCheck(false), flawed, fake.NewLookup("").WithHeader("Account", "")} {
		g.Write(r.Encode(1))
		if a := g.WaitResponse(1); a.Header.Get("Server-Hint") == "" {
			t.Errorf("answer without the hint %+v", a)
		}
	}
	if got := server.WaitReport(); got != "announce n3 true" {
		t.Errorf("second report %q", got)
	}
}

// TestClassCounters has one request of a class served and one of another rejected: the counters of each class show it.
func TestClassCounters(t *testing.T) {
	server := startServer(t, func(interpreter *servertest.Interpreter) { interpreter.SetUtilization(1) })
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewLookup("").Encode(2)) // one a core
	runs := server.WaitRuns(2)
	server.WaitGaugeReading()
	old := fake.NewReserve(7, "x").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(old.Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 {
		t.Fatalf("answer %+v", a)
	}
	server.EndRun(runs[0].ID, "OK", []byte("a"))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("answer %+v", a)
	}
	type class struct{ Requests, Served, Rejected, Failed int }
	var line struct{ Classes map[string]class }
	servertest.WaitFor(t, "counters by class", func() bool {
		server.Signal(syscall.SIGUSR1)
		for _, text := range strings.Split(server.Log(), "\n") {
			if strings.Contains(text, `"msg":"classes"`) {
				if err := json.Unmarshal([]byte(text), &line); err != nil {
					return false // the line is not complete yet
				}
			}
		}
		return line.Classes["part-lookup"].Served == 1
	})
	if got := line.Classes["part-lookup"]; got != (class{Requests: 2, Served: 1}) {
		t.Errorf("part-lookup: %+v", got)
	}
	if got := line.Classes["stock-reserve"]; got != (class{Requests: 1, Rejected: 1}) {
		t.Errorf("stock-reserve: %+v", got)
	}
}

// TestDeadline fails a request whose run does not end in time, counted from its arrival at the machine.
func TestDeadline(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	const queueingDelay = 3300 * time.Millisecond // of 3.7 s
	sent := time.Now()
	arrived := sent.Add(-queueingDelay)
	g.Write(fake.NewLookup("").WithHeader("Received-At", strconv.FormatInt(arrived.UnixMilli(), 10)).Encode(1))
	a := g.WaitResponse(1)
	if a.Status != 500 && a.Status != 503 {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(sent); took >= queueingDelay { // 0.4 s, or 3.7 s if the queueing delay did not count
		t.Errorf("answered %v after it was sent", took)
	}
	// The run is stopped, and its end is no second answer.
	server.WaitCounter("running", 0)
	g.Write(fake.NewHealthCheck(false).Encode(2))
	if a := g.WaitResponse(0); a.ID != 2 {
		t.Errorf("second answer %+v", a)
	}
}

// withDownstream changes what requests call while they run.
func withDownstream(what string) func(c map[string]any) {
	return func(c map[string]any) {
		c["settings"] = map[string]any{"servers": 2, "family-info": map[string]any{"below": what}}
	}
}

// TestBadConfig ends with one line that names the field.
func TestBadConfig(t *testing.T) {
	for field, change := range map[string]func(c map[string]any){
		"stop_ms":             func(c map[string]any) { delete(c, "stop_ms") },
		"vm":                  func(c map[string]any) { c["vm"] = "interpreter:9300" },
		"settings":            func(c map[string]any) { delete(c, "settings") },
		"limits.memory_mb":    func(c map[string]any) { c["limits"] = map[string]any{"cores": 1, "sockets": 1024} },
		"servers":             func(c map[string]any) { c["settings"] = map[string]any{} },
		"Cores":               func(c map[string]any) { c["settings"] = map[string]any{"servers": 2} },
		"family-info.below":   withDownstream("sideways"),
		"address already in ": nil,
	} {
		if change == nil {
			interpreter := servertest.NewInterpreter(t)
			first := servertest.Start(t, program, interpreter, nil)
			first.WaitHealthy()
			cmd := exec.Command("/bin/sh", "-c", program)
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+first.ConfigPath, "RELAY_LISTEN="+first.Addr)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), field) || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%s: error %v, output %q", field, err, out)
			}
			continue
		}
		server := servertest.Start(t, program, servertest.NewInterpreter(t), change)
		status := server.WaitExit()
		if log := server.Log(); status == 0 || !strings.Contains(log, field) || strings.Count(log, "\n") != 1 {
			t.Errorf("%s: exit status %d, output %q", field, status, log)
		}
	}
}
