package clustersim

import (
	"time"

	"tillerusher/admission"
)

// minTimerDelay is the lower bound that a server applies to the delay of a module's timer.
const minTimerDelay = time.Microsecond

// openAttempt returns the attempt with an ID if it has no response yet, or nil.
func (s *server) openAttempt(id admission.RequestID) *attempt {
	if a := s.attempts[id]; a != nil && !a.answered {
		return a
	}
	return nil
}

// Run implements admission.Actions.
func (s *server) Run(id admission.RequestID) {
	attempt := s.openAttempt(id)
	if attempt == nil || attempt.state != stateQueued {
		return
	}
	if class := &s.sim.config.Classes[attempt.request.class]; class.IdempotentByKey {
		if !s.claimKey(attempt, class) {
			return
		}
	}
	s.advance()
	attempt.state = stateRunning
	s.sim.checker.runStarted(attempt.number, s.index, s.sim.now)
	attempt.job = &job{attempt: attempt}
	s.cores.add(attempt.job, attempt.request.work)
	s.checkMemory()
}

// claimKey records that an attempt runs under its key and returns true. If another attempt ran under the key before and
// its window has not ended, claimKey fails the attempt and returns false: the server prevents second runs, whatever the
// module decides.
func (s *server) claimKey(attempt *attempt, class *Class) bool {
	entry := s.keys.entry(attempt.request.key)
	if entry.lastRun != nil && entry.lastRun != attempt && attempt.arrivedAt <= entry.lastRunUntil {
		s.sim.result.PreventedReruns++
		attempt.state = stateEnded
		s.respond(attempt, outcomeFailed, retryAdvice{})
		s.deferCall(func() {
			s.module.RunFinished(s.sim.now, attempt.id, admission.Failed)
			s.markUnsettled()
		})
		return false
	}
	entry.lastRun, entry.lastRunUntil = attempt, attempt.arrivedAt+class.KeyWindow
	return true
}

// Reject implements admission.Actions.
func (s *server) Reject(id admission.RequestID, retryAfter time.Duration, noRetry bool) {
	a := s.openAttempt(id)
	if a == nil {
		return
	}
	if s.sim.config.RecordRejectReasons {
		s.sim.result.RejectReasons[a.rejectReasonText(s.sim.now)]++
	}
	s.completeWithoutRun(a, outcomeRejected, retryAdvice{retryAfter, noRetry})
}

// Fail implements admission.Actions.
func (s *server) Fail(id admission.RequestID) {
	if a := s.openAttempt(id); a != nil {
		s.completeWithoutRun(a, outcomeFailed, retryAdvice{})
	}
}

// Stop implements admission.Actions. The work of a stopped run is lost.
func (s *server) Stop(id admission.RequestID) {
	a := s.attempts[id]
	if a == nil || a.state != stateRunning || a.job == nil {
		return
	}
	s.advance()
	s.cores.remove(a.job)
	a.job = nil
	s.sim.checker.runEnded(a.number, s.index)
	s.deferCall(func() { s.completeRun(a, admission.Cancelled) })
}

// KeepKey implements admission.Actions.
func (s *server) KeepKey(id admission.RequestID, lifetime time.Duration) {
	a := s.attempts[id]
	if a == nil || a.request.key == 0 {
		return
	}
	until := s.sim.now + lifetime
	s.keys.hold(a, until)
	s.sim.checker.keyKept(s.index, a.number, until)
	s.checkMemory()
}

// ReleaseKey implements admission.Actions.
func (s *server) ReleaseKey(id admission.RequestID) {
	if holder := s.keys.release(id); holder != nil {
		s.sim.checker.keyReleased(s.index, holder.number)
	}
}

// ReplayResult implements admission.Actions. If the original has not ended, the attempt waits for its outcome.
func (s *server) ReplayResult(id admission.RequestID) {
	attempt := s.openAttempt(id)
	if attempt == nil || attempt.original == nil {
		return
	}
	source := attempt.original
	if e := s.keys.entries[attempt.request.key]; e != nil && e.lastRun != nil {
		source = e.lastRun
	}
	isOpen := source.state == stateRunning || source.state == stateQueued
	attempt.state = stateFollowing
	if isOpen {
		source.followers = append(source.followers, attempt)
		return
	}
	s.deferCall(func() { s.replayOutcome(attempt, source.succeeded) })
}

// AdvertiseLoad implements admission.Actions.
func (s *server) AdvertiseLoad(value float64) { s.load = advertisedLoad{value: value, isSet: true} }

// SetHealth implements admission.Actions.
func (s *server) SetHealth(healthy, _ bool) { s.reportsHealthy = healthy }

// SetTimer implements admission.Actions.
func (s *server) SetTimer(wait time.Duration, token uint32) {
	s.schedule(max(wait, minTimerDelay), eventModuleTimer, timerToken(token))
}

// CloseIdleConnections implements admission.Actions. Connections are not simulated.
func (s *server) CloseIdleConnections(time.Duration) {}

// Call implements admission.Actions. Downstream calls are not simulated.
func (s *server) Call(admission.RequestID, time.Duration) {}

// SkipCall implements admission.Actions.
func (s *server) SkipCall(admission.RequestID) {}

// Log implements admission.Actions.
func (s *server) Log(string) { s.sim.result.LogLines++ }
