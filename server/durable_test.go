package server

import (
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
	"tillerusher/internal/fake"
	"tillerusher/internal/idempotency"
	"tillerusher/internal/servertest"
)

// fakeStore is a store whose writes tests can delay or fail.
type fakeStore struct {
	mu        sync.Mutex
	records   map[string][]byte
	isBlocked bool // writes wait
	fails     error
	waiting   []func()
	closed    bool
}

func (s *fakeStore) Write(changes []idempotency.Change, done func(error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	write := func() {
		s.mu.Lock()
		err := s.fails
		if err == nil {
			for _, c := range changes {
				if c.Value == nil {
					delete(s.records, c.Name)
				} else {
					s.records[c.Name] = c.Value
				}
			}
		}
		s.mu.Unlock()
		if done != nil {
			done(err)
		}
	}
	if s.isBlocked {
		s.waiting = append(s.waiting, write)
		return nil
	}
	go write()
	return nil
}

// set changes the store's behavior. Blocked writes go on where it is not blocked any more.
func (s *fakeStore) set(isBlocked bool, fails error) {
	s.mu.Lock()
	s.isBlocked, s.fails = isBlocked, fails
	waiting := s.waiting
	if isBlocked {
		waiting = nil
	} else {
		s.waiting = nil
	}
	s.mu.Unlock()
	for _, write := range waiting {
		write()
	}
}

func (s *fakeStore) ForEach(prefix string, visit func(name, value []byte) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, value := range s.records {
		if strings.HasPrefix(name, prefix) {
			if err := visit([]byte(name), value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *fakeStore) Get(name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[name], nil
}

func (s *fakeStore) Secret() []byte                { return []byte("secret") }
func (s *fakeStore) Machine() string               { return "m" }
func (s *fakeStore) Stats() idempotency.StoreStats { return idempotency.StoreStats{} }
func (s *fakeStore) Compact() (int64, error)       { return 0, nil }
func (s *fakeStore) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return nil
}

// has returns whether there is a record in a state.
func (s *fakeStore) has(state idempotency.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, value := range s.records {
		if e, err := idempotency.DecodeEntry(name, value); err == nil && e.State == state {
			return true
		}
	}
	return false
}

// startDurableServer starts a server that keeps its state.
func startDurableServer(t *testing.T, store *fakeStore, limits idempotency.Limits) (*Server, *servertest.Interpreter, *servertest.Gateway) {
	t.Helper()
	it := servertest.NewInterpreter(t)
	cfg := &config.Config{Name: "n3", Listen: netip.MustParseAddrPort(servertest.FreeAddr(t)), Interpreter: netip.MustParseAddrPort(it.Addr()),
		LoadReports: netip.MustParseAddrPort("127.0.0.1:9"), StopTimeout: time.Second, Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64},
		Settings: testSite(t)}
	s, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.EnableDurableResults(store, limits); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // cleanups run in reverse order: this one after the drain
		if !store.closed {
			t.Error("the store is not closed")
		}
	})
	runUntilTestEnd(t, s)
	g := servertest.Dial(t, cfg.Listen.String())
	servertest.WaitFor(t, "a healthy server", func() bool { return checkHealth(g, false) == 200 })
	return s, it, g
}

var largeLimits = idempotency.Limits{MaxKeys: 100, MaxBytes: 1 << 20}

// TestSlowDisk has a disk that does not respond delay runs with an idempotency key and nothing else: no run is asked
// for before its intent is written, and lookups are served meanwhile.
func TestSlowDisk(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}, isBlocked: true}
	_, it, g := startDurableServer(t, store, largeLimits)
	it.FinishImmediately()
	g.Write(fake.NewReserve(1, "b").Encode(1))
	for i := range 20 {
		g.Write(fake.NewLookup("x").Encode(2))
		if a := g.WaitResponse(2); a.Status != 200 {
			t.Fatalf("lookup %d: %+v", i, a)
		}
	}
	for _, a := range it.StartedRuns() {
		if a.Class == "stock-reserve" {
			t.Fatal("a keyed run was asked for before its intent was down")
		}
	}
	store.set(false, nil)
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("answer %+v", a)
	}
	servertest.WaitFor(t, "the result", func() bool { return store.has(idempotency.Completed) })
}

// TestFailingDisk has requests with an idempotency key rejected while writes fail, lookups served, and both served once
// the disk works again.
func TestFailingDisk(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}, fails: errors.New("no space left on device")}
	s, it, g := startDurableServer(t, store, largeLimits)
	it.FinishImmediately()
	ask := func(number int) fake.Response {
		g.Write(fake.NewReserve(number, "b").Encode(1))
		return g.WaitResponse(1)
	}
	for n := range 5 {
		if a := ask(n); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
			t.Errorf("keyed request %d with a failing disk: %+v", n, a)
		}
		g.Write(fake.NewLookup("x").Encode(2))
		if a := g.WaitResponse(2); a.Status != 200 {
			t.Errorf("lookup with a failing disk: %+v", a)
		}
	}
	if n := len(it.StartedRuns()); n != 5 {
		t.Errorf("%d runs, want the five lookups", n)
	}
	store.set(false, nil)
	servertest.WaitFor(t, "the disk to be asked again", func() bool { return ask(0).Status == 200 })
	if a := ask(0); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("a repeat: %+v", a)
	}
	var unprotected uint64
	onLoop(s, func() { unprotected = s.durable.(*durableResults).unprotected })
	if unprotected < 5 {
		t.Errorf("%d unprotected requests are counted", unprotected)
	}
}

// TestTooManyKeys has requests over the limit of keys rejected, not run without protection, and retries answered.
func TestTooManyKeys(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}}
	_, it, g := startDurableServer(t, store, idempotency.Limits{MaxKeys: 3, MaxBytes: 1 << 20})
	it.FinishImmediately()
	statuses := map[int]int{}
	for n := range 6 {
		g.Write(fake.NewReserve(n, "b").Encode(1))
		statuses[g.WaitResponse(1).Status]++
	}
	if statuses[200] != 3 || statuses[503] != 3 {
		t.Errorf("statuses %v", statuses)
	}
	g.Write(fake.NewReserve(0, "b").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 || len(it.StartedRuns()) != 3 {
		t.Errorf("a repeat at the bound: %+v, %d runs", a, len(it.StartedRuns()))
	}
}

// TestDrainWithIntents answers requests that wait for a disk that does not respond before a drained server ends.
func TestDrainWithIntents(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}, isBlocked: true}
	s, it, g := startDurableServer(t, store, largeLimits)
	g.Write(fake.NewReserve(1, "b").Encode(1))
	servertest.WaitFor(t, "the intent", func() bool { store.mu.Lock(); defer store.mu.Unlock(); return len(store.waiting) == 1 })
	s.Drain()
	if a := g.WaitResponse(1); a.Status == 200 {
		t.Errorf("answer %+v without a run", a)
	}
	if n := len(it.StartedRuns()); n != 0 {
		t.Errorf("%d runs", n)
	}
}

// TestBodyHashesOverRestarts has a key with another body rejected after a restart, too.
func TestBodyHashesOverRestarts(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}}
	t.Run("before", func(t *testing.T) {
		_, it, g := startDurableServer(t, store, largeLimits)
		it.FinishImmediately()
		g.Write(fake.NewReserve(1, "b").Encode(1))
		g.WaitResponse(1)
		servertest.WaitFor(t, "the result", func() bool { return store.has(idempotency.Completed) })
	})
	store.closed = false
	_, it, g := startDurableServer(t, store, largeLimits)
	for body, want := range map[string]int{"b": 200, "other": 400} {
		g.Write(fake.NewReserve(1, body).Encode(1))
		if a := g.WaitResponse(1); a.Status != want {
			t.Errorf("body %s: %+v, want %d", body, a, want)
		}
	}
	if n := len(it.StartedRuns()); n != 0 {
		t.Errorf("%d runs", n)
	}
}
