// Package server is a catalogue server around the decision module (package admission): it reads requests from
// gateways, has a backend run them, and answers as the module decides.
//
// One goroutine, the event loop's, owns all state. In each round the loop reads what is ready; the server reports it
// to the module in order, lets the module settle once, and the loop then writes the answers and commands. Methods that
// other goroutines may call say so; they post their work to the loop.
//
// The server is complete with a RequestParser and a Backend. New brings those of the catalogue server, which runs
// requests in the platform's interpreter; internal/router brings others, which pass requests to pools of servers.
package server

import (
	"fmt"
	"hash/maphash"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/config"
	"tillerusher/internal/eventloop"
	"tillerusher/internal/fastcgi"
	"tillerusher/internal/settings"
)

const (
	// keyWindowSlack is added to the window in which a request must not run again: time limits on sockets are
	// 50 ms longer, and as much again covers the clock's millisecond steps.
	keyWindowSlack = 100 * time.Millisecond
	// keyExpiryInterval is the time between two removals of expired idempotency keys.
	keyExpiryInterval = time.Second
	// minTick and maxTick bound the resolution of the loop's timers, which otherwise is the module's tick.
	minTick, maxTick = time.Millisecond, 10 * time.Millisecond
)

// The process's memory limit divided by these is what each kind of data may take.
const (
	resultMemoryDivisor    = 8  // results kept for retries
	requestMemoryDivisor   = 8  // unanswered requests
	outputMemoryDivisor    = 8  // answers that gateways have not read
	recentIDsMemoryDivisor = 32 // recent request IDs
)

// The limits of one gateway connection; requests of the platform's gateways are far smaller.
const (
	// MaxOpenRequests is how many requests may be open on one connection.
	MaxOpenRequests = 32
	// MaxParamsBytes is the size of one request's parameters.
	MaxParamsBytes = 16 << 10

	maxBodyBytes = 2 << 10
)

// Config is the configuration of a server.
type Config = config.Config

// Server is one catalogue server. All fields belong to the loop's goroutine. Each part of the state has an owner:
//
//   - connTable: the gateways' connections, their timeouts and evictions
//   - attemptTable: the open attempts and the recent request IDs
//   - idempotencyTable: which attempt holds a key, what was run under it, and the results kept for retries
//   - moduleState: the decision module, and the events that wait to be reported to it
//   - healthState and loadState: what the module last set for health checks and load feedback, and the load reports
//   - durability: intents and results that survive a restart
//   - captureState: the recording of events and decisions
//
// Server itself takes a request from one part to the next: requests.go from its arrival to the module, actions.go from
// the module's decision to the backend, runs.go from the end of a run to the answer.
type Server struct {
	cfg      *config.Config
	site     *settings.Site
	log      *zap.Logger
	loop     *eventloop.Loop
	listener *eventloop.Listener
	clock    clock

	parser      RequestParser
	backend     Backend
	isConnected bool // the backend's Connect was called

	module       moduleState
	conns        connTable
	attempts     attemptTable
	keys         idempotencyTable
	bodyHashSeed maphash.Seed // random, so that no sender can construct two bodies with one hash
	health       healthState
	load         loadState
	durable      durability // nil where results do not outlast the process
	capture      captureState

	isDraining bool
	// maxDeadline is the longest deadline of a class, and so the longest time that an attempt may take.
	maxDeadline   time.Duration
	counters      counters
	classCounters []classCounters // by the index of the class
}

// Parts are what differs between kinds of servers.
type Parts struct {
	// Limits are those of a gateway connection.
	Limits fastcgi.Limits
	// New returns the parser and the backend of a new server. Neither may use the server before Run.
	New func(s *Server) (RequestParser, Backend)
}

// New returns a catalogue server that listens at its address. Run has to be called next, or Close.
func New(cfg *Config, log *zap.Logger) (*Server, error) {
	return NewOnSystem(eventloop.Kernel{}, cfg, log)
}

// NewOnSystem is New with another system than the machine's, such as a simulated one.
func NewOnSystem(system eventloop.System, cfg *Config, log *zap.Logger) (*Server, error) {
	limits := fastcgi.Limits{
		OpenRequests: MaxOpenRequests,
		ParamBytes:   MaxParamsBytes,
		BodyBytes:    maxBodyBytes,
		TotalBytes:   RequestMemory(cfg.Limits.MemoryMB),
	}
	return NewWithParts(system, cfg, log, Parts{Limits: limits, New: func(server *Server) (RequestParser, Backend) {
		backend := &interpreterBackend{server: server}
		return newCatalogueParser(server, backend), backend
	}})
}

// NewWithParts returns a server that listens, with a parser and a backend of the caller's.
func NewWithParts(system eventloop.System, cfg *Config, log *zap.Logger, parts Parts) (*Server, error) {
	if err := validateSettings(cfg); err != nil {
		return nil, err
	}
	site := cfg.Settings
	tick := min(max(site.Admission.Tick, minTick), maxTick)
	loop, err := eventloop.New(system, tick, megabytes(cfg.Limits.MemoryMB)/outputMemoryDivisor)
	if err != nil {
		return nil, err
	}
	server := &Server{
		cfg:           cfg,
		site:          site,
		log:           log,
		loop:          loop,
		clock:         newClock(loop.Now()),
		conns:         newConnTable(loop, fastcgi.NewProtocol(parts.Limits), cfg.Limits.Sockets-reservedSockets),
		keys:          newIdempotencyTable(megabytes(cfg.Limits.MemoryMB)/resultMemoryDivisor, site.Admission.ResultFreshness),
		bodyHashSeed:  maphash.MakeSeed(),
		classCounters: make([]classCounters, len(site.ClassNames)),
	}
	for _, class := range site.Admission.Classes {
		server.maxDeadline = max(server.maxDeadline, class.Deadline)
	}
	maxIDs := megabytes(cfg.Limits.MemoryMB) / recentIDsMemoryDivisor / recentIDBytes
	server.attempts = newAttemptTable(newRecentIDs(max(2*server.maxDeadline, minIDRetention), maxIDs))
	server.parser, server.backend = parts.New(server)
	if err := server.open(system); err != nil {
		server.Close()
		return nil, err
	}
	return server, nil
}

// open opens the sockets and files of a new server. The caller closes the server after an error.
func (s *Server) open(system eventloop.System) error {
	if err := s.load.connect(system, s.cfg); err != nil {
		return err
	}
	var err error
	s.listener, err = s.loop.Listen(s.cfg.Listen, eventloop.AcceptCallbacks{OnConn: s.accept, OnError: s.acceptError})
	if err != nil {
		return err
	}
	return s.openCapture()
}

// validateSettings returns an error for settings with which the module can't work, so that they are found at the start
// and not when the backend comes up. Any dependency is accepted, though no call to it can be made: see callRequested.
func validateSettings(cfg *Config) error {
	if _, err := admission.New(cfg.Settings.Admission, nil); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	return nil
}

// RequestMemory is how many bytes of a process's memory unanswered requests may use.
func RequestMemory(memoryMB int) int { return megabytes(memoryMB) / requestMemoryDivisor }

// megabytes returns the number of bytes in n megabytes.
func megabytes(n int) int { return n << 20 }

// indexByName returns the index of each name.
func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Run serves until a drain has ended, which Drain starts.
func (s *Server) Run() error {
	defer s.Close()
	s.isConnected = true
	s.backend.Connect()
	s.loop.AfterFunc(keyExpiryInterval, s.expireKeys)
	s.conns.scheduleIdleScan()
	s.log.Info("listening", zap.String("name", s.cfg.Name), zap.Stringer("address", s.cfg.Listen))
	err := s.loop.Run(s.settle)
	s.closeCapture()
	s.logCounters(reasonExit)
	if s.durable != nil {
		s.durable.close()
	}
	return err
}

// Close releases the server's sockets. Run calls it at its end.
func (s *Server) Close() {
	if s.listener != nil {
		s.listener.Close()
	}
	for g := range s.conns.all() {
		g.conn.Close()
	}
	if s.isConnected {
		s.backend.Close()
	}
	s.load.close()
	s.loop.Close()
}

// Drain starts the graceful shutdown; any goroutine may call it.
func (s *Server) Drain() { s.loop.Post(s.drain) }

// LogCounters logs the counters; any goroutine may call it.
func (s *Server) LogCounters() { s.loop.Post(func() { s.logCounters(reasonSignal) }) }

// Post calls a function on the loop's goroutine in its next round; any goroutine may call Post. After the end of Run
// the function is not called.
func (s *Server) Post(fn func()) { s.loop.Post(fn) }

// expireKeys removes expired idempotency keys, and runs the maintenance of durable results.
func (s *Server) expireKeys() {
	s.keys.expire(s.clock.read(s.loop.Now()), s.loop.Now().Round(0), s.maxDeadline)
	s.counters.resultsEvicted = s.keys.evicted
	if s.durable != nil {
		s.durable.runMaintenance()
	}
	s.loop.AfterFunc(keyExpiryInterval, s.expireKeys)
}

// Loop is the server's event loop, for the backend's connections. It belongs to the loop's goroutine.
func (s *Server) Loop() *eventloop.Loop { return s.loop }

// ModuleTime is the time of the last event by the module's clock. It belongs to the loop's goroutine.
func (s *Server) ModuleTime() time.Duration { return s.clock.now }
