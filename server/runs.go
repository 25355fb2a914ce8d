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

// succeed ends a run that has a result.
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

// failRun ends a run without a result. If the attempt is not answered yet, it fails, because the run may have had an
// effect.
func (s *Server) failRun(a *attempt, outcome admission.Outcome) {
	a.state = runFailed
	s.answerFailed(a)
	s.endRun(a, outcome, gateway.Response{})
}

// endRun reports the end of a run to the module, and then answers the retries that waited for it.
func (s *Server) endRun(attempt *attempt, outcome admission.Outcome, result gateway.Response) {
	s.module.events.RunFinished(s.eventTime(), attempt.id, outcome)
	waiters := attempt.waiters
	attempt.waiters = nil
	retryOutcome := admission.Failed
	if attempt.state == runSucceeded {
		retryOutcome = admission.OK
	}
	for _, retry := range waiters {
		s.answerRetry(retry, retryOutcome, result)
	}
	s.removeIfDone(attempt)
}

// releaseKey frees the key of an attempt that did not run, so that a retry may run.
func (s *Server) releaseKey(a *attempt) {
	s.keys.unclaim(a)
	if a.HasKey && a.AtMostOnce && s.durable != nil {
		s.durable.releaseKey(a)
	}
}

// replayResult answers a retry from the stored result of the original attempt.
func (s *Server) replayResult(retry, original *attempt) {
	if original == nil || !original.hasResult {
		s.answerRetry(retry, admission.Failed, gateway.Response{})
		return
	}
	s.answerRetry(retry, admission.OK, original.result)
}

// answerRetry answers a retry with the outcome of the original attempt: with its result if the outcome is admission.OK,
// and otherwise with a failure.
func (s *Server) answerRetry(retry *attempt, outcome admission.Outcome, result gateway.Response) {
	if retry.isAnswered {
		return
	}
	if outcome == admission.OK {
		s.counters.replayed++
		s.answer(retry, result)
	} else {
		s.answerFailed(retry)
	}
	s.module.events.RunFinished(s.eventTime(), retry.id, outcome)
	s.removeIfDone(retry)
}

// callRequested ends a request whose run wants to call a downstream service. Requests may do so at some sites, but the
// platform does not specify how a server makes such a call, so the run can't continue and its request is answered
// immediately. A request without an effect gets a final rejection, because no other server could serve it either.
func (s *Server) callRequested(requestID string) {
	attempt := s.attempts.byRequestID[requestID]
	if attempt == nil || attempt.state != runInFlight {
		return
	}
	s.counters.calls++
	if attempt.isAnswered {
		return // the end of the run is reported like any other
	}
	if attempt.AtMostOnce {
		s.answerFailed(attempt)
	} else {
		s.answer(attempt, rejection(s.site.Admission.MaxRetryAfter, finalRejection))
	}
	s.module.events.Cancel(s.eventTime(), attempt.id)
}
