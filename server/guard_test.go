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
type quiet struct{ answers []gateway.Answer }

func (q *quiet) Feed([]byte) error                         { return nil }
func (q *quiet) Answer(_ gateway.Stream, a gateway.Answer) { q.answers = append(q.answers, a) }
func (q *quiet) Open() int                                 { return 0 }
func (q *quiet) Close()                                    {}
func (q *quiet) Finished() bool                            { return false }
func (q *quiet) Unfinished() bool                          { return false }

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
	s := &Server{log: zap.NewNop(), loop: l, clock: newClock(l.Now()), told: told, keys: newKeyTable(1<<20, 0),
		classCounts: make([]classCounters, len(told.Classes)),
		tries:       map[admission.RequestID]*try{}, byWire: map[string]*try{}}
	s.link = interpreterBackend{&interpreter.Dialer{Link: interpreter.NewLink(s)}, s.told}
	g := &gatewayConn{server: s, session: session, tries: map[gateway.Stream]*try{}}
	for i := range tries {
		r := keyedTry(i+1, "k", time.Duration(i)*time.Second)
		r.from, r.stream, r.wire = g, gateway.Stream(i+1), string(rune('a'+i))
		s.tries[r.id], s.byWire[r.wire], g.tries[r.stream] = r, r, r
	}
	return actions{s}, session
}

// TestSecondRunPrevented has a decision to run another try of a request that ran: the rule stands above it.
func TestSecondRunPrevented(t *testing.T) {
	a, session := guarded(t, 2)
	a.Run(1)
	a.Run(2)
	if a.link.Runs() != 1 || a.count.ranTwice != 1 || len(session.answers) != 1 || session.answers[0].Status != statusFailed {
		t.Errorf("%d runs, answers %+v", a.link.Runs(), session.answers)
	}
	a.Run(1) // it runs already
	if a.link.Runs() != 1 || a.count.ranTwice != 1 {
		t.Error("a second command to run the same try had an effect")
	}
}

// TestRefusalAfterRunPrevented has decisions to refuse a try that runs, and a further try of its request.
func TestRefusalAfterRunPrevented(t *testing.T) {
	a, session := guarded(t, 3)
	a.Refuse(3, time.Second, false)
	a.Run(1)
	a.Refuse(2, time.Second, false)
	a.Refuse(1, time.Second, false)
	var got []int
	for _, answer := range session.answers {
		got = append(got, answer.Status)
	}
	if len(got) != 3 || got[0] != statusRefused || got[1] != statusFailed || got[2] != statusFailed || a.count.refusedRan != 2 {
		t.Errorf("answers %v", got)
	}
	a.Fail(1)
	a.Refuse(3, 0, false)
	if len(session.answers) != 3 {
		t.Error("a request was answered twice")
	}
}
