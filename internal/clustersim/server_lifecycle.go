package clustersim

import (
	"maps"
	"slices"
	"time"
)

// concurrencySamples is how often the concurrency is checked within the window over which it is averaged.
const concurrencySamples = 6

// concurrencyMonitor measures the mean number of running requests over a window.
type concurrencyMonitor struct {
	runSeconds float64   // integral of the number of running requests since the start of the process
	samples    []float64 // of the integral, the last concurrencySamples of them
}

// sample takes a sample and returns the mean over the window; ok is false until the window is full.
func (m *concurrencyMonitor) sample(window time.Duration) (mean float64, ok bool) {
	m.samples = append(m.samples, m.runSeconds)
	if len(m.samples) <= concurrencySamples {
		return 0, false
	}
	mean = (m.runSeconds - m.samples[len(m.samples)-1-concurrencySamples]) / window.Seconds()
	m.samples = m.samples[1:]
	return mean, true
}

// checkConcurrency crashes a server whose cores had too many runs for too long.
func (s *server) checkConcurrency() {
	config := &s.sim.config.Servers
	s.advance()
	if mean, ok := s.concurrency.sample(config.ConcurrencyWindow); ok {
		limit := (1 + (config.MaxConcurrencyFactor-1)*s.warmUpShare()) * float64(config.Cores)
		if mean > limit {
			s.sim.checker.serverCrashed(s.index, s.sim.now, "a crowd on its cores")
			s.crash()
			return
		}
	}
	s.schedule(config.ConcurrencyWindow/concurrencySamples, eventConcurrencyCheck, nil)
}

// checkMemory crashes a server that needs more memory than it has. It crashes after the current handler, which may be the
// module's.
func (s *server) checkMemory() {
	if s.sim.checker.exceedsMemory(s.index, s.sim.now) {
		s.deferCall(s.crash)
	}
}

// crash ends the process, which starts again after a while.
func (s *server) crash() {
	s.sim.result.Crashes++
	s.terminate(exitKilled)
	s.sim.events.schedule(s.sim.now+s.sim.config.Servers.RestartDelay, s, eventStart, nil)
}

// processExit is how a process ends.
type processExit uint8

const (
	exitDrained processExit = iota // after a graceful shutdown
	exitKilled                     // at once
)

// terminate ends the process with all that it has in memory.
func (s *server) terminate(exit processExit) {
	if !s.isUp {
		return
	}
	s.isUp = false
	s.advance()
	s.sim.result.WorkDone += s.cores.workDone
	s.sim.events.cancel(s.coresEvent)
	lost := s.ownedAttempts()
	s.sim.checker.serverStopped(s.index, s.sim.now, exit)
	for _, a := range lost {
		s.respond(a, outcomeConnectionLost, retryAdvice{})
	}
	s.cores.jobs = nil
	s.attempts = nil
	s.backlog = nil
	s.sim.removeEndpoint(s)
}

// ownedAttempts returns the attempts that the process knows of: unread ones, those that are being read, and all others in
// the order in which they were read.
func (s *server) ownedAttempts() []*attempt {
	owned := slices.Clone(s.backlog)
	for _, j := range s.cores.jobs {
		if j.isRead {
			owned = append(owned, j.attempt)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		owned = append(owned, s.attempts[id])
	}
	return owned
}

// beginDrain starts the graceful shutdown of the process.
func (s *server) beginDrain() {
	if !s.isUp || s.draining {
		return
	}
	config := &s.sim.config.Servers
	s.draining = true
	s.sim.removeEndpoint(s)
	s.sim.checker.drainStarted(s.index, s.sim.now+config.DrainGracePeriod)
	s.module.Drain(s.sim.now, config.DrainTimeout)
	s.markUnsettled()
	s.schedule(config.DrainGracePeriod, eventListenerClose, nil)
	s.schedule(config.DrainTimeout, eventStop, nil)
}

// stopIfDrained ends a draining process that has nothing left to do.
func (s *server) stopIfDrained() {
	if s.draining && s.listenerClosed && len(s.attempts) == 0 && len(s.backlog) == 0 && s.reading == 0 {
		s.schedule(0, eventStop, nil)
	}
}

// pauseMachine pauses the whole machine. Each call needs one of resumeMachine.
func (s *server) pauseMachine() {
	s.pauses++
	if s.pauses == 1 && s.isUp {
		s.advance()
		s.pausedAt = s.sim.now
		s.sim.events.cancel(s.coresEvent)
	}
}

// resumeMachine ends a pause and handles the events that became due during it.
func (s *server) resumeMachine() {
	s.pauses--
	if s.pauses > 0 {
		return
	}
	s.sim.checker.machinePaused(s.index, s.sim.now-s.pausedAt)
	s.cores.updatedAt = s.sim.now // nothing was done meanwhile
	postponed := s.pausedEvents
	s.pausedEvents = nil
	for _, e := range postponed {
		s.handle(e)
	}
	if s.isUp {
		s.rescheduleCores()
	}
}
