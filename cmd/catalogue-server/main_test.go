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

	"golang.org/x/sys/unix"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// program starts the built command by the line of the deploy file, which the tests start as the platform does.
var program string

// kit is cataloguectl, which runs servers with faulty disks.
var kit string

func TestMain(m *testing.M) { os.Exit(run(m)) }

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

// startServer starts a server whose interpreter is up, and waits until it serves.
func startServer(t *testing.T, prepare func(it *servertest.Interpreter)) *servertest.Server {
	t.Helper()
	it := servertest.NewInterpreter(t)
	if prepare != nil {
		prepare(it)
	}
	n := servertest.Start(t, program, it, nil)
	n.WaitHealthy()
	return n
}

// finishImmediately has an interpreter finish its runs at once.
func finishImmediately(it *servertest.Interpreter) { it.FinishImmediately() }

// TestServe has requests of both classes served, with any bytes, and looks at what is sent along.
func TestServe(t *testing.T) {
	n := startServer(t, finishImmediately)
	if got := n.WaitReport(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewLookup("a\x00\xff").Encode(1), fake.NewReserve(1, "").Encode(2))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "[a\x00\xff]" {
		t.Errorf("answer %+v", a)
	}
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "[]" {
		t.Errorf("answer %+v", a)
	}
	for _, run := range n.StartedRuns() {
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
	if got := n.WaitReport(); got != "announce n3 true" {
		t.Errorf("second report %q", got)
	}
}

// TestRetries sends two attempts of one request at once and a third after it was served: it runs once, and all are
// answered by that run.
func TestRetries(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	first, second := fake.NewReserve(7, "x"), fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1")
	g.Write(append(first.Encode(1), second.Encode(2)...))
	n.EndRun(n.WaitRuns(1)[0].ID, "OK", []byte("done"))
	for id := range uint16(2) {
		if a := g.WaitResponse(id + 1); a.Status != 200 || string(a.Body) != "done" {
			t.Errorf("answer %+v", a)
		}
	}
	other := servertest.Dial(t, n.Addr)
	other.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(1))
	if a := other.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the later attempt %+v", a)
	}
	if runs := n.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	n.WaitCounter("reused", 2)
}

// TestClassesAreCounted has one request of a class served and one of another rejected: the counters of each class show
// it, and why.
func TestClassesAreCounted(t *testing.T) {
	n := startServer(t, func(it *servertest.Interpreter) { it.SetUtilization(1) })
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewLookup("").Encode(2)) // one a core
	runs := n.WaitRuns(2)
	n.WaitGaugeReading()
	old := fake.NewReserve(7, "x").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(old.Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 {
		t.Fatalf("answer %+v", a)
	}
	n.EndRun(runs[0].ID, "OK", []byte("a"))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("answer %+v", a)
	}
	type class struct{ Requests, Served, Refused, Failed int }
	var line struct{ Classes map[string]class }
	servertest.WaitFor(t, "counters by class", func() bool {
		n.Signal(syscall.SIGUSR1)
		for _, text := range strings.Split(n.Log(), "\n") {
			if strings.Contains(text, `"msg":"classes"`) {
				if err := json.Unmarshal([]byte(text), &line); err != nil {
					return false // not written to its end
				}
			}
		}
		return line.Classes["part-lookup"].Served == 1
	})
	if got := line.Classes["part-lookup"]; got != (class{Requests: 2, Served: 1}) {
		t.Errorf("part-lookup: %+v", got)
	}
	if got := line.Classes["stock-reserve"]; got != (class{Requests: 1, Refused: 1}) {
		t.Errorf("stock-reserve: %+v", got)
	}
}

// TestRejectionFreesKey has a queued request with an idempotency key rejected as its deadline nears: it never ran, so a
// retry counts as new and is run.
func TestRejectionFreesKey(t *testing.T) {
	n := startServer(t, func(it *servertest.Interpreter) { it.SetUtilization(1) })
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewLookup("").Encode(2)) // one a core
	runs := n.WaitRuns(2)
	n.WaitGaugeReading() // by an older reading the cores have room
	waiting := fake.NewReserve(7, "x").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(waiting.Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
		t.Fatalf("answer %+v", a)
	}
	g.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(4))
	for _, run := range runs {
		n.EndRun(run.ID, "OK", nil)
	}
	n.EndRun(n.WaitRuns(3)[2].ID, "OK", []byte("new"))
	if a := g.WaitResponse(4); a.Status != 200 || string(a.Body) != "new" {
		t.Errorf("answer to the retry %+v", a)
	}
}

// TestFailedRun answers a request whose run failed, and never runs a retry of it.
func TestFailedRun(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(7, "x").Encode(1))
	n.EndRun(n.WaitRuns(1)[0].ID, "ERROR", nil)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.Write(fake.NewReserve(7, "x").Encode(2))
	if a := g.WaitResponse(2); a.Status != 500 || a.ProtocolStatus != 0 {
		t.Errorf("answer to the second attempt %+v", a)
	}
	if runs := n.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}

// TestLinkLost loses the link while a request runs, which ends meanwhile: the notice is read on the next link, and
// nothing runs twice.
func TestLinkLost(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	first := n.WaitRuns(1)[0].ID
	n.RejectLinks(true)
	n.CutLink()
	n.EndRun(first, "OK", []byte("while away"))
	g.Write(fake.NewReserve(2, "y").Encode(2)) // asked for while no link stands
	n.WaitCounter("open", 2)
	n.RejectLinks(false)
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "while away" {
		t.Errorf("answer %+v", a)
	}
	runs := n.WaitRuns(2)
	n.CutLink() // the run goes on and is not begun again
	n.WaitCounter("links", 3)
	n.EndRun(runs[1].ID, "OK", []byte("second"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "second" {
		t.Errorf("answer %+v", a)
	}
	if runs := n.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestCallerLost closes a connection with a request that runs: the server goes on, and a retry gets the result of that
// run.
func TestCallerLost(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	run := n.WaitRuns(1)[0].ID
	g.Close()
	n.WaitCounter("lost", 1)
	n.EndRun(run, "OK", []byte("kept"))
	g = servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "kept" {
		t.Errorf("answer %+v", a)
	}
	if runs := n.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}

// TestDeadline fails a request whose run does not end in time, counted from its arrival at the machine.
func TestDeadline(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	const unread = 3300 * time.Millisecond // of 3.7 s
	sent := time.Now()
	arrived := sent.Add(-unread)
	g.Write(fake.NewLookup("").WithHeader("Received-At", strconv.FormatInt(arrived.UnixMilli(), 10)).Encode(1))
	a := g.WaitResponse(1)
	if a.Status != 500 && a.Status != 503 {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(sent); took >= unread { // 0.4 s, or 3.7 s if the time unread did not count
		t.Errorf("answered %v after it was sent", took)
	}
	// The run is stopped, and its end is no second answer.
	n.WaitCounter("running", 0)
	g.Write(fake.NewHealthCheck(false).Encode(2))
	if a := g.WaitResponse(0); a.ID != 2 {
		t.Errorf("second answer %+v", a)
	}
}

// TestDrain drains with one open request: it is answered, what arrives after the grace period is not run, and the
// process ends by itself before it would be killed.
func TestDrain(t *testing.T) {
	n := startServer(t, nil)
	n.WaitReport()
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := n.WaitRuns(1)[0].ID
	n.Signal(syscall.SIGTERM)
	servertest.WaitFor(t, "the drain", func() bool { return strings.Contains(n.Log(), `"draining"`) })
	begun := time.Now()
	servertest.WaitFor(t, "the report of the leave", func() bool { return n.WaitReport() == "announce n3 false" })
	servertest.WaitFor(t, "the end of the grace", func() bool { return time.Since(begun) > 400*time.Millisecond })
	g.Write(fake.NewLookup("late").Encode(2))
	if a := g.WaitResponse(2); a.Status != 503 || a.Header.Get("Back-Off-Ms") != "1000" {
		t.Errorf("answer after the grace %+v", a)
	}
	n.EndRun(run, "OK", []byte("in time"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "in time" {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	if status := n.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
	if runs := n.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	if n.Counter("served") != 1 || n.Counter("refused") != 1 {
		t.Errorf("counters at the exit: %d served, %d refused", n.Counter("served"), n.Counter("refused"))
	}
}

// TestDrainStuck drains with a run that never ends: its request fails and the process ends.
func TestDrainStuck(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	n.WaitRuns(1)
	n.Signal(syscall.SIGTERM)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	if status := n.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
}

// TestBadInput answers what can be answered, closes only broken connections, and counts both.
func TestBadInput(t *testing.T) {
	n := startServer(t, finishImmediately)
	g := servertest.Dial(t, n.Addr)
	good := fake.NewReserve(1, "x")
	for what, c := range map[string]struct {
		r      fake.Request
		status int
	}{
		"no id":           {good.WithHeader("Request-Id", ""), 400},
		"short id":        {good.WithHeader("Request-Id", "9b1f"), 400},
		"no time":         {good.WithHeader("Received-At", ""), 400},
		"strange time":    {good.WithHeader("Received-At", "yesterday"), 400},
		"strange account": {good.WithHeader("Account", "acme"), 400},
		"no key":          {good.WithHeader("Once-Key", ""), 400},
		"no footprint":    {good.WithHeader("Footprint-Kb", ""), 400},
		"zero footprint":  {good.WithHeader("Footprint-Kb", "0"), 400},
		"huge footprint":  {good.WithHeader("Footprint-Kb", "2000"), 400},
		"not a number":    {good.WithHeader("Work-Estimate", "NaN"), 400},
		"rank of 1":       {good.WithHeader("Priority-Rank", "1"), 400},
		"negative work":   {good.WithHeader("Work-Estimate", "-12.5"), 400},
		"endless work":    {good.WithHeader("Work-Estimate", "Inf"), 400},
		"huge work":       {good.WithHeader("Work-Estimate", "100000"), 400},
		"work in hex":     {good.WithHeader("Work-Estimate", "0x1p3"), 400},
		"strange sender":  {good.WithHeader("Sent-By", "-1"), 400},
		"strange mark":    {good.WithHeader("Attempt-Again", "yes"), 400},
		"long ago":        {good.WithHeader("Received-At", "1"), 400},
		"far ahead":       {good.WithHeader("Received-At", strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10)), 400},
		"unknown class":   {fake.Request{Method: "POST", Path: "/v1/brake-fluid", Headers: good.Headers}, 400},
		"no class":        {fake.Request{Method: "POST", Path: "/stock-reserve", Headers: good.Headers}, 400},
		"wrong method":    {fake.Request{Method: "GET", Path: good.Path, Headers: good.Headers}, 400},
		"long body":       {fake.NewReserve(1, strings.Repeat("b", 2049)), 413},
	} {
		g.Write(c.r.Encode(1))
		if a := g.WaitResponse(1); a.Status != c.status {
			t.Errorf("%s: answer %+v, want status %d", what, a, c.status)
		}
	}
	g.Write(good.WithHeader("Account", strings.Repeat("a", 3000)).Encode(1))
	if a := g.WaitResponse(1); a.Status != 400 || string(a.Body) != `field Account is "`+strings.Repeat("a", 40)+"\"\n" {
		t.Errorf("the answer does not name the field: %+v", a)
	}
	broken := servertest.Dial(t, n.Addr)
	broken.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	broken.WaitClosed()
	g.Write(good.WithHeader("Sent-By", "4294967296").Encode(2)) // the number of a gateway has no limit
	if a := g.WaitResponse(2); a.Status != 200 {
		t.Errorf("answer after all that %+v", a)
	}
	n.WaitCounter("invalid", 23)
	n.WaitCounter("too_large", 1)
	n.WaitCounter("broken", 1)
}

// TestBorrowed sends a request that was served again under its ID, and with its key and another body: neither gets the
// result, and the copies of a rejected request are not taken for retries.
func TestBorrowed(t *testing.T) {
	n := startServer(t, finishImmediately)
	g := servertest.Dial(t, n.Addr)
	r := fake.NewReserve(1, "x")
	g.Write(r.Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("answer %+v", a)
	}
	other := fake.NewReserve(1, "y")
	late := fake.NewLookup("").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5*time.Second).UnixMilli(), 10))
	g.Write(late.Encode(1))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("answer to a request whose time is over %+v", a)
	}
	for what, r := range map[string]fake.Request{"its id": r, "its key with another body": other, "an id that was refused": late} {
		g.Write(r.Encode(1))
		if a := g.WaitResponse(1); a.Status != 400 {
			t.Errorf("%s: answer %+v", what, a)
		}
	}
	n.WaitCounter("reused", 0)
	n.WaitCounter("requests", 5)
}

// TestUnknownFreesKey has the interpreter reject a request that no gateway can have sent: nothing ran, so the request
// that its key belongs to is served.
func TestUnknownFreesKey(t *testing.T) {
	n := startServer(t, finishImmediately)
	g := servertest.Dial(t, n.Addr)
	stray := fake.NewReserve(1, "x")
	n.RejectRun(stray.ID())
	g.Write(stray.Encode(1))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer to the stray %+v", a)
	}
	g.Write(fake.NewReserve(1, "y").Encode(2))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "[y]" {
		t.Errorf("answer %+v", a)
	}
}

// TestTooMany opens too many requests on a connection: those over its limit get the protocol's own answer.
func TestTooMany(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	for id := range uint16(33) {
		g.Write(fake.NewLookup("").Encode(id + 1))
	}
	if a := g.WaitResponse(33); a.ProtocolStatus != 2 || a.Status != 0 {
		t.Errorf("answer %+v", a)
	}
	n.WaitCounter("too_many", 1)
}

// TestAbort ends a request that its gateway aborted, once.
func TestAbort(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := n.WaitRuns(1)[0].ID
	g.Write(fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	n.EndRun(run, "OK", []byte("unwanted"))
	n.WaitCounter("running", 0)
	g.Write(fake.NewHealthCheck(false).Encode(2))
	if a := g.WaitResponse(0); a.ID != 2 {
		t.Errorf("second answer %+v", a)
	}
}

// TestNotYetUp has an interpreter that comes up late: health checks fail until then, and nothing is announced.
func TestNotYetUp(t *testing.T) {
	it := servertest.NewInterpreter(t)
	it.MarkDown()
	n := servertest.Start(t, program, it, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewHealthCheck(false).Encode(1), fake.NewLookup("").Encode(2))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("health check %+v", a)
	}
	if a := g.WaitResponse(2); a.Status != 503 {
		t.Errorf("request %+v", a)
	}
	it.MarkUp()
	n.WaitHealthy()
	if got := n.WaitReport(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
}

// TestDescriptorsOut takes all descriptors away: callers are rejected at once, and accepted again later.
func TestDescriptorsOut(t *testing.T) {
	n := startServer(t, finishImmediately)
	n.WaitCounter("connections", 0)
	used, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var before unix.Rlimit
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	highest := 0
	for _, fd := range used {
		number, _ := strconv.Atoi(fd.Name())
		highest = max(highest, number)
	}
	few := unix.Rlimit{Cur: uint64(highest + 1), Max: before.Max}
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	servertest.WaitFor(t, "a caller to be turned away", func() bool {
		servertest.Dial(t, n.Addr)
		n.Signal(syscall.SIGUSR1)
		return n.Counter("accept_errors") > 0
	})
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	// One that came while none was free may still be rejected; the next ones are served.
	servertest.WaitFor(t, "a caller to be served", func() bool {
		g := servertest.Dial(t, n.Addr)
		if g.Gateway.Write(fake.NewLookup("").Encode(1)) != nil {
			return false
		}
		a, err := g.TryResponse(1)
		return err == nil && a.Status == 200
	})
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
			it := servertest.NewInterpreter(t)
			first := servertest.Start(t, program, it, nil)
			first.WaitHealthy()
			cmd := exec.Command("/bin/sh", "-c", program)
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+first.ConfigPath, "RELAY_LISTEN="+first.Addr)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), field) || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%s: error %v, output %q", field, err, out)
			}
			continue
		}
		n := servertest.Start(t, program, servertest.NewInterpreter(t), change)
		status := n.WaitExit()
		if log := n.Log(); status == 0 || !strings.Contains(log, field) || strings.Count(log, "\n") != 1 {
			t.Errorf("%s: exit status %d, output %q", field, status, log)
		}
	}
}
