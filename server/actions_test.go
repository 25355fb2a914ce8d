package server

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
)

// recordingSession is a session that records its responses.
type recordingSession struct{ answers []gateway.Response }

func (s *recordingSession) Feed([]byte) error { return nil }
func (s *recordingSession) Respond(_ gateway.StreamID, response gateway.Response) {
	s.answers = append(s.answers, response)
}
func (s *recordingSession) OpenRequests() int     { return 0 }
func (s *recordingSession) Close()                {}
func (s *recordingSession) ShouldClose() bool     { return false }
func (s *recordingSession) HasPartialInput() bool { return false }

// newServerWithAttempts returns the actions of a server without sockets, and the session that records its answers. The
// server has the given number of attempts of one request with an idempotency key.
func newServerWithAttempts(t *testing.T, attempts int) (actions, *recordingSession) {
	t.Helper()
	loop, err := eventloop.New(eventloop.Kernel{}, 5*time.Millisecond, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	session := &recordingSession{}
	site := testSite(t)
	server := &Server{
		log:           zap.NewNop(),
		loop:          loop,
		clock:         newClock(loop.Now()),
		site:          site,
		keys:          newIdempotencyTable(1<<20, 0),
		classCounters: make([]classCounters, len(site.ClassNames)),
		attempts:      newAttemptTable(newRecentIDs(time.Second, 1)),
	}
	backend := &interpreterBackend{server: server}
	backend.client = &interpreter.Client{Link: interpreter.NewLink(backend)}
	server.backend = backend
	conn := &gatewayConn{server: server, session: session, attempts: map[gateway.StreamID]*attempt{}}
	for i := range attempts {
		r := keyedAttempt(i+1, "k", time.Duration(i)*time.Second)
		r.conn, r.stream, r.RequestID, r.Runner = conn, gateway.StreamID(i+1), string(rune('a'+i)), backend
		server.attempts.add(r)
		conn.attempts[r.stream] = r
	}
	return actions{server}, session
}

// TestSecondRunPrevented checks that only the first of two attempts of one request runs, even if the module decides to
// run both.
func TestSecondRunPrevented(t *testing.T) {
	a, session := newServerWithAttempts(t, 2)
	a.Run(1)
	a.Run(2)
	if a.backend.OpenRuns() != 1 || a.counters.secondRunsPrevented != 1 || len(session.answers) != 1 || session.answers[0].Status != statusInternalError {
		t.Errorf("%d runs, answers %+v; want 1 run and one answer with status 500", a.backend.OpenRuns(), session.answers)
	}
	a.Run(1) // already running
	if a.backend.OpenRuns() != 1 || a.counters.secondRunsPrevented != 1 {
		t.Error("a second command to run the same attempt had an effect")
	}
}

// TestRejectionAfterRunPrevented checks that an attempt that is running and its retry fail if the module rejects them.
func TestRejectionAfterRunPrevented(t *testing.T) {
	a, session := newServerWithAttempts(t, 3)
	a.Reject(3, time.Second, false)
	a.Run(1)
	a.Reject(2, time.Second, false)
	a.Reject(1, time.Second, false)
	var got []int
	for _, answer := range session.answers {
		got = append(got, answer.Status)
	}
	if len(got) != 3 || got[0] != statusUnavailable || got[1] != statusInternalError || got[2] != statusInternalError || a.counters.rejectionsPrevented != 2 {
		t.Errorf("statuses %v, want 503, 500, 500", got)
	}
	a.Fail(1)
	a.Reject(3, 0, false)
	if len(session.answers) != 3 {
		t.Error("a request was answered twice")
	}
}
