package clustersim

import (
	"maps"
	"slices"
	"time"
)

// concurrencySamples is the number of checks of the concurrency per ConcurrencyWindow.
const concurrencySamples = 6

// concurrencyMonitor measures the mean number of running requests over a sliding window.
type concurrencyMonitor struct {
	runSeconds float64   // integral of the number of running requests since the start of the process
	samples    []float64 // last concurrencySamples values of runSeconds
}

// sample takes a sample and returns the mean over the window; ok is false until there are enough samples for a window.
func (m *concurrencyMonitor) sample(window time.Duration) (mean float64, ok bool) {
	m.samples = append(m.samples, m.runSeconds)
	if len(m.samples) <= concurrencySamples {
		return 0, false
	}
	mean = (m.runSeconds - m.samples[len(m.samples)-1-concurrencySamples]) / window.Seconds()
	m.samples = m.samples[1:]
	return mean, true
}

// checkConcurrency crashes the server if the mean number of runs over ConcurrencyWindow exceeds its limit, which rises
// during the warm-up. Otherwise it schedules the next check.
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

// checkMemory crashes the server if it needs more memory than it has. The crash is deferred until after the current
// handler, because the module may be the caller.
func (s *server) checkMemory() {
	if s.sim.checker.exceedsMemory(s.index, s.sim.now) {
		s.deferCall(s.crash)
	}
}

// crash ends the process and schedules the start of a new one after RestartDelay.
func (s *server) crash() {
	s.sim.result.Crashes++
	s.terminate(exitKilled)
	s.sim.events.schedule(s.sim.now+s.sim.config.Servers.RestartDelay, s, eventStart, nil)
}

// processExit is the way in which a process ends.
type processExit uint8

const (
	exitDrained processExit = iota // after a graceful shutdown
	exitKilled                     // immediately
)

// terminate ends the process. Its memory is lost, and its open attempts end with outcomeConnectionLost.
func (s *server) terminate(exit processExit) {
	if !s.isUp {
		return
	}
	s.isUp = false
	s.advance()
	s.sim.result.WorkDone += s.cores.workDone
	s.sim.events.cancel(s.coresEvent)
	lost := s.allAttempts()
	s.sim.checker.serverStopped(s.index, s.sim.now, exit)
	for _, a := range lost {
		s.respond(a, outcomeConnectionLost, retryAdvice{})
	}
	s.cores.jobs = nil
	s.attempts = nil
	s.backlog = nil
	s.sim.removeEndpoint(s)
}

// allAttempts returns all attempts of the process: first those that are waiting to be read, then those that are being
// read, then all others in the order in which they were read.
func (s *server) allAttempts() []*attempt {
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

// stopIfDrained ends a draining process before its timeout if its listener is closed and it has no attempts left.
func (s *server) stopIfDrained() {
	if s.draining && s.listenerClosed && len(s.attempts) == 0 && len(s.backlog) == 0 && s.readingCount == 0 {
		s.schedule(0, eventStop, nil)
	}
}

// pauseMachine pauses the machine until the matching call of resumeMachine. Calls may nest.
func (s *server) pauseMachine() {
	s.pauseCount++
	if s.pauseCount == 1 && s.isUp {
		s.advance()
		s.pausedAt = s.sim.now
		s.sim.events.cancel(s.coresEvent)
	}
}

// resumeMachine undoes one call of pauseMachine. After the last one, the events that became due during the pause are
// handled.
func (s *server) resumeMachine() {
	s.pauseCount--
	if s.pauseCount > 0 {
		return
	}
	s.sim.checker.machinePaused(s.index, s.sim.now-s.pausedAt)
	s.cores.updatedAt = s.sim.now // no work was done during the pause
	postponed := s.pausedEvents
	s.pausedEvents = nil
	for _, e := range postponed {
		s.handle(e)
	}
	if s.isUp {
		s.rescheduleCores()
	}
}
