package clustersim

import (
	"time"

	"tillerusher/admission"
)

// timerToken is the token by which the module identifies a timer.
type timerToken uint32

// warmUpSteps is the number of times that the speed of a process is updated during its warm-up.
const warmUpSteps = 40

// server is one catalogue server. It implements admission.Actions for its module.
type server struct {
	sim   *simulation
	index int
	machine

	generation  int // number of processes so far; events of earlier processes are ignored
	isUp        bool
	lastID      admission.RequestID
	keys        keyTable
	coresEvent  *event // due when the next job is done
	isUnsettled bool   // the server is in simulation.unsettledServers
	process
}

// machine is the state of a server that persists across its processes, with the faults that incidents cause.
type machine struct {
	fullSpeed    float64 // of a core when warm
	slowdown     float64 // factor by which the cores are slower; 0 means none
	hangCount    int     // active incidents under which work makes no progress
	pauseCount   int     // active incidents that pause the machine
	pausedAt     time.Duration
	pausedEvents []*event // events that became due during a pause
	failureShare float64  // share of runs that end with an error
}

// process is the state of the current process.
type process struct {
	module         admission.Events
	startedAt      time.Duration
	startedCold    bool
	draining       bool
	listenerClosed bool
	reportsHealthy bool
	load           advertisedLoad

	cores        cores
	backlog      []*attempt
	readingCount int // requests that are being read
	attempts     map[admission.RequestID]*attempt
	concurrency  concurrencyMonitor
}

// newServer returns a server that is down.
func newServer(s *simulation, index int, fullSpeed float64) *server {
	return &server{sim: s, index: index, machine: machine{fullSpeed: fullSpeed}}
}

// processStart is the state in which a process starts.
type processStart uint8

const (
	startWarm processStart = iota // at full speed, as if it had run for a long time
	startCold                     // slow, with a warm-up
)

// start starts a process with a new module and adds the server to the endpoint list.
func (s *server) start(from processStart) {
	config := &s.sim.config.Servers
	s.generation++
	s.isUp = true
	s.keys.reset()
	s.process = process{
		startedAt:      s.sim.now,
		startedCold:    from == startCold,
		reportsHealthy: true,
		attempts:       map[admission.RequestID]*attempt{},
		cores: cores{
			count:           float64(config.Cores),
			thrashFactor:    config.ThrashFactor,
			thrashThreshold: config.ThrashThreshold,
			updatedAt:       s.sim.now,
		},
	}
	s.updateSpeed()
	if s.startedCold && config.WarmUpTime > 0 {
		s.schedule(config.WarmUpTime/warmUpSteps, eventWarmUp, nil)
	}
	if config.MaxConcurrencyFactor > 0 {
		s.schedule(config.ConcurrencyWindow/concurrencySamples, eventConcurrencyCheck, nil)
	}
	settings := s.sim.config.admissionSettings()
	settings.WarmingUp = s.startedCold
	module, err := s.sim.newPolicy(settings, s)
	if err != nil {
		s.sim.fail(err)
		return
	}
	s.module = module
	s.markUnsettled()
	s.sim.addEndpoint(s)
	s.sim.checker.serverStarted(s.index)
}

// schedule schedules an event of the current process after a delay.
func (s *server) schedule(wait time.Duration, kind eventKind, payload any) {
	e := s.sim.events.schedule(s.sim.now+max(wait, 0), s, kind, payload)
	e.generation = uint32(s.generation)
}

// deferCall calls a function after the current handler, as an event of the current process. It is needed because the
// module must not be called from within its own actions.
func (s *server) deferCall(f func()) { s.schedule(0, eventDeferred, f) }

// markUnsettled makes the simulation settle the server at the end of this instant.
func (s *server) markUnsettled() {
	if !s.isUnsettled {
		s.isUnsettled = true
		s.sim.unsettledServers = append(s.sim.unsettledServers, s)
	}
}

// settle calls the module's Settle at the end of an instant, unless the process is down or paused.
func (s *server) settle() {
	s.isUnsettled = false
	if s.isUp && s.pauseCount == 0 {
		s.module.Settle(s.sim.now)
		s.rescheduleCores()
	}
}

// isHealthy reports whether a health check of the server succeeds.
func (s *server) isHealthy() bool {
	return s.isUp && !s.listenerClosed && s.reportsHealthy && s.pauseCount == 0
}

// handle implements eventHandler.
func (s *server) handle(event *event) {
	if s.pauseCount > 0 && event.kind != eventStart {
		postponed := *event // the queue reuses the event
		s.pausedEvents = append(s.pausedEvents, &postponed)
		return
	}
	switch event.kind {
	case eventAttemptArrival:
		s.acceptAttempt(event.payload.(*attempt))
	case eventJobsDone:
		if s.isUp {
			s.completeJobs()
		}
	case eventStart:
		if !s.isUp {
			s.start(startCold)
		}
	default:
		if s.isUp && int(event.generation) == s.generation {
			s.handleProcessEvent(event)
		}
	}
}

// handleProcessEvent handles an event that the current process has scheduled.
func (s *server) handleProcessEvent(event *event) {
	switch event.kind {
	case eventModuleTimer:
		s.advance()
		s.module.Timer(s.sim.now, uint32(event.payload.(timerToken)), s.gauges())
		s.markUnsettled()
	case eventDeferred:
		event.payload.(func())()
	case eventConcurrencyCheck:
		s.checkConcurrency()
	case eventWarmUp:
		s.warmUp()
	case eventListenerClose:
		s.listenerClosed = true
		s.stopIfDrained()
	case eventStop:
		s.terminate(exitDrained)
		s.sim.events.schedule(s.sim.now, s, eventStart, nil) // starts the next process
	}
}

// gauges returns the gauges that the module gets. Runnable is -1 if the configuration omits it.
func (s *server) gauges() admission.Gauges {
	g := admission.Gauges{Utilization: s.cores.utilization, Runnable: float64(len(s.cores.jobs))}
	if s.sim.config.Servers.OmitRunnableGauge {
		g.Runnable = -1
	}
	return g
}

// advance updates the work done and the concurrency to now. It must be called before the jobs or the speed change.
func (s *server) advance() {
	elapsed := max(s.sim.now-s.cores.updatedAt, 0).Seconds()
	s.concurrency.runSeconds += float64(s.cores.runCount) * elapsed
	s.cores.advance(s.sim.now)
}

// rescheduleCores updates the event for the next job that is done. It is called after the jobs or the speed of the cores
// have changed.
func (s *server) rescheduleCores() {
	at, ok := s.cores.nextFinish()
	switch {
	case !ok || !s.isUp || s.pauseCount > 0:
		s.sim.events.cancel(s.coresEvent)
	case s.coresEvent == nil:
		s.coresEvent = s.sim.events.schedule(at, s, eventJobsDone, nil)
	case s.coresEvent.index < 0 || s.coresEvent.at != at:
		s.sim.events.reschedule(s.coresEvent, at)
	}
}

// warmUpShare returns the share of the full speed that the process has reached.
func (s *server) warmUpShare() float64 {
	config := &s.sim.config.Servers
	if !s.startedCold || config.WarmUpTime == 0 {
		return 1
	}
	return min(1, config.InitialCapacity+(1-config.InitialCapacity)*float64(s.sim.now-s.startedAt)/float64(config.WarmUpTime))
}

// updateSpeed sets the speed of the cores from the warm-up and the faults.
func (s *server) updateSpeed() {
	s.cores.speed = s.fullSpeed * s.warmUpShare() / max(s.slowdown, 1)
	if s.hangCount > 0 {
		s.cores.speed = 0
	}
}

// warmUp updates the speed of a process that warms up and schedules the next update.
func (s *server) warmUp() {
	s.advance()
	s.updateSpeed()
	if warmUpTime := s.sim.config.Servers.WarmUpTime; s.sim.now-s.startedAt < warmUpTime {
		s.schedule(warmUpTime/warmUpSteps, eventWarmUp, nil)
	}
	s.rescheduleCores()
}
