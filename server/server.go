// Package server is a real catalogue server round the decision module: it takes requests from gateways, has
// the interpreter run them, and answers as the module decides.
//
// One goroutine owns all of it. In each round it gathers what is ready, reports it to the module in order,
// lets the module settle once, and sends what came of that.
package server

import (
	"container/list"
	"fmt"
	"hash/maphash"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/capture"
	"tillerusher/internal/config"
	"tillerusher/internal/eventloop"
	"tillerusher/internal/fastcgi"
	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
	"tillerusher/internal/loadreport"
	"tillerusher/internal/settings"
)

const (
	classPath = "/v1/" // the class follows
	// reservedSockets are kept from gateways: the loop's own, the interpreter's, logs and what the runtime holds.
	reservedSockets = 24
	// keyWindowSlack is added to the window in which a request must not run again: time limits on sockets are
	// 50 ms longer, and as much again covers the clock's millisecond steps.
	keyWindowSlack = 100 * time.Millisecond
	// resultMemoryDivisor is the part of the memory that kept results may take.
	resultMemoryDivisor = 8
	// requestMemoryDivisor is the part of the memory that requests may take which are not answered.
	requestMemoryDivisor = 8
	// outputMemoryDivisor is the part of the memory that answers may take which callers do not read.
	outputMemoryDivisor = 8
	// keyExpiryInterval is the time between two looks for entries that ran out.
	keyExpiryInterval = time.Second
	// The limits of the gateways' protocol; the parameters of a request are far smaller than theirs.
	maxOpenRequests, maxParamsBytes, maxBodyBytes = 32, 16 << 10, 2 << 10
)

// Config is what a server is told at its start.
type Config = config.Config

// LoadConfig reads the configuration that the environment names.
func LoadConfig(getenv func(string) string) (*Config, error) { return config.Load(getenv) }

// Server is one catalogue server. Its fields belong to the goroutine in Run.
type Server struct {
	cfg            *config.Config
	told           *settings.Site
	log            *zap.Logger
	protocol       gateway.Protocol
	loop           *eventloop.Loop
	listener       *eventloop.Listener
	backend        backend
	connectBackend func() backend // makes link
	parser         requestParser
	reporter       *loadreport.Reporter

	clock  clock
	module admission.Events // nil until the interpreter is up
	// decisions is the module behind the tap, to be looked into; nil until the interpreter is up.
	decisions      *admission.Instance
	needsSettle    bool     // the module heard of something in this round
	deferredEvents []func() // events that actions led to
	lastID         admission.RequestID

	durable  durability        // nil where keyed results do not outlast the process
	recorder *capture.Recorder // nil where nothing is recorded
	tap      *capture.Tap      // likewise, and until the module starts

	classIndex, tenantIndex map[string]int
	conns                   list.List                        // values *gateway, in the order of accepting
	attempts                map[admission.RequestID]*attempt // hasOpenRequests an answer, or running
	byRequestID             map[string]*attempt              // the same, by Request-Id
	keys                    idempotencyTable
	recentIDs               recentIDs
	hashSeed                maphash.Seed  // values the sums of bodies, which no sender can foresee
	maxDeadline             time.Duration // longest deadline of a class

	advertisedLoad             string
	isHealthy, healthFromStore bool
	idleTimeout                time.Duration // what the module set, 0 = nothing yet
	idleScanTimer              *eventloop.Timer
	isDraining                 bool
	counters                   counters
	classCounts                []classCounters // by the index of the class
}

// New returns a server that listens at its address. Run has to be called next, or Close.
func New(cfg *Config, log *zap.Logger) (*Server, error) {
	return NewOnSystem(eventloop.Kernel{}, cfg, log)
}

// NewOnSystem is New on a system that need not be the machine's.
func NewOnSystem(system eventloop.System, cfg *Config, log *zap.Logger) (*Server, error) {
	s, err := open(system, cfg, log, fastcgi.Limits{OpenRequests: maxOpenRequests, ParamBytes: maxParamsBytes, BodyBytes: maxBodyBytes,
		TotalBytes: cfg.Limits.MemoryMB << 20 / requestMemoryDivisor})
	if err != nil {
		return nil, err
	}
	s.parser = s.parseRequest
	s.connectBackend = func() backend { return interpreterBackend{interpreter.Dial(s.loop, s.cfg.Interpreter, s), s.told} }
	return s, nil
}

// open returns a server that listens, without the worker and the intake that it needs.
func open(system eventloop.System, cfg *Config, log *zap.Logger, limits fastcgi.Limits) (*Server, error) {
	if err := validateSettings(cfg); err != nil {
		return nil, err
	}
	told := cfg.Settings
	l, err := eventloop.New(system, min(max(told.Admission.Tick, time.Millisecond), 10*time.Millisecond), cfg.Limits.MemoryMB<<20/outputMemoryDivisor)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, told: told, log: log, loop: l, clock: newClock(l.Now()), protocol: fastcgi.NewProtocol(limits),
		classIndex: indexByName(told.ClassNames), tenantIndex: indexByName(told.TenantNames),
		attempts: map[admission.RequestID]*attempt{}, byRequestID: map[string]*attempt{},
		classCounts: make([]classCounters, len(told.ClassNames)),
		keys:        newIdempotencyTable(cfg.Limits.MemoryMB<<20/resultMemoryDivisor, told.Admission.ResultFreshness), hashSeed: maphash.MakeSeed()}
	for _, c := range told.Admission.Classes {
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	s.recentIDs = newRecentIDs(max(2*s.maxDeadline, minIDRetention), cfg.Limits.MemoryMB<<20/recentIDsMemoryDivisor/recentIDBytes)
	if cfg.LoadReports.IsValid() {
		if s.reporter, err = loadreport.New(system, cfg.LoadReports, cfg.Name); err != nil {
			l.Close()
			return nil, err
		}
	}
	if s.listener, err = l.Listen(cfg.Listen, eventloop.AcceptCallbacks{OnConn: s.accept, OnError: s.acceptError}); err != nil {
		s.closeReporter()
		l.Close()
		return nil, err
	}
	if err := s.openCapture(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// validateSettings tells what is wrong with settings that can be read: what the module can't work with is found now,
// not when the interpreter comes up. Any dependency is served, though no call to it can be made: see Awaits.
func validateSettings(cfg *Config) error {
	if _, err := admission.New(cfg.Settings.Admission, nil); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	return nil
}

// indexByName numbers names.
func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Run serves until it was drained after Drain.
func (s *Server) Run() error {
	defer s.Close()
	s.backend = s.connectBackend()
	s.loop.AfterFunc(keyExpiryInterval, s.expireKeys)
	s.scheduleIdleScan()
	s.log.Info("listening", zap.String("name", s.cfg.Name), zap.Stringer("address", s.cfg.Listen))
	err := s.loop.Run(s.settle)
	s.closeCapture()
	s.logCounters("exit")
	if s.durable != nil {
		s.durable.close()
	}
	return err
}

// Close gives up what a server holds.
func (s *Server) Close() {
	s.listener.Close()
	for g := range s.connections() {
		g.conn.Close()
	}
	if s.backend != nil {
		s.backend.Close()
	}
	s.closeReporter()
	s.loop.Close()
}

// closeReporter ends the reports, where there are any.
func (s *Server) closeReporter() {
	if s.reporter != nil {
		s.reporter.Close()
	}
}

// Drain has the server leave; any goroutine may call it.
func (s *Server) Drain() { s.loop.Post(s.drain) }

// LogCounters logs the counters; any goroutine may call it.
func (s *Server) LogCounters() { s.loop.Post(func() { s.logCounters("asked") }) }

// moduleTime notes that the module hears of something in this round, and returns the time of it.
func (s *Server) moduleTime() time.Duration {
	s.needsSettle = true
	return s.clock.read(s.loop.Now())
}

// deferEvent reports an event that an action led to once the module has returned.
func (s *Server) deferEvent(event func()) { s.deferredEvents = append(s.deferredEvents, event) }

// settle ends a round.
func (s *Server) settle() (again bool) {
	s.runDeferredEvents()
	if s.needsSettle && s.module != nil {
		s.needsSettle = false
		s.module.Settle(s.clock.read(s.loop.Now()))
	}
	return len(s.deferredEvents) > 0
}

// runDeferredEvents reports the events that actions led to.
func (s *Server) runDeferredEvents() {
	for len(s.deferredEvents) > 0 {
		events := s.deferredEvents
		s.deferredEvents = nil
		for _, event := range events {
			event()
		}
	}
}

// Up implements interp.Handler: the module starts with the work it decides on, since the interpreter may come
// up long after this process and is cold from then on.
func (s *Server) InterpreterStarted(cold bool, age time.Duration) {
	set := s.told.Admission
	set.WarmingUp = cold
	s.log.Info("interpreter up", zap.Bool("cold", cold), zap.Duration("age", age))
	module, err := s.newModule(set)
	if err != nil {
		s.log.Error("decision module", zap.Error(err)) // New has tried the same settings
		return
	}
	s.module = module
	s.moduleTime()
	s.reportLoad()
}

// Trouble implements interp.Handler.
func (s *Server) ReportError(text string, err error) {
	s.log.Warn(text, zap.Error(err))
	s.annotateCapture("%s: %v", text, err)
}

// expireKeys forgets entries that ran out.
func (s *Server) expireKeys() {
	s.keys.expire(s.clock.read(s.loop.Now()), s.loop.Now().Round(0), s.maxDeadline)
	s.counters.resultsEvicted = s.keys.evicted
	if s.durable != nil {
		s.durable.runMaintenance()
	}
	s.loop.AfterFunc(keyExpiryInterval, s.expireKeys)
}
