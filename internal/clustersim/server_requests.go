package clustersim

import (
	"time"

	"tillerusher/admission"
)

// admissionChecker is a module that can return the decision that it would make on an arrival, without making it.
type admissionChecker interface {
	CheckAdmission(now time.Duration, r admission.Request) admission.AdmissionCheck
}

// acceptAttempt adds an attempt that has arrived to the backlog, or refuses the connection.
func (s *server) acceptAttempt(attempt *attempt) {
	config := &s.sim.config.Servers
	isBacklogFull := len(s.backlog) >= config.BacklogPerCore*config.Cores
	if !s.isUp || s.listenerClosed || attempt.generation != s.generation || isBacklogFull {
		s.sim.deliverResult(attempt, outcomeUnreachable, retryAdvice{})
		return
	}
	attempt.arrivedAt = s.sim.now
	s.sim.checker.attemptArrived(attempt.number, s.index, s.sim.now)
	s.backlog = append(s.backlog, attempt)
	s.advance()
	s.startReading()
	s.rescheduleCores()
}

// startReading starts reading requests from the backlog. At most one request per core is read at a time.
func (s *server) startReading() {
	for s.readingCount < s.sim.config.Servers.Cores && len(s.backlog) > 0 {
		a := s.backlog[0]
		s.backlog[0] = nil
		s.backlog = s.backlog[1:]
		if s.sim.readWork == 0 {
			s.submitRequest(a)
			continue
		}
		s.readingCount++
		s.cores.add(&job{attempt: a, isRead: true}, s.sim.readWork)
	}
}

// completeJobs completes the jobs that are done.
func (s *server) completeJobs() {
	s.advance()
	for j := s.cores.firstFinished(); j != nil; j = s.cores.firstFinished() {
		s.cores.remove(j)
		if j.isRead {
			s.readingCount--
			s.submitRequest(j.attempt)
			s.startReading()
		} else {
			s.finishRun(j.attempt)
		}
	}
	s.rescheduleCores()
}

// submitRequest passes an attempt that was read to the module.
func (s *server) submitRequest(arrived *attempt) {
	now := s.sim.now
	s.lastID++
	arrived.id, arrived.state = s.lastID, stateQueued
	s.attempts[arrived.id] = arrived
	s.sim.checker.attemptRead(arrived.number, now)
	arrived.readAt = now
	if s.sim.config.Classes[arrived.request.class].IdempotentByKey {
		s.keys.sweepPeriodically(now)
		arrived.original = s.keys.findOriginal(arrived.request.key, arrived.arrivedAt)
	}
	req := arrived.admissionRequest(s.sim.config.Classes)
	if module, ok := s.module.(admissionChecker); ok && s.sim.config.RecordRejectReasons {
		arrived.rejectReason = module.CheckAdmission(now, req).Reason
	}
	s.module.Request(now, req)
	s.markUnsettled()
	s.checkMemory()
}

// admissionRequest converts an attempt that was read for the module. Only a request without a key has a resource ID.
func (a *attempt) admissionRequest(classes []Class) admission.Request {
	req := admission.Request{
		ID:            a.id,
		Class:         a.request.class,
		Tenant:        a.request.tenant,
		Caller:        a.request.gateway.index,
		QueueingDelay: a.readAt - a.arrivedAt,
		IsRetry:       a.isRetry,
		SizeKB:        a.request.sizeKB,
	}
	if a.original != nil {
		req.RetryOf = a.original.id
	}
	if !classes[a.request.class].IdempotentByKey {
		req.ResourceID = a.request.resourceID
	}
	return req
}

// finishRun ends a run whose work is done. The run fails with the probability failureShare.
func (s *server) finishRun(a *attempt) {
	a.job = nil
	s.sim.checker.runEnded(a.number, s.index)
	o := admission.OK
	if s.failureShare > 0 && s.sim.faultRandom.Float64() < s.failureShare {
		o = admission.Failed
	}
	s.completeRun(a, o)
}

// completeRun reports the end of a run to the gateway and the module, and answers the attempts that wait for its outcome.
func (s *server) completeRun(attempt *attempt, result admission.Outcome) {
	attempt.state, attempt.succeeded = stateEnded, result == admission.OK
	if attempt.succeeded {
		s.respond(attempt, outcomeServed, retryAdvice{})
	} else {
		s.respond(attempt, outcomeFailed, retryAdvice{})
	}
	s.module.RunFinished(s.sim.now, attempt.id, result)
	for _, follower := range attempt.followers {
		s.replayOutcome(follower, attempt.succeeded)
	}
	attempt.followers = nil
	s.releaseIfDone(attempt)
	s.markUnsettled()
	s.stopIfDrained()
}

// replayOutcome answers a repeat with the outcome of the attempt that ran.
func (s *server) replayOutcome(attempt *attempt, succeeded bool) {
	if attempt.answered {
		return
	}
	moduleOutcome, gatewayOutcome := admission.Failed, outcomeFailed
	if succeeded {
		moduleOutcome, gatewayOutcome = admission.OK, outcomeServed
	}
	attempt.state = stateEnded
	s.respond(attempt, gatewayOutcome, retryAdvice{})
	s.module.RunFinished(s.sim.now, attempt.id, moduleOutcome)
	s.releaseIfDone(attempt)
	s.markUnsettled()
}

// respond sends the final response of an attempt. It does nothing if the attempt has been answered.
func (s *server) respond(a *attempt, o outcome, advice retryAdvice) {
	if a.answered {
		return
	}
	a.answered = true
	s.sim.deliverResult(a, o, advice)
}

// releaseIfDone removes an attempt that is answered and not running.
func (s *server) releaseIfDone(a *attempt) {
	if a.answered && a.state != stateRunning {
		delete(s.attempts, a.id)
	}
}

// completeWithoutRun answers an attempt that does not run, or whose run continues after its answer.
func (s *server) completeWithoutRun(a *attempt, o outcome, advice retryAdvice) {
	s.respond(a, o, advice)
	if a.state == stateQueued || a.state == stateFollowing {
		a.state = stateEnded
	}
	s.releaseIfDone(a)
	s.stopIfDrained()
}
