package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
	"tillerusher/internal/servertest"
)

// stateKills is the number of times that TestStateKills kills a server. docs/design/state.md has the results of 2,000 kills.
var stateKills = flag.Int("statekills", 6, "how often TestStateKills kills a server")

// keyedLoad sends requests with idempotency keys, many of them with one of a few recent keys, and records them with the
// checker.
type keyedLoad struct {
	checker *invariant.Checker
	rng     *rand.Rand
	keys    int // number of keys used so far

	mu     sync.Mutex
	counts map[invariant.Outcome]int
	killed int // attempts that were open when a server was killed
}

// next returns the next attempt, for a new key or for one that was used before.
func (s *keyedLoad) next() (fake.Request, invariant.Attempt) {
	n := s.rng.IntN(s.keys + 1)
	switch {
	case n == s.keys:
		s.keys++
	case s.rng.IntN(2) == 0:
		n = max(s.keys-1-s.rng.IntN(5), 0) // half of the attempts with a used key have one of the 5 newest
	}
	body := fmt.Sprint("key ", n)
	r := fake.NewReserve(n, body)
	now := time.Now()
	return r, invariant.Attempt{ID: r.ID(), Key: r.Headers["Once-Key"], AtMostOnce: true, ExpectedBody: "[" + body + "]", Received: now, Deadline: now.Add(fake.ReserveDeadline + 5*time.Second)}
}

// load keeps 16 attempts open on one connection until the connection ends, and calls onResponse for each response.
func (s *keyedLoad) load(t *testing.T, addr string, onResponse func()) {
	g, err := fake.Dial(addr)
	if err != nil {
		return
	}
	defer g.Close()
	open := map[uint16]string{}
	send := func(stream uint16) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		r, sent := s.next()
		s.checker.RecordSent(sent)
		open[stream] = sent.ID
		return g.Write(r.Encode(stream)) == nil
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, id := range open {
			s.checker.RecordLost(id)
			s.killed++
		}
	}()
	for stream := range uint16(16) {
		if !send(stream + 1) {
			return
		}
	}
	for {
		a, err := g.ReadResponse(0, time.Time{})
		if err != nil {
			return
		}
		outcome := invariant.Failed
		switch {
		case a.Status == 200:
			outcome = invariant.Served
		case a.Status == 503:
			outcome = invariant.Rejected
		}
		s.mu.Lock()
		s.counts[outcome]++
		s.checker.RecordAnswer(open[a.ID], outcome, string(a.Body), time.Now())
		delete(open, a.ID)
		s.mu.Unlock()
		onResponse()
		if !send(a.ID) {
			return
		}
	}
}

// TestStateKills kills a server that keeps state with SIGKILL at random times while requests are retried, and starts it again
// on the same directory. No key may run twice within its window, which is checked at the interpreter, and every retry must
// be answered or failed.
func TestStateKills(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	load := &keyedLoad{checker: invariant.New(fake.IdempotencyWindow), rng: rand.New(rand.NewPCG(seed, 0)), counts: map[invariant.Outcome]int{}}
	interpreter.OnRun(func(a fake.RunCommand) { load.checker.RecordRun(a.ID) })
	recovered := 0
	for range *stateKills {
		server := servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
		server.WaitHealthy()
		killAfter, responses := load.rng.IntN(400), make(chan bool, 1<<16)
		ended := make(chan bool)
		go func() {
			defer close(ended)
			load.load(t, server.Addr, func() { responses <- true })
		}()
		servertest.WaitFor(t, "responses", func() bool { return len(responses) >= killAfter })
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond) // at a random time between two responses
		server.Signal(syscall.SIGKILL)
		server.WaitExit()
		<-ended
		if line := server.Log(); strings.Contains(line, "state read") && !strings.Contains(line, "\"recovered\":0") {
			recovered++
		}
	}
	if violations := load.checker.Violations(time.Now().Add(time.Minute)); len(violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(violations), violations[0])
	}
	t.Logf("%d kills: %d keys, %d served, %d rejected, %d failed, %d open at a kill; %d starts recovered state", *stateKills, load.keys,
		load.counts[invariant.Served], load.counts[invariant.Rejected], load.counts[invariant.Failed], load.killed, recovered)
	if load.counts[invariant.Served] == 0 || recovered < *stateKills/2 {
		t.Error("no request was served, or fewer than half of the starts recovered state")
	}
}

// TestStateRestart checks requests after a restart. After a drain and after a kill, a retry of a finished request must get
// the stored result. After a kill, a retry whose run had not finished must fail, and a new request must run.
func TestStateRestart(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	send := func(server *servertest.Server, number int) fake.Response {
		g := servertest.Dial(t, server.Addr)
		g.Write(fake.NewReserve(number, "b").Encode(1))
		return g.WaitResponse(1)
	}
	server := servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	g := servertest.Dial(t, server.Addr)
	first, second := fake.NewReserve(1, "b"), fake.NewReserve(2, "b")
	g.Write(first.Encode(1), second.Encode(2))
	interpreter.WaitRuns(2)
	interpreter.EndRun(first.ID(), "OK", []byte("one"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Fatalf("response %+v, want status 200 and body one", a)
	}
	servertest.WaitFor(t, "the result to be stored", func() bool {
		server.Signal(syscall.SIGUSR1)
		return strings.Contains(server.Log(), "\"results_kept\":1")
	})
	server.Signal(syscall.SIGKILL)
	server.WaitExit()
	interpreter.EndRun(second.ID(), "OK", []byte("two")) // no server is there to read the notice
	interpreter.FinishImmediately()
	server = servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	if a := send(server, 1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("retry of the finished request: %+v, want status 200 and body one", a)
	}
	if a := send(server, 2); a.Status != 500 {
		t.Errorf("retry of the request whose run may have finished: %+v, want status 500", a)
	}
	if a := send(server, 3); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("new request: %+v, want status 200 and body [b]", a)
	}
	server.Signal(syscall.SIGTERM)
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d after the drain, want 0", status)
	}
	server = servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	if a := send(server, 3); a.Status != 200 || string(a.Body) != "[b]" || len(interpreter.StartedRuns()) != 3 {
		t.Errorf("retry after a drain: %+v, %d runs, want status 200, body [b] and 3 runs", a, len(interpreter.StartedRuns()))
	}
}

// TestStateFullDisk makes the disk of a server process full three times. While it is full, requests with an idempotency key
// must be rejected and lookups must be served. Both must be served again without a restart once the disk has space.
func TestStateFullDisk(t *testing.T) {
	fullMarker := filepath.Join(t.TempDir(), "full")
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	server := servertest.Start(t, "exec "+cataloguectlPath+" state serve --dir "+t.TempDir()+" --full-while "+fullMarker, interpreter, nil)
	server.WaitHealthy()
	g := servertest.Dial(t, server.Addr)
	number := 0
	sendKeyed := func() fake.Response {
		number++
		g.Write(fake.NewReserve(number, "b").Encode(1))
		return g.WaitResponse(1)
	}
	for round := range 3 {
		if a := sendKeyed(); a.Status != 200 {
			t.Fatalf("round %d: keyed request before the disk is full: %+v, want status 200", round, a)
		}
		if err := os.WriteFile(fullMarker, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		servertest.WaitFor(t, "a rejection by the full disk", func() bool { return sendKeyed().Status == 503 })
		runsBefore := len(interpreter.StartedRuns())
		if a := sendKeyed(); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
			t.Errorf("round %d: keyed request with a full disk: %+v, want status 503 with Back-Off-Ms", round, a)
		}
		if len(interpreter.StartedRuns()) != runsBefore {
			t.Error("a rejected request ran")
		}
		g.Write(fake.NewLookup("x").Encode(2))
		if a := g.WaitResponse(2); a.Status != 200 {
			t.Errorf("round %d: lookup with a full disk: %+v, want status 200", round, a)
		}
		if err := os.Remove(fullMarker); err != nil {
			t.Fatal(err)
		}
		servertest.WaitFor(t, "a keyed request to be served again", func() bool { return sendKeyed().Status == 200 })
	}
	for _, line := range []string{"state not written", "no space left on device", "state written again"} {
		if !strings.Contains(server.Log(), line) {
			t.Errorf("the log lacks %q", line)
		}
	}
	server.Signal(syscall.SIGTERM)
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d after the drain, want 0", status)
	}
}

// TestStateWaitsForPreviousProcess starts a new process while the previous one drains on the same state directory. The new
// process must wait, and answer retries of requests that finished during the drain. A process that gets SIGTERM while it
// waits must exit with status 0.
func TestStateWaitsForPreviousProcess(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	previous := servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
	previous.WaitHealthy()
	g := servertest.Dial(t, previous.Addr)
	r := fake.NewReserve(1, "b")
	g.Write(r.Encode(1))
	interpreter.WaitRuns(1)
	previous.Signal(syscall.SIGTERM)
	successor := servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
	servertest.WaitFor(t, "the successor to wait", func() bool { return strings.Contains(successor.Log(), "waiting for the state directory") })
	waiting := servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil) // gets SIGTERM during the wait
	servertest.WaitFor(t, "the third process to wait", func() bool { return strings.Contains(waiting.Log(), "waiting for the state directory") })
	waiting.Signal(syscall.SIGTERM)
	if status := waiting.WaitExit(); status != 0 {
		t.Errorf("exit status %d after SIGTERM during the wait, want 0", status)
	}
	interpreter.EndRun(r.ID(), "OK", []byte("one"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("response during the drain: %+v, want status 200 and body one", a)
	}
	if status := previous.WaitExit(); status != 0 {
		t.Errorf("exit status %d after the drain, want 0", status)
	}
	successor.WaitHealthy()
	gateway := servertest.Dial(t, successor.Addr)
	gateway.Write(fake.NewReserve(1, "b").Encode(1))
	if a := gateway.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" || len(interpreter.StartedRuns()) != 1 {
		t.Errorf("retry at the successor: %+v, %d runs, want status 200, body one and 1 run", a, len(interpreter.StartedRuns()))
	}
}

// TestStateDirectoryErrors checks that a state directory that another process uses, or that belongs to another server, ends
// the start with status 2 and one line that names the cause.
func TestStateDirectoryErrors(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	server := servertest.Start(t, serverCommand+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	checkStartFails := func(serverName, wantText string) {
		t.Helper()
		second := servertest.StartWithConfigName(t, serverCommand+" serve --state "+dir, interpreter,
			func(c map[string]any) { c["name"], c["stop_ms"] = serverName, 100 })
		status := second.WaitExit()
		lines := strings.Split(strings.TrimSpace(second.Log()), "\n")
		if strings.Contains(lines[0], "waiting for the state directory") {
			lines = lines[1:]
		}
		if status != 2 || len(lines) != 1 || !strings.Contains(lines[0], wantText) {
			t.Errorf("exit status %d, want 2 and one line with %q: %s", status, wantText, second.Log())
		}
	}
	checkStartFails("n3", "another process uses the state directory")
	server.Signal(syscall.SIGTERM)
	server.WaitExit()
	checkStartFails("n4", "it is n3's, not n4's")
}
