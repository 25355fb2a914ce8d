package server

import (
	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// RunFinished reports the end of a run. Backends call it once for each run.
func (s *Server) RunFinished(requestID string, outcome RunOutcome, result gateway.Response) {
	attempt := s.attempts.byRequestID[requestID]
	if attempt == nil || attempt.state != runInFlight {
		return
	}
	s.counters.runsFinished++
	switch outcome {
	case RunSucceeded:
		s.succeed(attempt, result)
	case RunAnswered:
		s.keys.unclaim(attempt)
		s.succeed(attempt, result)
	case RunStopped:
		s.counters.runsStopped++
		s.failRun(attempt, admission.Cancelled)
	case RunRejected:
		s.counters.runsFailed++
		s.releaseKey(attempt)
		s.failRun(attempt, admission.NotStarted)
	case RunNotStarted:
		s.counters.runsNotStarted++
		s.failRun(attempt, admission.NotStarted)
	default:
		s.counters.runsFailed++
		s.failRun(attempt, admission.Failed)
	}
}

// succeed ends a run that made a result.
func (s *Server) succeed(a *attempt, result gateway.Response) {
	a.state, a.finishedAt = runSucceeded, s.clock.now
	if a.HasKey {
		s.keys.storeResult(a, result)
	}
	if a.HasKey && a.AtMostOnce && s.durable != nil {
		s.durable.storeResult(a, result)
	}
	s.answer(a, result)
	s.endRun(a, admission.OK, result)
}

// failRun ends a run that made no result. The answer that may still be owed is a failure: whether anything was done is
// not known.
func (s *Server) failRun(a *attempt, outcome admission.Outcome) {
	a.state = runFailed
	s.answerFailed(a)
	s.endRun(a, outcome, gateway.Response{})
}

// endRun tells the module how a run ended, and then answers the retries that waited for it.
func (s *Server) endRun(a *attempt, outcome admission.Outcome, result gateway.Response) {
	s.module.events.RunFinished(s.eventTime(), a.id, outcome)
	waiters := a.waiters
	a.waiters = nil
	for _, retry := range waiters {
		s.answerRetry(retry, a.state == runSucceeded, result)
	}
	s.removeIfDone(a)
}

// releaseKey has the key of an attempt be free for the request that it belongs to: nothing ran.
func (s *Server) releaseKey(a *attempt) {
	s.keys.unclaim(a)
	if a.HasKey && a.AtMostOnce && s.durable != nil {
		s.durable.releaseKey(a)
	}
}

// replayResult answers a retry from the stored result of the original attempt.
func (s *Server) replayResult(retry, original *attempt) {
	if original == nil || !original.hasResult {
		s.answerRetry(retry, false, gateway.Response{})
		return
	}
	s.answerRetry(retry, true, original.result)
}

// answerRetry answers a retry as the run of the original attempt ended.
func (s *Server) answerRetry(retry *attempt, hasSucceeded bool, result gateway.Response) {
	if retry.isAnswered {
		return
	}
	outcome := admission.Failed
	if hasSucceeded {
		outcome = admission.OK
		s.counters.replayed++
		s.answer(retry, result)
	} else {
		s.answerFailed(retry)
	}
	s.module.events.RunFinished(s.eventTime(), retry.id, outcome)
	s.removeIfDone(retry)
}

// callRequested ends a request whose run came to a call of what lies below. Requests may make such calls at some sites,
// but the platform does not say how a server makes one, so the run can't go on and its request is answered at once. A
// request without an effect is rejected, for good: no other server could serve it either.
func (s *Server) callRequested(requestID string) {
	attempt := s.attempts.byRequestID[requestID]
	if attempt == nil || attempt.state != runInFlight {
		return
	}
	s.counters.calls++
	if attempt.isAnswered {
		return // its run ends by itself
	}
	if attempt.AtMostOnce {
		s.answerFailed(attempt)
	} else {
		s.answer(attempt, rejection(s.site.Admission.MaxRetryAfter, true))
	}
	s.module.events.Cancel(s.eventTime(), attempt.id)
}
