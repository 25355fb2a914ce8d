package server

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
)

// quiet is a session that notes what it is told to answer.
type quiet struct{ answers []gateway.Response }

func (q *quiet) Feed([]byte) error                              { return nil }
func (q *quiet) Respond(_ gateway.StreamID, a gateway.Response) { q.answers = append(q.answers, a) }
func (q *quiet) OpenRequests() int                              { return 0 }
func (q *quiet) Close()                                         {}
func (q *quiet) ShouldClose() bool                              { return false }
func (q *quiet) HasPartialInput() bool                          { return false }

// guarded is a server without sockets that has taken in keyed tries of one request.
func guarded(t *testing.T, tries int) (actions, *quiet) {
	t.Helper()
	l, err := eventloop.New(eventloop.Kernel{}, 5*time.Millisecond, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	session := &quiet{}
	told := testTold(t)
	s := &Server{log: zap.NewNop(), loop: l, clock: newClock(l.Now()), told: told, keys: newIdempotencyTable(1<<20, 0),
		classCounts: make([]classCounters, len(told.ClassNames)),
		attempts:    map[admission.RequestID]*attempt{}, byRequestID: map[string]*attempt{}}
	s.backend = interpreterBackend{&interpreter.Client{Link: interpreter.NewLink(s)}, s.told}
	g := &gatewayConn{server: s, session: session, attempts: map[gateway.StreamID]*attempt{}}
	for i := range tries {
		r := keyedTry(i+1, "k", time.Duration(i)*time.Second)
		r.conn, r.stream, r.requestID = g, gateway.StreamID(i+1), string(rune('a'+i))
		s.attempts[r.id], s.byRequestID[r.requestID], g.attempts[r.stream] = r, r, r
	}
	return actions{s}, session
}

// TestSecondRunPrevented has a decision to run another try of a request that ran: the rule stands above it.
func TestSecondRunPrevented(t *testing.T) {
	a, session := guarded(t, 2)
	a.Run(1)
	a.Run(2)
	if a.backend.OpenRuns() != 1 || a.counters.secondRunsPrevented != 1 || len(session.answers) != 1 || session.answers[0].Status != statusInternalError {
		t.Errorf("%d runs, answers %+v", a.backend.OpenRuns(), session.answers)
	}
	a.Run(1) // it runs already
	if a.backend.OpenRuns() != 1 || a.counters.secondRunsPrevented != 1 {
		t.Error("a second command to run the same try had an effect")
	}
}

// TestRefusalAfterRunPrevented has decisions to refuse a try that runs, and a further try of its request.
func TestRefusalAfterRunPrevented(t *testing.T) {
	a, session := guarded(t, 3)
	a.Reject(3, time.Second, false)
	a.Run(1)
	a.Reject(2, time.Second, false)
	a.Reject(1, time.Second, false)
	var got []int
	for _, answer := range session.answers {
		got = append(got, answer.Status)
	}
	if len(got) != 3 || got[0] != statusUnavailable || got[1] != statusInternalError || got[2] != statusInternalError || a.counters.rejectionsPrevented != 2 {
		t.Errorf("answers %v", got)
	}
	a.Fail(1)
	a.Reject(3, 0, false)
	if len(session.answers) != 3 {
		t.Error("a request was answered twice")
	}
}
