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
	isBlocked bool // writes wait until set unblocks them
	writeErr  error
	waiting   []func()
	closed    bool
}

func (s *fakeStore) Write(changes []idempotency.Change, done func(error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	write := func() {
		s.mu.Lock()
		err := s.writeErr
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

// set changes the behavior of writes. If the store is no longer blocked, set carries out the waiting writes.
func (s *fakeStore) set(isBlocked bool, writeErr error) {
	s.mu.Lock()
	s.isBlocked, s.writeErr = isBlocked, writeErr
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

// has reports whether there is a record in a state.
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

// startDurableServer starts a server that keeps results across restarts, and waits until it is healthy.
func startDurableServer(t *testing.T, store *fakeStore, limits idempotency.Limits) (*Server, *servertest.Interpreter, *servertest.Gateway) {
	t.Helper()
	it := servertest.NewInterpreter(t)
	s, g := startDurableServerWith(t, store, limits, it)
	servertest.WaitFor(t, "a healthy server", func() bool { return checkHealth(g, false) == 200 })
	return s, it, g
}

// startDurableServerWith is like startDurableServer, with an interpreter that may be down, and does not wait.
func startDurableServerWith(t *testing.T, store *fakeStore, limits idempotency.Limits, it *servertest.Interpreter) (*Server, *servertest.Gateway) {
	t.Helper()
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
	t.Cleanup(func() { // cleanups run in reverse order, so this one runs after the drain
		if !store.closed {
			t.Error("the store is not closed")
		}
	})
	runUntilTestEnd(t, s)
	return s, servertest.Dial(t, cfg.Listen.String())
}

var largeLimits = idempotency.Limits{MaxKeys: 100, MaxBytes: 1 << 20}

// TestSlowDisk checks that a disk that does not respond delays only runs with an idempotency key: the backend is not
// asked for such a run before its intent is written, and lookups are served meanwhile.
func TestSlowDisk(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}, isBlocked: true}
	_, it, g := startDurableServer(t, store, largeLimits)
	it.FinishImmediately()
	g.Write(fake.NewReserve(1, "b").Encode(1))
	for i := range 20 {
		g.Write(fake.NewLookup("x").Encode(2))
		if a := g.WaitResponse(2); a.Status != 200 {
			t.Fatalf("lookup %d: %+v, want status 200", i, a)
		}
	}
	for _, a := range it.StartedRuns() {
		if a.Class == "stock-reserve" {
			t.Fatal("the backend was asked for a keyed run before its intent was written")
		}
	}
	store.set(false, nil)
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("answer %+v, want status 200 and body [b]", a)
	}
	servertest.WaitFor(t, "the result", func() bool { return store.has(idempotency.Completed) })
}

// TestFailingDisk checks that requests with an idempotency key are rejected while writes fail, that lookups are served,
// and that both are served once the disk works again.
func TestFailingDisk(t *testing.T) {
	store := &fakeStore{records: map[string][]byte{}, writeErr: errors.New("no space left on device")}
	s, it, g := startDurableServer(t, store, largeLimits)
	it.FinishImmediately()
	reserve := func(number int) fake.Response {
		g.Write(fake.NewReserve(number, "b").Encode(1))
		return g.WaitResponse(1)
	}
	for n := range 5 {
		if a := reserve(n); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
			t.Errorf("keyed request %d with a failing disk: %+v, want a rejection", n, a)
		}
		g.Write(fake.NewLookup("x").Encode(2))
		if a := g.WaitResponse(2); a.Status != 200 {
			t.Errorf("lookup with a failing disk: %+v, want status 200", a)
		}
	}
	if n := len(it.StartedRuns()); n != 5 {
		t.Errorf("%d runs, want the five lookups", n)
	}
	store.set(false, nil)
	servertest.WaitFor(t, "a successful probe of the disk", func() bool { return reserve(0).Status == 200 })
	if a := reserve(0); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("retry: %+v, want status 200 and body [b]", a)
	}
	var unprotected uint64
	onLoop(s, func() { unprotected = s.durable.(*durableResults).unprotected })
	if unprotected < 5 {
		t.Errorf("%d unprotected requests counted, want at least 5", unprotected)
	}
}

// TestTooManyKeys checks that requests above the limit of keys are rejected, not run without protection, and that retries
// are answered.
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
		t.Errorf("statuses %v, want three of 200 and three of 503", statuses)
	}
	g.Write(fake.NewReserve(0, "b").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 || len(it.StartedRuns()) != 3 {
		t.Errorf("retry at the limit of keys: %+v, %d runs; want status 200 and 3 runs", a, len(it.StartedRuns()))
	}
}

// TestDrainWithIntents checks that a draining server answers requests whose intent waits for a disk that does not
// respond, before it stops.
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
		t.Errorf("%d runs, want 0", n)
	}
}

// storeOfEarlierServer returns the store of a server that has run reservation 1 with the body "b", and has ended.
func storeOfEarlierServer(t *testing.T) *fakeStore {
	t.Helper()
	store := &fakeStore{records: map[string][]byte{}}
	t.Run("before", func(t *testing.T) {
		_, it, g := startDurableServer(t, store, largeLimits)
		it.FinishImmediately()
		g.Write(fake.NewReserve(1, "b").Encode(1))
		g.WaitResponse(1)
		servertest.WaitFor(t, "the result", func() bool { return store.has(idempotency.Completed) })
	})
	store.closed = false
	return store
}

// TestBodyHashesOverRestarts checks that a key with another body is also rejected after a restart.
func TestBodyHashesOverRestarts(t *testing.T) {
	store := storeOfEarlierServer(t)
	_, it, g := startDurableServer(t, store, largeLimits)
	for body, want := range map[string]int{"b": 200, "other": 400} {
		g.Write(fake.NewReserve(1, body).Encode(1))
		if a := g.WaitResponse(1); a.Status != want {
			t.Errorf("body %s: %+v, want %d", body, a, want)
		}
	}
	if n := len(it.StartedRuns()); n != 0 {
		t.Errorf("%d runs, want 0", n)
	}
}

// TestRetryBeforeInterpreterIsUp guards against the rejection of a retry whose request an earlier process has run, because the
// interpreter of the new process is not up yet. Requests that have not run are rejected.
func TestRetryBeforeInterpreterIsUp(t *testing.T) {
	store := storeOfEarlierServer(t)
	it := servertest.NewInterpreter(t)
	it.MarkDown()
	_, g := startDurableServerWith(t, store, largeLimits, it)
	g.Write(fake.NewReserve(1, "b").WithHeader("Attempt-Again", "1").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "[b]" {
		t.Errorf("answer to a retry of a request that has run %+v, want status 200 and body [b]", a)
	}
	g.Write(fake.NewReserve(3, "new").Encode(1))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("answer to a request that has not run %+v, want status 503", a)
	}
}
