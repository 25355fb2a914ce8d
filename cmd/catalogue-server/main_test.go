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

// serverCommand is the shell command in deploy/balancer.toml that runs the server, with the path of the built binary. Tests
// start the server with the same command as the platform.
var serverCommand string

// cataloguectlPath is the path of the built cataloguectl, which runs servers with a faulty disk.
var cataloguectlPath string

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
		fmt.Fprintln(os.Stderr, "deploy/balancer.toml has no run command that ends in bin/catalogue-server:", err)
		return 1
	}
	serverCommand = strings.Replace(string(line[1]), "bin/catalogue-server", binary, 1)
	cataloguectlPath = filepath.Join(dir, "cataloguectl")
	return m.Run()
}

// startServer starts a server and its interpreter, and waits until the server is healthy. prepare may change the
// interpreter before the server starts, and may be nil.
func startServer(t *testing.T, prepare func(interpreter *servertest.Interpreter)) *servertest.Server {
	t.Helper()
	interpreter := servertest.NewInterpreter(t)
	if prepare != nil {
		prepare(interpreter)
	}
	server := servertest.Start(t, serverCommand, interpreter, nil)
	server.WaitHealthy()
	return server
}

// finishImmediately configures an interpreter to finish each run when it starts.
func finishImmediately(it *servertest.Interpreter) { it.FinishImmediately() }

// TestServe checks that requests of both classes are served, that bodies may contain any bytes, that load reports are sent
// repeatedly, and that every response after the first gauge reading has the load hint in the header Server-Hint.
func TestServe(t *testing.T) {
	server := startServer(t, finishImmediately)
	if got := server.WaitReport(); got != "announce n3 true" {
		t.Errorf("report %q, want announce n3 true", got)
	}
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("a\x00\xff").Encode(1), fake.NewReserve(1, "").Encode(2))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "[a\x00\xff]" {
		t.Errorf("response %+v, want status 200 and the request's body in brackets", a)
	}
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "[]" {
		t.Errorf("response %+v, want status 200 and an empty body in brackets", a)
	}
	for _, run := range server.StartedRuns() {
		if run.Class == "part-lookup" && string(run.Body) != "a\x00\xff" {
			t.Errorf("the interpreter received the body %q", run.Body)
		}
	}
	// The decision module reports the load only after it has received the first gauge reading.
	servertest.WaitFor(t, "a response with Server-Hint", func() bool {
		g.Write(fake.NewLookup("").Encode(1))
		return g.WaitResponse(1).Header.Get("Server-Hint") != ""
	})
	tooLong := fake.NewLookup(strings.Repeat("b", 2049))
	for _, r := range []fake.Request{fake.NewHealthCheck(false), tooLong, fake.NewLookup("").WithHeader("Account", "")} {
		g.Write(r.Encode(1))
		if a := g.WaitResponse(1); a.Header.Get("Server-Hint") == "" {
			t.Errorf("response without Server-Hint: %+v", a)
		}
	}
	if got := server.WaitReport(); got != "announce n3 true" {
		t.Errorf("second report %q, want announce n3 true", got)
	}
}

// TestClassCounters checks the counters by class after a request of one class was served and one of the other rejected.
func TestClassCounters(t *testing.T) {
	server := startServer(t, func(interpreter *servertest.Interpreter) { interpreter.SetUtilization(1) })
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewLookup("").Encode(2)) // one per core
	runs := server.WaitRuns(2)
	server.WaitGaugeReading()
	queued := fake.NewReserve(7, "x").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(queued.Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 {
		t.Fatalf("response %+v, want status 503", a)
	}
	server.EndRun(runs[0].ID, "OK", []byte("a"))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("response %+v, want status 200", a)
	}
	type class struct{ Requests, Served, Rejected, Failed int }
	var line struct{ Classes map[string]class }
	servertest.WaitFor(t, "the counters by class in the log", func() bool {
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
		t.Errorf("counters of part-lookup: %+v, want 2 requests, 1 served", got)
	}
	if got := line.Classes["stock-reserve"]; got != (class{Requests: 1, Rejected: 1}) {
		t.Errorf("counters of stock-reserve: %+v, want 1 request, 1 rejected", got)
	}
}

// TestDeadline checks that a request fails if its run does not end before the deadline, which counts from the request's
// arrival at the machine.
func TestDeadline(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	const queueingDelay = 3300 * time.Millisecond // of the 3.7 s until the deadline
	sent := time.Now()
	arrived := sent.Add(-queueingDelay)
	g.Write(fake.NewLookup("").WithHeader("Received-At", strconv.FormatInt(arrived.UnixMilli(), 10)).Encode(1))
	a := g.WaitResponse(1)
	if a.Status != 500 && a.Status != 503 {
		t.Errorf("response %+v, want status 500 or 503", a)
	}
	if took := time.Since(sent); took >= queueingDelay { // 0.4 s, or 3.7 s if the queueing delay did not count
		t.Errorf("the response came %v after the request was sent", took)
	}
	// The run is stopped, and its end does not cause a second response.
	server.WaitCounter("running", 0)
	g.Write(fake.NewHealthCheck(false).Encode(2))
	if a := g.WaitResponse(0); a.ID != 2 {
		t.Errorf("response %+v, want one to request 2", a)
	}
}

// withDownstream returns a configuration change that sets family-info.below: the dependency that requests call while they
// run.
func withDownstream(dependency string) func(c map[string]any) {
	return func(c map[string]any) {
		c["settings"] = map[string]any{"servers": 2, "family-info": map[string]any{"below": dependency}}
	}
}

// TestBadConfig checks that an invalid configuration or an address in use ends the start with one line on standard error,
// which names the cause.
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
			first := servertest.Start(t, serverCommand, interpreter, nil)
			first.WaitHealthy()
			cmd := exec.Command("/bin/sh", "-c", serverCommand)
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+first.ConfigPath, "RELAY_LISTEN="+first.Addr)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), field) || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%s: error %v, output %q", field, err, out)
			}
			continue
		}
		server := servertest.Start(t, serverCommand, servertest.NewInterpreter(t), change)
		status := server.WaitExit()
		if log := server.Log(); status == 0 || !strings.Contains(log, field) || strings.Count(log, "\n") != 1 {
			t.Errorf("%s: exit status %d, output %q", field, status, log)
		}
	}
}
