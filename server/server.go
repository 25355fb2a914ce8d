// Package server implements a catalogue server around the decision module (package admission). It reads requests from
// gateways, runs them on a backend, and sends the answers that the module decides on.
//
// The goroutine of the event loop owns all state. In each round, the loop reads the sockets that are ready, the server
// reports the events to the module in order and then calls the module's Settle once, and the loop writes the answers
// and commands. A method that other goroutines may call says so in its comment. It posts its work to the loop.
//
// A server needs a RequestParser and a Backend. New uses the parser and the backend of the catalogue server, which
// runs requests in the platform's interpreter. Package internal/router supplies others, which pass requests to pools of
// servers.
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
	// keyWindowSlack is added to the window in which a request must not run again. Time limits on sockets are 50 ms
	// longer, and another 50 ms cover the millisecond resolution of the clock.
	keyWindowSlack = 100 * time.Millisecond
	// keyExpiryInterval is the interval at which expired idempotency keys are removed.
	keyExpiryInterval = time.Second
	// minTick and maxTick bound the resolution of the loop's timers. Within these bounds, it is the module's tick.
	minTick, maxTick = time.Millisecond, 10 * time.Millisecond
)

// Each kind of data may use the memory limit of the process divided by its constant.
const (
	resultMemoryDivisor    = 8  // results stored for retries
	requestMemoryDivisor   = 8  // unanswered requests
	outputMemoryDivisor    = 8  // answers that gateways have not read
	recentIDsMemoryDivisor = 32 // recent request IDs
)

// Limits of a gateway connection and its requests. The platform's gateways send far smaller requests.
const (
	// MaxOpenRequests is the maximum number of open requests on one connection.
	MaxOpenRequests = 32
	// MaxParamsBytes is the maximum size of the parameters of one request.
	MaxParamsBytes = 16 << 10

	maxBodyBytes = 2 << 10
)

// Config is the configuration of a server.
type Config = config.Config

// Server is one catalogue server. Only the loop's goroutine may use its fields. Each part of the state has its own type:
//
//   - connTable: the connections of gateways, their timeouts and evictions
//   - attemptTable: the open attempts and the recent request IDs
//   - idempotencyTable: the holder and the runs of each key, and the results stored for retries
//   - moduleState: the decision module, and the events that wait to be reported to it
//   - healthState and loadState: the module's latest settings for health checks and load feedback, and the load reports
//   - durability: intents and results that survive a restart
//   - captureState: the recording of events and decisions
//
// Server itself passes a request from one part to the next: requests.go from its arrival to the module, actions.go from
// the module's decision to the backend, and runs.go from the end of its run to the answer.
type Server struct {
	cfg      *config.Config
	site     *settings.Site
	log      *zap.Logger
	loop     *eventloop.Loop
	listener *eventloop.Listener
	clock    clock

	parser      RequestParser
	backend     Backend
	isConnected bool // Connect of the backend was called

	module       moduleState
	conns        connTable
	attempts     attemptTable
	keys         idempotencyTable
	bodyHashSeed maphash.Seed // random, so that no sender can construct two bodies with the same hash
	health       healthState
	load         loadState
	durable      durability // nil if results are not kept across restarts
	capture      captureState

	isDraining bool
	// maxDeadline is the longest deadline of any class. No attempt may take longer.
	maxDeadline   time.Duration
	counters      counters
	classCounters []classCounters // by class index
}

// Parts are the components in which kinds of servers differ.
type Parts struct {
	// Limits bounds the requests that gateway connections accept.
	Limits fastcgi.Limits
	// New returns the parser and the backend of a new server. They must not use the server before Run.
	New func(s *Server) (RequestParser, Backend)
}

// New returns a catalogue server that listens at the configured address. The caller must call Run or Close.
func New(cfg *Config, log *zap.Logger) (*Server, error) {
	return NewOnSystem(eventloop.Kernel{}, cfg, log)
}

// NewOnSystem is like New, but uses the given system, for example a simulated one, in place of the machine's.
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

// NewWithParts is like NewOnSystem, but the caller supplies the limits, the parser and the backend.
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

// open opens the sockets and files of a new server. If it returns an error, the caller must close the server.
func (s *Server) open(system eventloop.System) error {
	if err := s.load.connect(system, s.cfg); err != nil {
		return err
	}
	var err error
	s.listener, err = s.loop.Listen(s.cfg.Listen, eventloop.AcceptOptions{
		OnConn:      s.accept,
		OnError:     s.acceptError,
		MaxPerRound: max(s.conns.max/acceptShareDivisor, 1),
	})
	if err != nil {
		return err
	}
	return s.openCapture()
}

// validateSettings returns an error for settings that the module rejects, so that they are reported at startup and not
// when the backend comes up. Any dependency is accepted, although the server can't call it: see callRequested.
func validateSettings(cfg *Config) error {
	if _, err := admission.New(cfg.Settings.Admission, nil); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	return nil
}

// RequestMemory returns how many bytes unanswered requests may use in a process with a memory limit in megabytes.
func RequestMemory(memoryMB int) int { return megabytes(memoryMB) / requestMemoryDivisor }

// megabytes returns the number of bytes in n megabytes.
func megabytes(n int) int { return n << 20 }

// indexByName returns a map from each name to its index.
func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Run serves requests until a drain, which Drain starts, has ended. It closes the server before it returns.
func (s *Server) Run() error {
	defer s.Close()
	s.isConnected = true
	s.backend.Connect()
	s.loop.AfterFunc(keyExpiryInterval, s.expireKeys)
	s.conns.scheduleIdleScan()
	s.log.Info("listening", zap.String("name", s.cfg.Name), zap.Stringer("address", s.cfg.Listen))
	err := s.loop.Run(s.endRound)
	s.closeCapture()
	s.logCounters(reasonExit)
	if s.durable != nil {
		s.durable.close()
	}
	return err
}

// Close releases the server's sockets. Run calls it before it returns.
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

// Drain starts the graceful shutdown. Any goroutine may call it.
func (s *Server) Drain() { s.loop.Post(s.drain) }

// LogCounters logs the counters. Any goroutine may call it.
func (s *Server) LogCounters() { s.loop.Post(func() { s.logCounters(reasonSignal) }) }

// Post has the loop's goroutine call fn in its next round. Any goroutine may call Post. Once Run has returned, fn is not
// called.
func (s *Server) Post(fn func()) { s.loop.Post(fn) }

// expireKeys removes expired idempotency keys and runs the maintenance of durable results, then schedules its next call.
func (s *Server) expireKeys() {
	s.keys.expire(s.clock.read(s.loop.Now()), s.loop.Now().Round(0), s.maxDeadline)
	s.counters.resultsEvicted = s.keys.evicted
	if s.durable != nil {
		s.durable.runMaintenance()
	}
	s.loop.AfterFunc(keyExpiryInterval, s.expireKeys)
}

// Loop returns the server's event loop, for the backend's connections. Only the loop's goroutine may call it.
func (s *Server) Loop() *eventloop.Loop { return s.loop }

// ModuleTime returns the last reading of the module's clock. Only the loop's goroutine may call it.
func (s *Server) ModuleTime() time.Duration { return s.clock.now }
