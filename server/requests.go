package server

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
)

// handleRequest takes in a whole request.
func (s *Server) handleRequest(g *gatewayConn, id gateway.StreamID, r gateway.Request) {
	if r.Path == healthPath {
		s.checkHealth(g, id, r)
		return
	}
	s.counters.requests++
	now := s.moduleTime()
	t, q, direct, err := s.parser(r, now)
	if direct != nil {
		g.validRequests++
		s.counters.directAnswers++
		g.sendAnswer(id, *direct)
		return
	}
	if err == nil && s.module == nil {
		g.validRequests++
		s.counters.rejected++
		g.sendAnswer(id, rejection(s.told.Admission.MaxRetryAfter, false)) // nothing can run yet
		return
	}
	if err == nil {
		err = s.identify(t, now)
	}
	if err != nil {
		s.counters.invalid++
		g.sendAnswer(id, gateway.Response{Status: statusBadRequest, Body: []byte(err.Error() + "\n")})
		return
	}
	g.validRequests++
	if s.durable != nil && s.durable.rejects(t) {
		s.counters.rejected++
		g.sendAnswer(id, rejection(s.told.Admission.MaxRetryAfter, false))
		return
	}
	s.lastID++
	t.id, q.ID, t.conn, t.stream = s.lastID, s.lastID, g, id
	if q.IsRetry {
		s.counters.retries++
	}
	if t.retryOf != nil {
		s.counters.coalesced++
		q.RetryOf = t.retryOf.id
	}
	s.classCounts[t.class].requests++
	s.attempts[t.id], s.byRequestID[t.requestID], g.attempts[id] = t, t, t
	if s.tap != nil {
		s.tap.NameRequest(t.id, t.requestID, t.key.key)
	}
	s.module.Request(now, q)
}

// identify finds the try that this one repeats. It complains of an id that was used before, and of a key whose
// request had another body: its sender must not get the result of that.
func (s *Server) identify(t *attempt, now time.Duration) error {
	number, err := strconv.ParseUint(t.requestID, 16, 64)
	if err != nil {
		return fmt.Errorf("field Request-Id: %w", err)
	}
	if t.routed == nil && (s.byRequestID[t.requestID] != nil || !s.recentIDs.add(number, now)) {
		return errors.New("field Request-Id is that of another try")
	}
	if !t.hasKey {
		return nil
	}
	if t.retryOf = s.keys.findOriginal(t, now); t.retryOf != nil && t.retryOf.bodyHash != t.bodyHash {
		return errors.New("field Once-Key is that of a request with another body")
	}
	return nil
}

// sendAnswer gives a try its final answer.
func (s *Server) answer(t *attempt, a gateway.Response) {
	if t.isAnswered {
		return
	}
	t.isAnswered = true
	delete(t.conn.attempts, t.stream)
	class := &s.classCounts[t.class]
	switch {
	case a.Status == statusUnavailable:
		s.counters.rejected++
		class.rejected++
	case a.Status < statusInternalError: // members may answer with any status
		s.counters.served++
		class.served++
	default:
		s.counters.failed++
		class.failed++
	}
	t.conn.sendAnswer(t.stream, a)
}

// dropResult forgets a try that is answered and does not run.
func (s *Server) forget(t *attempt) {
	if t.isAnswered && t.state != runInFlight {
		delete(s.attempts, t.id)
		delete(s.byRequestID, t.requestID)
		t.body, t.conn, t.routed = nil, nil, nil // a remembered key must not hold on to its connection
	}
}

// finishRun ends the run of a try.
func (s *Server) finishRun(wire string, end interpreter.Outcome, result gateway.Response) {
	t := s.byRequestID[wire]
	if t == nil || t.state != runInFlight {
		return
	}
	s.counters.runsFinished++
	switch end {
	case interpreter.OutcomeOK:
		t.state, t.finishedAt = runFinished, s.clock.now
		if t.hasKey {
			s.keys.storeResult(t, result)
		}
		if t.hasKey && t.atMostOnce && s.durable != nil {
			s.durable.storeResult(t, result)
		}
		s.answer(t, result)
		s.reportRunFinished(t, admission.OK, result)
	case interpreter.OutcomeStopped:
		s.counters.runsStopped++
		s.failRun(t, admission.Cancelled)
	case interpreter.OutcomeRejected:
		s.counters.runsFailed++
		s.releaseKey(t)
		s.failRun(t, admission.NotStarted)
	case interpreter.OutcomeNotStarted:
		s.counters.runsNotStarted++
		s.failRun(t, admission.NotStarted)
	default:
		s.counters.runsFailed++
		s.failRun(t, admission.Failed)
	}
}

// releaseKey has the key of a try be free for the request that it belongs to: nothing ran.
func (s *Server) releaseKey(t *attempt) {
	s.keys.unclaim(t)
	if t.hasKey && t.atMostOnce && s.durable != nil {
		s.durable.releaseKey(t)
	}
}

// failRun ends a run that made no result. The answer that may still be owed is a failure: whether anything was
// done is not known.
func (s *Server) failRun(t *attempt, o admission.Outcome) {
	t.state = runFailed
	s.answer(t, gateway.Response{Status: statusInternalError})
	s.reportRunFinished(t, o, gateway.Response{})
}

// closeAfterSend tells the module how a run ended, and then those that waited for it.
func (s *Server) reportRunFinished(t *attempt, o admission.Outcome, result gateway.Response) {
	s.module.RunFinished(s.moduleTime(), t.id, o)
	waiters := t.waiters
	t.waiters = nil
	for _, w := range waiters {
		s.answerReplay(w, t.state == runFinished, result)
	}
	s.forget(t)
}

// replayResult answers a repeat from the kept result of the try that was run.
func (s *Server) replayResult(t, source *attempt) {
	if source == nil || !source.hasResult {
		s.answerReplay(t, false, gateway.Response{})
		return
	}
	s.answerReplay(t, true, source.result)
}

// answerReplay gives a repeat its outcome.
func (s *Server) answerReplay(t *attempt, ok bool, result gateway.Response) {
	if t.isAnswered {
		return
	}
	outcome := admission.Failed
	if ok {
		outcome = admission.OK
		s.counters.replayed++
		s.answer(t, result)
	} else {
		s.answer(t, gateway.Response{Status: statusInternalError})
	}
	s.module.RunFinished(s.moduleTime(), t.id, outcome)
	s.forget(t)
}

// inArrivalOrder returns tries in the order of reading.
func inArrivalOrder[K comparable](tries map[K]*attempt) []*attempt {
	list := make([]*attempt, 0, len(tries))
	for _, t := range tries {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}
