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
	// spareSockets are kept from gateways: the loop's own, the interpreter's, logs and what the runtime holds.
	spareSockets = 24
	// windowSlack is added to the window in which a request must not run again: time limits on sockets are
	// 50 ms longer, and as much again covers the clock's millisecond steps.
	windowSlack = 100 * time.Millisecond
	// resultPart is the part of the memory that kept results may take.
	resultPart = 8
	// requestPart is the part of the memory that requests may take which are not answered.
	requestPart = 8
	// outputPart is the part of the memory that answers may take which callers do not read.
	outputPart = 8
	// keySweep is the time between two looks for entries that ran out.
	keySweep = time.Second
	// The limits of the gateways' protocol; the parameters of a request are far smaller than theirs.
	maxOpen, maxParams, maxBody = 32, 16 << 10, 2 << 10
)

// Config is what a server is told at its start.
type Config = config.Config

// LoadConfig reads the configuration that the environment names.
func LoadConfig(getenv func(string) string) (*Config, error) { return config.Load(getenv) }

// Server is one catalogue server. Its fields belong to the goroutine in Run.
type Server struct {
	cfg      *config.Config
	told     *settings.Told
	log      *zap.Logger
	protocol gateway.Protocol
	loop     *eventloop.Loop
	listener *eventloop.Listener
	link     worker
	begin    func() worker // makes link
	intake   intake
	reporter *loadreport.Reporter

	clock  clock
	module admission.Events // nil until the interpreter is up
	// decisions is the module behind the tap, to be looked into; nil until the interpreter is up.
	decisions *admission.Instance
	touched   bool     // the module heard of something in this round
	later     []func() // events that actions led to
	lastID    admission.RequestID

	journal  keeping           // nil where keyed results do not outlast the process
	recorder *capture.Recorder // nil where nothing is recorded
	tap      *capture.Tap      // likewise, and until the module starts

	classes, tenants map[string]int
	gateways         list.List                    // of *gateway, in the order of accepting
	tries            map[admission.RequestID]*try // owed an answer, or running
	byWire           map[string]*try              // the same, by Request-Id
	keys             keyTable
	seen             seenIDs
	sums             maphash.Seed  // of the sums of bodies, which no sender can foresee
	patience         time.Duration // longest deadline of a class

	hint               string
	healthy, fromStore bool
	idle               time.Duration // what the module set, 0 = nothing yet
	idleScan           *eventloop.Timer
	draining           bool
	count              counters
	classCounts        []classCounters // by the index of the class
}

// New returns a server that listens at its address. Run has to be called next, or Close.
func New(cfg *Config, log *zap.Logger) (*Server, error) { return NewOn(eventloop.Kernel{}, cfg, log) }

// NewOn is New on a system that need not be the machine's.
func NewOn(system eventloop.System, cfg *Config, log *zap.Logger) (*Server, error) {
	s, err := open(system, cfg, log, fastcgi.Limits{Requests: maxOpen, Params: maxParams, Body: maxBody,
		Memory: cfg.Limits.MemoryMB << 20 / requestPart})
	if err != nil {
		return nil, err
	}
	s.intake = s.read
	s.begin = func() worker { return interpreterBackend{interpreter.Dial(s.loop, s.cfg.Interpreter, s), s.told} }
	return s, nil
}

// open returns a server that listens, without the worker and the intake that it needs.
func open(system eventloop.System, cfg *Config, log *zap.Logger, limits fastcgi.Limits) (*Server, error) {
	if err := servable(cfg); err != nil {
		return nil, err
	}
	told := cfg.Settings
	l, err := eventloop.New(system, min(max(told.Module.Tick, time.Millisecond), 10*time.Millisecond), cfg.Limits.MemoryMB<<20/outputPart)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, told: told, log: log, loop: l, clock: newClock(l.Now()), protocol: fastcgi.New(limits),
		classes: index(told.Classes), tenants: index(told.Tenants),
		tries: map[admission.RequestID]*try{}, byWire: map[string]*try{},
		classCounts: make([]classCounters, len(told.Classes)),
		keys:        newKeyTable(cfg.Limits.MemoryMB<<20/resultPart, told.Module.Fresh), sums: maphash.MakeSeed()}
	for _, c := range told.Module.Classes {
		s.patience = max(s.patience, c.Deadline)
	}
	s.seen = newSeenIDs(max(2*s.patience, seenLeast), cfg.Limits.MemoryMB<<20/seenPart/seenSize)
	if cfg.Announce.IsValid() {
		if s.reporter, err = loadreport.New(system, cfg.Announce, cfg.Name); err != nil {
			l.Close()
			return nil, err
		}
	}
	if s.listener, err = l.Listen(cfg.Listen, eventloop.Accepted{Conn: s.accept, Failed: s.acceptFailed}); err != nil {
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

// servable tells what is wrong with settings that can be read: what the module can't work with is found now,
// not when the interpreter comes up. Any dependency is served, though no call to it can be made: see Awaits.
func servable(cfg *Config) error {
	if _, err := admission.New(cfg.Settings.Module, nil); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	return nil
}

// index numbers names.
func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Run serves until it was drained after Drain.
func (s *Server) Run() error {
	defer s.Close()
	s.link = s.begin()
	s.loop.After(keySweep, s.sweepKeys)
	s.scanIdle()
	s.log.Info("listening", zap.String("name", s.cfg.Name), zap.Stringer("address", s.cfg.Listen))
	err := s.loop.Run(s.settle)
	s.closeCapture()
	s.report("exit")
	if s.journal != nil {
		s.journal.close()
	}
	return err
}

// Close gives up what a server holds.
func (s *Server) Close() {
	s.listener.Close()
	for g := range s.connections() {
		g.conn.Close()
	}
	if s.link != nil {
		s.link.Close()
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

// Report logs the counters; any goroutine may call it.
func (s *Server) Report() { s.loop.Post(func() { s.report("asked") }) }

// event notes that the module hears of something in this round, and returns the time of it.
func (s *Server) event() time.Duration {
	s.touched = true
	return s.clock.read(s.loop.Now())
}

// after reports an event that an action led to once the module has returned.
func (s *Server) after(event func()) { s.later = append(s.later, event) }

// settle ends a round.
func (s *Server) settle() (again bool) {
	s.deferred()
	if s.touched && s.module != nil {
		s.touched = false
		s.module.Settle(s.clock.read(s.loop.Now()))
	}
	return len(s.later) > 0
}

// deferred reports the events that actions led to.
func (s *Server) deferred() {
	for len(s.later) > 0 {
		events := s.later
		s.later = nil
		for _, event := range events {
			event()
		}
	}
}

// Up implements interp.Handler: the module starts with the work it decides on, since the interpreter may come
// up long after this process and is cold from then on.
func (s *Server) Up(cold bool, age time.Duration) {
	set := s.told.Module
	set.Cold = cold
	s.log.Info("interpreter up", zap.Bool("cold", cold), zap.Duration("age", age))
	module, err := s.newModule(set)
	if err != nil {
		s.log.Error("decision module", zap.Error(err)) // New has tried the same settings
		return
	}
	s.module = module
	s.event()
	s.announce()
}

// Trouble implements interp.Handler.
func (s *Server) Trouble(text string, err error) {
	s.log.Warn(text, zap.Error(err))
	s.remark("%s: %v", text, err)
}

// sweepKeys forgets entries that ran out.
func (s *Server) sweepKeys() {
	s.keys.sweep(s.clock.read(s.loop.Now()), s.loop.Now().Round(0), s.patience)
	s.count.resultsDropped = s.keys.dropped
	if s.journal != nil {
		s.journal.work()
	}
	s.loop.After(keySweep, s.sweepKeys)
}
