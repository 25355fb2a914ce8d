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

// stateKills is how often TestStateKills kills a server; docs/design/state.md has the figures of 2,000.
var stateKills = flag.Int("statekills", 6, "how often TestStateKills kills a server")

// keyedLoad sends requests with an idempotency key, most of them for few keys, and records them with the checker.
type keyedLoad struct {
	checker *invariant.Checker
	rng     *rand.Rand
	keys    int // used so far

	mu     sync.Mutex
	counts map[invariant.Outcome]int
	killed int // attempts that were open when the server died
}

// next returns one attempt.
func (s *keyedLoad) next() (fake.Request, invariant.Attempt) {
	n := s.rng.IntN(s.keys + 1)
	switch {
	case n == s.keys:
		s.keys++
	case s.rng.IntN(2) == 0:
		n = max(s.keys-1-s.rng.IntN(5), 0) // the newest are the most popular
	}
	body := fmt.Sprint("slip ", n)
	r := fake.NewReserve(n, body)
	now := time.Now()
	return r, invariant.Attempt{ID: r.ID(), Key: r.Headers["Once-Key"], AtMostOnce: true, ExpectedBody: "[" + body + "]", Received: now, Deadline: now.Add(fake.ReserveDeadline + 5*time.Second)}
}

// load keeps 16 attempts open on one connection until that ends, and calls answered for each answer.
func (s *keyedLoad) load(t *testing.T, addr string, answered func()) {
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
		kind := invariant.Failed
		switch {
		case a.Status == 200:
			kind = invariant.Served
		case a.Status == 503:
			kind = invariant.Rejected
		}
		s.mu.Lock()
		s.counts[kind]++
		s.checker.RecordAnswer(open[a.ID], kind, string(a.Body), time.Now())
		delete(open, a.ID)
		s.mu.Unlock()
		answered()
		if !send(a.ID) {
			return
		}
	}
}

// TestStateKills kills a server that keeps its state, with SIGKILL at random points while requests are retried, and
// starts it again on its directory: no key runs twice in its window, checked at the interpreter, and every retry is
// answered or failed.
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
		server := servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
		server.WaitHealthy()
		killAfter, answers := load.rng.IntN(400), make(chan bool, 1<<16)
		ended := make(chan bool)
		go func() {
			defer close(ended)
			load.load(t, server.Addr, func() { answers <- true })
		}()
		servertest.WaitFor(t, "answers", func() bool { return len(answers) >= killAfter })
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond) // anywhere between two of them
		server.Signal(syscall.SIGKILL)
		server.WaitExit()
		<-ended
		if line := server.Log(); strings.Contains(line, "state read") && !strings.Contains(line, "\"recovered\":0") {
			recovered++
		}
	}
	if b := load.checker.Violations(time.Now().Add(time.Minute)); len(b) > 0 {
		t.Errorf("%d rules were broken, the first: %s", len(b), b[0])
	}
	t.Logf("%d kills: %d slips, %d served, %d refused, %d failed, %d open at a kill; %d starts found state", *stateKills, load.keys,
		load.counts[invariant.Served], load.counts[invariant.Rejected], load.counts[invariant.Failed], load.killed, recovered)
	if load.counts[invariant.Served] == 0 || recovered < *stateKills/2 {
		t.Error("nothing was served, or no start found state")
	}
}

// TestStateRestart has a retry get the stored answer after an orderly restart and after a kill, one whose run had
// not finished fail, and one that never arrived before run.
func TestStateRestart(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	ask := func(server *servertest.Server, number int) fake.Response {
		g := servertest.Dial(t, server.Addr)
		g.Write(fake.NewReserve(number, "b").Encode(1))
		return g.WaitResponse(1)
	}
	server := servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	g := servertest.Dial(t, server.Addr)
	first, second := fake.NewReserve(1, "b"), fake.NewReserve(2, "b")
	g.Write(first.Encode(1), second.Encode(2))
	interpreter.WaitRuns(2)
	interpreter.EndRun(first.ID(), "OK", []byte("one"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Fatalf("answer %+v", a)
	}
	servertest.WaitFor(t, "the result on the disk", func() bool {
		server.Signal(syscall.SIGUSR1)
		return strings.Contains(server.Log(), "\"results_kept\":1")
	})
	server.Signal(syscall.SIGKILL)
	server.WaitExit()
	interpreter.EndRun(second.ID(), "OK", []byte("two")) // no server reads the notice
	interpreter.FinishImmediately()
	server = servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	if a := ask(server, 1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("a repeat of what finished: %+v", a)
	}
	if a := ask(server, 2); a.Status != 500 {
		t.Errorf("a repeat of what may have run: %+v", a)
	}
	if a := ask(server, 3); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("one that never came: %+v", a)
	}
	server.Signal(syscall.SIGTERM)
	if status := server.WaitExit(); status != 0 {
		t.Errorf("status %d after the drain", status)
	}
	server = servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	if a := ask(server, 3); a.Status != 200 || string(a.Body) != "[b]" || len(interpreter.StartedRuns()) != 3 {
		t.Errorf("a repeat after a drain: %+v, %d runs", a, len(interpreter.StartedRuns()))
	}
}

// TestStateFullDisk has the disk of a real server be full for a while, again and again: requests with an idempotency
// key are rejected meanwhile, lookups served, and both served again without help.
func TestStateFullDisk(t *testing.T) {
	full := filepath.Join(t.TempDir(), "full")
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	server := servertest.Start(t, "exec "+kit+" state serve --dir "+t.TempDir()+" --full-while "+full, interpreter, nil)
	server.WaitHealthy()
	g := servertest.Dial(t, server.Addr)
	number := 0
	ask := func() fake.Response {
		number++
		g.Write(fake.NewReserve(number, "b").Encode(1))
		return g.WaitResponse(1)
	}
	for round := range 3 {
		if a := ask(); a.Status != 200 {
			t.Fatalf("round %d: %+v", round, a)
		}
		if err := os.WriteFile(full, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		servertest.WaitFor(t, "the disk to be found full", func() bool { return ask().Status == 503 })
		runsBefore := len(interpreter.StartedRuns())
		if a := ask(); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
			t.Errorf("round %d: a keyed request with a full disk: %+v", round, a)
		}
		if len(interpreter.StartedRuns()) != runsBefore {
			t.Error("a request that was refused ran")
		}
		g.Write(fake.NewLookup("x").Encode(2))
		if a := g.WaitResponse(2); a.Status != 200 {
			t.Errorf("round %d: a lookup with a full disk: %+v", round, a)
		}
		if err := os.Remove(full); err != nil {
			t.Fatal(err)
		}
		servertest.WaitFor(t, "the disk to be asked again", func() bool { return ask().Status == 200 })
	}
	for _, line := range []string{"state not written", "no space left on device", "state written again"} {
		if !strings.Contains(server.Log(), line) {
			t.Errorf("the log lacks %q", line)
		}
	}
	server.Signal(syscall.SIGTERM)
	if status := server.WaitExit(); status != 0 {
		t.Errorf("status %d after the drain", status)
	}
}

// TestStateHandover starts a new process while the old one drains on the same directory: the new one waits, and answers
// retries of what finished in the drain.
func TestStateHandover(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	old := servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
	old.WaitHealthy()
	g := servertest.Dial(t, old.Addr)
	r := fake.NewReserve(1, "b")
	g.Write(r.Encode(1))
	interpreter.WaitRuns(1)
	old.Signal(syscall.SIGTERM)
	successor := servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
	servertest.WaitFor(t, "the successor to wait", func() bool { return strings.Contains(successor.Log(), "waiting for the state directory") })
	third := servertest.Start(t, program+" serve --state "+dir, interpreter, nil) // gets SIGTERM while it waits
	servertest.WaitFor(t, "the third to wait", func() bool { return strings.Contains(third.Log(), "waiting for the state directory") })
	third.Signal(syscall.SIGTERM)
	if status := third.WaitExit(); status != 0 {
		t.Errorf("SIGTERM while it waits: status %d", status)
	}
	interpreter.EndRun(r.ID(), "OK", []byte("one"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("answer in the drain: %+v", a)
	}
	if status := old.WaitExit(); status != 0 {
		t.Errorf("status %d after the drain", status)
	}
	successor.WaitHealthy()
	h := servertest.Dial(t, successor.Addr)
	h.Write(fake.NewReserve(1, "b").Encode(1))
	if a := h.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" || len(interpreter.StartedRuns()) != 1 {
		t.Errorf("a repeat at the successor: %+v, %d runs", a, len(interpreter.StartedRuns()))
	}
}

// TestStateDirectoryErrors has directories that belong to another server, or can't be used, reported in one line.
func TestStateDirectoryErrors(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	server := servertest.Start(t, program+" serve --state "+dir, interpreter, nil)
	server.WaitHealthy()
	refused := func(name, text string) {
		t.Helper()
		m := servertest.StartWithConfigName(t, program+" serve --state "+dir, interpreter, func(c map[string]any) { c["name"], c["stop_ms"] = name, 100 })
		status := m.WaitExit()
		lines := strings.Split(strings.TrimSpace(m.Log()), "\n")
		if strings.Contains(lines[0], "waiting for the state directory") {
			lines = lines[1:]
		}
		if status != 2 || len(lines) != 1 || !strings.Contains(lines[0], text) {
			t.Errorf("status %d, want 2 and %q: %s", status, text, m.Log())
		}
	}
	refused("n3", "another process uses the state directory")
	server.Signal(syscall.SIGTERM)
	server.WaitExit()
	refused("n4", "it is n3's, not n4's")
}
