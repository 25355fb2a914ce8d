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

// request takes in a whole request.
func (s *Server) request(g *gatewayConn, id gateway.Stream, r gateway.Request) {
	if r.Path == healthPath {
		s.check(g, id, r)
		return
	}
	s.count.requests++
	now := s.event()
	t, q, direct, err := s.intake(r, now)
	if direct != nil {
		g.sound++
		s.count.direct++
		g.answer(id, *direct)
		return
	}
	if err == nil && s.module == nil {
		g.sound++
		s.count.refused++
		g.answer(id, refusal(s.told.Module.RetryAfter, false)) // nothing can run yet
		return
	}
	if err == nil {
		err = s.recognise(t, now)
	}
	if err != nil {
		s.count.invalid++
		g.answer(id, gateway.Answer{Status: statusInvalid, Body: []byte(err.Error() + "\n")})
		return
	}
	g.sound++
	if s.journal != nil && s.journal.turnsAway(t) {
		s.count.refused++
		g.answer(id, refusal(s.told.Module.RetryAfter, false))
		return
	}
	s.lastID++
	t.id, q.ID, t.from, t.stream = s.lastID, s.lastID, g, id
	if q.Retry {
		s.count.retries++
	}
	if t.repeats != nil {
		s.count.repeats++
		q.Repeats = t.repeats.id
	}
	s.classCounts[t.class].requests++
	s.tries[t.id], s.byWire[t.wire], g.tries[id] = t, t, t
	if s.tap != nil {
		s.tap.Names(t.id, t.wire, t.key.key)
	}
	s.module.Request(now, q)
}

// recognise finds the try that this one repeats. It complains of an id that was used before, and of a key whose
// request had another body: its sender must not get the result of that.
func (s *Server) recognise(t *try, now time.Duration) error {
	number, err := strconv.ParseUint(t.wire, 16, 64)
	if err != nil {
		return fmt.Errorf("field Request-Id: %w", err)
	}
	if t.routed == nil && (s.byWire[t.wire] != nil || !s.seen.add(number, now)) {
		return errors.New("field Request-Id is that of another try")
	}
	if !t.keyed {
		return nil
	}
	if t.repeats = s.keys.find(t, now); t.repeats != nil && t.repeats.sum != t.sum {
		return errors.New("field Once-Key is that of a request with another body")
	}
	return nil
}

// answer gives a try its final answer.
func (s *Server) answer(t *try, a gateway.Answer) {
	if t.answered {
		return
	}
	t.answered = true
	delete(t.from.tries, t.stream)
	class := &s.classCounts[t.class]
	switch {
	case a.Status == statusRefused:
		s.count.refused++
		class.refused++
	case a.Status < statusFailed: // members may answer with any status
		s.count.served++
		class.served++
	default:
		s.count.failed++
		class.failed++
	}
	t.from.answer(t.stream, a)
}

// drop forgets a try that is answered and does not run.
func (s *Server) drop(t *try) {
	if t.answered && t.state != running {
		delete(s.tries, t.id)
		delete(s.byWire, t.wire)
		t.body, t.from, t.routed = nil, nil, nil // a remembered key must not hold on to its connection
	}
}

// ran ends the run of a try.
func (s *Server) ran(wire string, end interpreter.End, result gateway.Answer) {
	t := s.byWire[wire]
	if t == nil || t.state != running {
		return
	}
	s.count.ended++
	switch end {
	case interpreter.EndOK:
		t.state, t.ended = done, s.clock.now
		if t.keyed {
			s.keys.store(t, result)
		}
		if t.keyed && t.once && s.journal != nil {
			s.journal.finish(t, result)
		}
		s.answer(t, result)
		s.finish(t, admission.OK, result)
	case interpreter.EndStopped:
		s.count.stopped++
		s.over(t, admission.Cancelled)
	case interpreter.EndRejected:
		s.count.errored++
		s.unclaim(t)
		s.over(t, admission.Moot)
	case interpreter.EndMoot:
		s.count.moot++
		s.over(t, admission.Moot)
	default:
		s.count.errored++
		s.over(t, admission.Errored)
	}
}

// unclaim has the key of a try be free for the request that it belongs to: nothing ran.
func (s *Server) unclaim(t *try) {
	s.keys.disclaim(t)
	if t.keyed && t.once && s.journal != nil {
		s.journal.free(t)
	}
}

// over ends a run that made no result. The answer that may still be owed is a failure: whether anything was
// done is not known.
func (s *Server) over(t *try, o admission.Outcome) {
	t.state = broken
	s.answer(t, gateway.Answer{Status: statusFailed})
	s.finish(t, o, gateway.Answer{})
}

// finish tells the module how a run ended, and then those that waited for it.
func (s *Server) finish(t *try, o admission.Outcome, result gateway.Answer) {
	s.module.Done(s.event(), t.id, o)
	waiters := t.waiters
	t.waiters = nil
	for _, w := range waiters {
		s.echoed(w, t.state == done, result)
	}
	s.drop(t)
}

// echo answers a repeat from the kept result of the try that was run.
func (s *Server) echo(t, source *try) {
	if source == nil || !source.stored {
		s.echoed(t, false, gateway.Answer{})
		return
	}
	s.echoed(t, true, source.result)
}

// echoed gives a repeat its outcome.
func (s *Server) echoed(t *try, ok bool, result gateway.Answer) {
	if t.answered {
		return
	}
	outcome := admission.Errored
	if ok {
		outcome = admission.OK
		s.count.reused++
		s.answer(t, result)
	} else {
		s.answer(t, gateway.Answer{Status: statusFailed})
	}
	s.module.Done(s.event(), t.id, outcome)
	s.drop(t)
}

// sorted returns tries in the order of reading.
func sorted[K comparable](tries map[K]*try) []*try {
	list := make([]*try, 0, len(tries))
	for _, t := range tries {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	return list
}
