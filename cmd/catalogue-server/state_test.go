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

// slips sends keyed requests, most of them for few keys, and tells the observer.
type slips struct {
	observer *invariant.Observer
	rng      *rand.Rand
	keys     int // that there are so far

	mu     sync.Mutex
	counts map[invariant.Answer]int
	killed int // tries that were open when the server died
}

// next makes one try.
func (s *slips) next() (fake.Request, invariant.Try) {
	n := s.rng.IntN(s.keys + 1)
	switch {
	case n == s.keys:
		s.keys++
	case s.rng.IntN(2) == 0:
		n = max(s.keys-1-s.rng.IntN(5), 0) // the newest are the most popular
	}
	body := fmt.Sprint("slip ", n)
	r := fake.Reserve(n, body)
	now := time.Now()
	return r, invariant.Try{ID: r.ID(), Key: r.Fields["Once-Key"], Once: true, Result: "[" + body + "]", Received: now, Due: now.Add(fake.ReserveDeadline + 5*time.Second)}
}

// load keeps so many tries open on one connection until it ends, and returns how many were answered.
func (s *slips) load(t *testing.T, addr string, answered func()) {
	g, err := fake.Dial(addr)
	if err != nil {
		return
	}
	defer g.Close()
	open := map[uint16]string{}
	send := func(stream uint16) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		r, try := s.next()
		s.observer.Sent(try)
		open[stream] = try.ID
		return g.Write(r.Records(stream)) == nil
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, id := range open {
			s.observer.Lost(id)
			s.killed++
		}
	}()
	for stream := range uint16(16) {
		if !send(stream + 1) {
			return
		}
	}
	for {
		a, err := g.Read(0, time.Time{})
		if err != nil {
			return
		}
		kind := invariant.Failed
		switch {
		case a.Status == 200:
			kind = invariant.Served
		case a.Status == 503:
			kind = invariant.Refused
		}
		s.mu.Lock()
		s.counts[kind]++
		s.observer.Answered(open[a.ID], kind, string(a.Body), time.Now())
		delete(open, a.ID)
		s.mu.Unlock()
		answered()
		if !send(a.ID) {
			return
		}
	}
}

// TestStateKills kills a server that keeps its state, with SIGKILL at random points while slips repeat, and starts it again
// on its folder: no key runs twice in its window, checked at the interpreter, and every repeat is answered or failed.
func TestStateKills(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	dir := t.TempDir()
	it := servertest.NewInterpreter(t)
	it.Prompt()
	s := &slips{observer: invariant.New(fake.Window), rng: rand.New(rand.NewPCG(seed, 0)), counts: map[invariant.Answer]int{}}
	it.OnApply(func(a fake.Apply) { s.observer.Ran(a.ID) })
	recovered := 0
	for range *stateKills {
		n := servertest.Start(t, program+" serve --state "+dir, it, nil)
		n.WaitUp()
		most, answers := s.rng.IntN(400), make(chan bool, 1<<16)
		ended := make(chan bool)
		go func() {
			defer close(ended)
			s.load(t, n.Addr, func() { answers <- true })
		}()
		servertest.Wait(t, "answers", func() bool { return len(answers) >= most })
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond) // anywhere between two of them
		n.Signal(syscall.SIGKILL)
		n.WaitExit()
		<-ended
		if line := n.Log(); strings.Contains(line, "state read") && !strings.Contains(line, "\"recovered\":0") {
			recovered++
		}
	}
	if b := s.observer.Breaches(time.Now().Add(time.Minute)); len(b) > 0 {
		t.Errorf("%d rules were broken, the first: %s", len(b), b[0])
	}
	t.Logf("%d kills: %d slips, %d served, %d refused, %d failed, %d open at a kill; %d starts found state", *stateKills, s.keys,
		s.counts[invariant.Served], s.counts[invariant.Refused], s.counts[invariant.Failed], s.killed, recovered)
	if s.counts[invariant.Served] == 0 || recovered < *stateKills/2 {
		t.Error("nothing was served, or no start found state")
	}
}

// TestStateRestart has a repeat get the stored answer after an orderly restart and after a kill, one whose run had no end an
// honest failure, and one that never came be run.
func TestStateRestart(t *testing.T) {
	dir := t.TempDir()
	it := servertest.NewInterpreter(t)
	ask := func(n *servertest.Node, number int) fake.Answer {
		g := servertest.Dial(t, n.Addr)
		g.Write(fake.Reserve(number, "b").Records(1))
		return g.Answer(1)
	}
	n := servertest.Start(t, program+" serve --state "+dir, it, nil)
	n.WaitUp()
	g := servertest.Dial(t, n.Addr)
	first, second := fake.Reserve(1, "b"), fake.Reserve(2, "b")
	g.Write(first.Records(1), second.Records(2))
	it.WaitApplied(2)
	it.End(first.ID(), "OK", []byte("one"))
	if a := g.Answer(1); a.Status != 200 || string(a.Body) != "one" {
		t.Fatalf("answer %+v", a)
	}
	servertest.Wait(t, "the result on the disk", func() bool {
		n.Signal(syscall.SIGUSR1)
		return strings.Contains(n.Log(), "\"results_kept\":1")
	})
	n.Signal(syscall.SIGKILL)
	n.WaitExit()
	it.End(second.ID(), "OK", []byte("two")) // nobody hears of it
	it.Prompt()
	n = servertest.Start(t, program+" serve --state "+dir, it, nil)
	n.WaitUp()
	if a := ask(n, 1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("a repeat of what finished: %+v", a)
	}
	if a := ask(n, 2); a.Status != 500 {
		t.Errorf("a repeat of what may have run: %+v", a)
	}
	if a := ask(n, 3); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("one that never came: %+v", a)
	}
	n.Signal(syscall.SIGTERM)
	if status := n.WaitExit(); status != 0 {
		t.Errorf("status %d after the drain", status)
	}
	n = servertest.Start(t, program+" serve --state "+dir, it, nil)
	n.WaitUp()
	if a := ask(n, 3); a.Status != 200 || string(a.Body) != "[b]" || len(it.Applied()) != 3 {
		t.Errorf("a repeat after a drain: %+v, %d runs", a, len(it.Applied()))
	}
}

// TestStateFullDisk has the disk of a real server be full for a while, again and again: keyed requests are refused meanwhile,
// lookups served, and keyed ones taken again by itself.
func TestStateFullDisk(t *testing.T) {
	full := filepath.Join(t.TempDir(), "full")
	it := servertest.NewInterpreter(t)
	it.Prompt()
	n := servertest.Start(t, "exec "+kit+" state serve --dir "+t.TempDir()+" --full-while "+full, it, nil)
	n.WaitUp()
	g := servertest.Dial(t, n.Addr)
	number := 0
	ask := func() fake.Answer {
		number++
		g.Write(fake.Reserve(number, "b").Records(1))
		return g.Answer(1)
	}
	for round := range 3 {
		if a := ask(); a.Status != 200 {
			t.Fatalf("round %d: %+v", round, a)
		}
		if err := os.WriteFile(full, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		servertest.Wait(t, "the disk to be found full", func() bool { return ask().Status == 503 })
		applied := len(it.Applied())
		if a := ask(); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
			t.Errorf("round %d: a keyed request with a full disk: %+v", round, a)
		}
		if len(it.Applied()) != applied {
			t.Error("a request that was refused ran")
		}
		g.Write(fake.Lookup("x").Records(2))
		if a := g.Answer(2); a.Status != 200 {
			t.Errorf("round %d: a lookup with a full disk: %+v", round, a)
		}
		if err := os.Remove(full); err != nil {
			t.Fatal(err)
		}
		servertest.Wait(t, "the disk to be asked again", func() bool { return ask().Status == 200 })
	}
	for _, line := range []string{"state not written", "no space left on device", "state written again"} {
		if !strings.Contains(n.Log(), line) {
			t.Errorf("the log lacks %q", line)
		}
	}
	n.Signal(syscall.SIGTERM)
	if status := n.WaitExit(); status != 0 {
		t.Errorf("status %d after the drain", status)
	}
}

// TestStateRelease has a successor start while the process before it drains on the same folder: it waits, and answers
// repeats of what the drain finished.
func TestStateRelease(t *testing.T) {
	dir := t.TempDir()
	it := servertest.NewInterpreter(t)
	old := servertest.Start(t, program+" serve --state "+dir, it, nil)
	old.WaitUp()
	g := servertest.Dial(t, old.Addr)
	r := fake.Reserve(1, "b")
	g.Write(r.Records(1))
	it.WaitApplied(1)
	old.Signal(syscall.SIGTERM)
	successor := servertest.Start(t, program+" serve --state "+dir, it, nil)
	servertest.Wait(t, "the successor to wait", func() bool { return strings.Contains(successor.Log(), "waiting for the folder") })
	third := servertest.Start(t, program+" serve --state "+dir, it, nil) // told to leave while it waits
	servertest.Wait(t, "the third to wait", func() bool { return strings.Contains(third.Log(), "waiting for the folder") })
	third.Signal(syscall.SIGTERM)
	if status := third.WaitExit(); status != 0 {
		t.Errorf("told to leave while it waits: status %d", status)
	}
	it.End(r.ID(), "OK", []byte("one"))
	if a := g.Answer(1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("answer in the drain: %+v", a)
	}
	if status := old.WaitExit(); status != 0 {
		t.Errorf("status %d after the drain", status)
	}
	successor.WaitUp()
	h := servertest.Dial(t, successor.Addr)
	h.Write(fake.Reserve(1, "b").Records(1))
	if a := h.Answer(1); a.Status != 200 || string(a.Body) != "one" || len(it.Applied()) != 1 {
		t.Errorf("a repeat at the successor: %+v, %d runs", a, len(it.Applied()))
	}
}

// TestStateFolders has folders that are not this server's, or not to be used, told in one line.
func TestStateFolders(t *testing.T) {
	dir := t.TempDir()
	it := servertest.NewInterpreter(t)
	n := servertest.Start(t, program+" serve --state "+dir, it, nil)
	n.WaitUp()
	refused := func(name, text string) {
		t.Helper()
		m := servertest.StartNamed(t, program+" serve --state "+dir, it, func(c map[string]any) { c["name"], c["stop_ms"] = name, 100 })
		status := m.WaitExit()
		lines := strings.Split(strings.TrimSpace(m.Log()), "\n")
		if strings.Contains(lines[0], "waiting for the folder") {
			lines = lines[1:]
		}
		if status != 2 || len(lines) != 1 || !strings.Contains(lines[0], text) {
			t.Errorf("status %d, want 2 and %q: %s", status, text, m.Log())
		}
	}
	refused("n3", "another process uses the folder")
	n.Signal(syscall.SIGTERM)
	n.WaitExit()
	refused("n4", "it is n3's, not n4's")
}
