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

// kit is the operators' kit, which plays servers with sick disks.
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

// start starts a node whose interpreter is up, and waits until it serves.
func start(t *testing.T, prepare func(it *servertest.Interpreter)) *servertest.Node {
	t.Helper()
	it := servertest.NewInterpreter(t)
	if prepare != nil {
		prepare(it)
	}
	n := servertest.Start(t, program, it, nil)
	n.WaitUp()
	return n
}

func prompt(it *servertest.Interpreter) { it.Prompt() }

// TestServe has requests of both classes served, with any bytes, and looks at what goes along.
func TestServe(t *testing.T) {
	n := start(t, prompt)
	if got := n.Report(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Lookup("a\x00\xff").Records(1), fake.Reserve(1, "").Records(2))
	if a := g.Answer(1); a.Status != 200 || string(a.Body) != "[a\x00\xff]" {
		t.Errorf("answer %+v", a)
	}
	if a := g.Answer(2); a.Status != 200 || string(a.Body) != "[]" {
		t.Errorf("answer %+v", a)
	}
	for _, run := range n.Applied() {
		if run.Class == "part-lookup" && string(run.Body) != "a\x00\xff" {
			t.Errorf("the body reached the interpreter as %q", run.Body)
		}
	}
	// The module sets the value that callers read at its first look at the gauges.
	servertest.Wait(t, "the hint on an answer", func() bool {
		g.Write(fake.Lookup("").Records(1))
		return g.Answer(1).Header.Get("Server-Hint") != ""
	})
	flawed := fake.Lookup(strings.Repeat("b", 2049))
	for _, r := range []fake.Request{fake.Health(false), flawed, fake.Lookup("").With("Account", "")} {
		g.Write(r.Records(1))
		if a := g.Answer(1); a.Header.Get("Server-Hint") == "" {
			t.Errorf("answer without the hint %+v", a)
		}
	}
	if got := n.Report(); got != "announce n3 true" {
		t.Errorf("second report %q", got)
	}
}

// TestRepeats sends two tries of one request at once and a third after it was served: it runs once, and all
// are answered by that run.
func TestRepeats(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	first, second := fake.Reserve(7, "x"), fake.Reserve(7, "x").With("Attempt-Again", "1")
	g.Write(append(first.Records(1), second.Records(2)...))
	n.End(n.WaitApplied(1)[0].ID, "OK", []byte("done"))
	for id := range uint16(2) {
		if a := g.Answer(id + 1); a.Status != 200 || string(a.Body) != "done" {
			t.Errorf("answer %+v", a)
		}
	}
	other := servertest.Dial(t, n.Addr)
	other.Write(fake.Reserve(7, "x").With("Attempt-Again", "1").Records(1))
	if a := other.Answer(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the later try %+v", a)
	}
	if runs := n.Applied(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	n.WaitCounter("reused", 2)
}

// TestClassesAreCounted has one request of a class served and one of another refused: the counters of each class tell so, and why.
func TestClassesAreCounted(t *testing.T) {
	n := start(t, func(it *servertest.Interpreter) { it.Busy(1) })
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Lookup("").Records(1), fake.Lookup("").Records(2)) // one a core
	runs := n.WaitApplied(2)
	n.WaitGauges()
	old := fake.Reserve(7, "x").With("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(old.Records(3))
	if a := g.Answer(3); a.Status != 503 {
		t.Fatalf("answer %+v", a)
	}
	n.End(runs[0].ID, "OK", []byte("a"))
	if a := g.Answer(1); a.Status != 200 {
		t.Fatalf("answer %+v", a)
	}
	type class struct{ Requests, Served, Refused, Failed int }
	var line struct{ Classes map[string]class }
	servertest.Wait(t, "counters by class", func() bool {
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

// TestRefusedFreesKey has a keyed request turned away from the hold as its time runs out: it never ran, so a
// further try of it counts as new and is run.
func TestRefusedFreesKey(t *testing.T) {
	n := start(t, func(it *servertest.Interpreter) { it.Busy(1) })
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Lookup("").Records(1), fake.Lookup("").Records(2)) // one a core
	runs := n.WaitApplied(2)
	n.WaitGauges() // by an older reading the cores have room
	waiting := fake.Reserve(7, "x").With("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(waiting.Records(3))
	if a := g.Answer(3); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
		t.Fatalf("answer %+v", a)
	}
	g.Write(fake.Reserve(7, "x").With("Attempt-Again", "1").Records(4))
	for _, run := range runs {
		n.End(run.ID, "OK", nil)
	}
	n.End(n.WaitApplied(3)[2].ID, "OK", []byte("new"))
	if a := g.Answer(4); a.Status != 200 || string(a.Body) != "new" {
		t.Errorf("answer to the further try %+v", a)
	}
}

// TestFailedRun answers a request whose run failed, and never runs another try of it.
func TestFailedRun(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Reserve(7, "x").Records(1))
	n.End(n.WaitApplied(1)[0].ID, "ERROR", nil)
	if a := g.Answer(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.Write(fake.Reserve(7, "x").Records(2))
	if a := g.Answer(2); a.Status != 500 || a.Protocol != 0 {
		t.Errorf("answer to the second try %+v", a)
	}
	if runs := n.Applied(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}

// TestLinkLost loses the link while a request runs, which ends meanwhile: the notice is read on the next link,
// and nothing runs twice.
func TestLinkLost(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Reserve(1, "x").Records(1))
	first := n.WaitApplied(1)[0].ID
	n.Refuse(true)
	n.Cut()
	n.End(first, "OK", []byte("while away"))
	g.Write(fake.Reserve(2, "y").Records(2)) // asked for while no link stands
	n.WaitCounter("open", 2)
	n.Refuse(false)
	if a := g.Answer(1); a.Status != 200 || string(a.Body) != "while away" {
		t.Errorf("answer %+v", a)
	}
	runs := n.WaitApplied(2)
	n.Cut() // the run goes on and is not begun again
	n.WaitCounter("links", 3)
	n.End(runs[1].ID, "OK", []byte("second"))
	if a := g.Answer(2); a.Status != 200 || string(a.Body) != "second" {
		t.Errorf("answer %+v", a)
	}
	if runs := n.Applied(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestCallerLost closes a connection with a request that runs: the server goes on, and a further try gets the
// result of that run.
func TestCallerLost(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Reserve(1, "x").Records(1))
	run := n.WaitApplied(1)[0].ID
	g.Close()
	n.WaitCounter("lost", 1)
	n.End(run, "OK", []byte("kept"))
	g = servertest.Dial(t, n.Addr)
	g.Write(fake.Reserve(1, "x").Records(1))
	if a := g.Answer(1); a.Status != 200 || string(a.Body) != "kept" {
		t.Errorf("answer %+v", a)
	}
	if runs := n.Applied(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}

// TestDue fails a request whose run does not end in time, counted from its arrival at the machine.
func TestDue(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	const unread = 3300 * time.Millisecond // of 3.7 s
	sent := time.Now()
	arrived := sent.Add(-unread)
	g.Write(fake.Lookup("").With("Received-At", strconv.FormatInt(arrived.UnixMilli(), 10)).Records(1))
	a := g.Answer(1)
	if a.Status != 500 && a.Status != 503 {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(sent); took >= unread { // 0.4 s, or 3.7 s if the time unread did not count
		t.Errorf("answered %v after it was sent", took)
	}
	// The run is stopped, and its end is no second answer.
	n.WaitCounter("running", 0)
	g.Write(fake.Health(false).Records(2))
	if a := g.Answer(0); a.ID != 2 {
		t.Errorf("second answer %+v", a)
	}
}

// TestDrain leaves with one request under way: it is answered, what comes after the grace is not run, and the
// process ends by itself before it would be killed.
func TestDrain(t *testing.T) {
	n := start(t, nil)
	n.Report()
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Lookup("").Records(1))
	run := n.WaitApplied(1)[0].ID
	n.Signal(syscall.SIGTERM)
	servertest.Wait(t, "the drain", func() bool { return strings.Contains(n.Log(), `"draining"`) })
	begun := time.Now()
	servertest.Wait(t, "the report of the leave", func() bool { return n.Report() == "announce n3 false" })
	servertest.Wait(t, "the end of the grace", func() bool { return time.Since(begun) > 400*time.Millisecond })
	g.Write(fake.Lookup("late").Records(2))
	if a := g.Answer(2); a.Status != 503 || a.Header.Get("Back-Off-Ms") != "1000" {
		t.Errorf("answer after the grace %+v", a)
	}
	n.End(run, "OK", []byte("in time"))
	if a := g.Answer(1); a.Status != 200 || string(a.Body) != "in time" {
		t.Errorf("answer %+v", a)
	}
	g.Ended()
	if status := n.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
	if runs := n.Applied(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	if n.Counter("served") != 1 || n.Counter("refused") != 1 {
		t.Errorf("counters at the exit: %d served, %d refused", n.Counter("served"), n.Counter("refused"))
	}
}

// TestDrainStuck leaves with a run that never ends: its request is failed and the process goes.
func TestDrainStuck(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Reserve(1, "x").Records(1))
	n.WaitApplied(1)
	n.Signal(syscall.SIGTERM)
	if a := g.Answer(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.Ended()
	if status := n.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
}

// TestBadInput answers what can be answered, closes only what is broken, and counts both.
func TestBadInput(t *testing.T) {
	n := start(t, prompt)
	g := servertest.Dial(t, n.Addr)
	good := fake.Reserve(1, "x")
	for what, c := range map[string]struct {
		r      fake.Request
		status int
	}{
		"no id":           {good.With("Request-Id", ""), 400},
		"short id":        {good.With("Request-Id", "9b1f"), 400},
		"no time":         {good.With("Received-At", ""), 400},
		"strange time":    {good.With("Received-At", "yesterday"), 400},
		"strange account": {good.With("Account", "acme"), 400},
		"no key":          {good.With("Once-Key", ""), 400},
		"no footprint":    {good.With("Footprint-Kb", ""), 400},
		"zero footprint":  {good.With("Footprint-Kb", "0"), 400},
		"huge footprint":  {good.With("Footprint-Kb", "2000"), 400},
		"not a number":    {good.With("Work-Estimate", "NaN"), 400},
		"rank of 1":       {good.With("Priority-Rank", "1"), 400},
		"negative work":   {good.With("Work-Estimate", "-12.5"), 400},
		"endless work":    {good.With("Work-Estimate", "Inf"), 400},
		"huge work":       {good.With("Work-Estimate", "100000"), 400},
		"work in hex":     {good.With("Work-Estimate", "0x1p3"), 400},
		"strange sender":  {good.With("Sent-By", "-1"), 400},
		"strange mark":    {good.With("Attempt-Again", "yes"), 400},
		"long ago":        {good.With("Received-At", "1"), 400},
		"far ahead":       {good.With("Received-At", strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10)), 400},
		"unknown class":   {fake.Request{Method: "POST", Path: "/v1/brake-fluid", Fields: good.Fields}, 400},
		"no class":        {fake.Request{Method: "POST", Path: "/stock-reserve", Fields: good.Fields}, 400},
		"wrong method":    {fake.Request{Method: "GET", Path: good.Path, Fields: good.Fields}, 400},
		"long body":       {fake.Reserve(1, strings.Repeat("b", 2049)), 413},
	} {
		g.Write(c.r.Records(1))
		if a := g.Answer(1); a.Status != c.status {
			t.Errorf("%s: answer %+v, want status %d", what, a, c.status)
		}
	}
	g.Write(good.With("Account", strings.Repeat("a", 3000)).Records(1))
	if a := g.Answer(1); a.Status != 400 || string(a.Body) != `field Account is "`+strings.Repeat("a", 40)+"\"\n" {
		t.Errorf("the answer does not name the field: %+v", a)
	}
	broken := servertest.Dial(t, n.Addr)
	broken.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	broken.Ended()
	g.Write(good.With("Sent-By", "4294967296").Records(2)) // the number of a gateway has no limit
	if a := g.Answer(2); a.Status != 200 {
		t.Errorf("answer after all that %+v", a)
	}
	n.WaitCounter("invalid", 23)
	n.WaitCounter("too_large", 1)
	n.WaitCounter("broken", 1)
}

// TestBorrowed sends a request that was served again under its id, and with its key and another body: neither
// gets the result, and the copies of a request that was turned away are not taken for further tries.
func TestBorrowed(t *testing.T) {
	n := start(t, prompt)
	g := servertest.Dial(t, n.Addr)
	r := fake.Reserve(1, "x")
	g.Write(r.Records(1))
	if a := g.Answer(1); a.Status != 200 {
		t.Fatalf("answer %+v", a)
	}
	other := fake.Reserve(1, "y")
	late := fake.Lookup("").With("Received-At", strconv.FormatInt(time.Now().Add(-5*time.Second).UnixMilli(), 10))
	g.Write(late.Records(1))
	if a := g.Answer(1); a.Status != 503 {
		t.Errorf("answer to a request whose time is over %+v", a)
	}
	for what, r := range map[string]fake.Request{"its id": r, "its key with another body": other, "an id that was refused": late} {
		g.Write(r.Records(1))
		if a := g.Answer(1); a.Status != 400 {
			t.Errorf("%s: answer %+v", what, a)
		}
	}
	n.WaitCounter("reused", 0)
	n.WaitCounter("requests", 5)
}

// TestUnknownFreesKey has the interpreter turn away a request that no gateway can have sent: nothing ran, so the
// request that its key belongs to is served.
func TestUnknownFreesKey(t *testing.T) {
	n := start(t, prompt)
	g := servertest.Dial(t, n.Addr)
	stray := fake.Reserve(1, "x")
	n.Unknown(stray.ID())
	g.Write(stray.Records(1))
	if a := g.Answer(1); a.Status != 500 {
		t.Errorf("answer to the stray %+v", a)
	}
	g.Write(fake.Reserve(1, "y").Records(2))
	if a := g.Answer(2); a.Status != 200 || string(a.Body) != "[y]" {
		t.Errorf("answer %+v", a)
	}
}

// TestTooMany fills a connection: what is over its limit gets the protocol's own answer.
func TestTooMany(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	for id := range uint16(33) {
		g.Write(fake.Lookup("").Records(id + 1))
	}
	if a := g.Answer(33); a.Protocol != 2 || a.Status != 0 {
		t.Errorf("answer %+v", a)
	}
	n.WaitCounter("too_many", 1)
}

// TestAbort ends a request that its gateway gave up, once.
func TestAbort(t *testing.T) {
	n := start(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Lookup("").Records(1))
	run := n.WaitApplied(1)[0].ID
	g.Write(fake.Record(fake.Abort, 1, nil, 0))
	if a := g.Answer(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	n.End(run, "OK", []byte("unwanted"))
	n.WaitCounter("running", 0)
	g.Write(fake.Health(false).Records(2))
	if a := g.Answer(0); a.ID != 2 {
		t.Errorf("second answer %+v", a)
	}
}

// TestNotYetUp has an interpreter that comes up late: checks fail until then, and nothing is announced.
func TestNotYetUp(t *testing.T) {
	it := servertest.NewInterpreter(t)
	it.Down()
	n := servertest.Start(t, program, it, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.Health(false).Records(1), fake.Lookup("").Records(2))
	if a := g.Answer(1); a.Status != 503 {
		t.Errorf("health check %+v", a)
	}
	if a := g.Answer(2); a.Status != 503 {
		t.Errorf("request %+v", a)
	}
	it.Start()
	n.WaitUp()
	if got := n.Report(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
}

// TestDescriptorsOut takes all descriptors away: callers are turned away at once, and let in again later.
func TestDescriptorsOut(t *testing.T) {
	n := start(t, prompt)
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
	servertest.Wait(t, "a caller to be turned away", func() bool {
		servertest.Dial(t, n.Addr)
		n.Signal(syscall.SIGUSR1)
		return n.Counter("accept_errors") > 0
	})
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	// One that came while none was free may still be turned away; the next ones are served.
	servertest.Wait(t, "a caller to be served", func() bool {
		g := servertest.Dial(t, n.Addr)
		if g.Gateway.Write(fake.Lookup("").Records(1)) != nil {
			return false
		}
		a, err := g.TryAnswer(1)
		return err == nil && a.Status == 200
	})
}

// below is a change of what requests call while they run.
func below(what string) func(c map[string]any) {
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
		"family-info.below":   below("sideways"),
		"address already in ": nil,
	} {
		if change == nil {
			it := servertest.NewInterpreter(t)
			first := servertest.Start(t, program, it, nil)
			first.WaitUp()
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
