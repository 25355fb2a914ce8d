package server

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestCrossLink replaces the link while the notice of a run's end is unread on it, while a command is written but not
// read, and while a gauge query is open. Each run must start once, end once and be answered once.
func TestCrossLink(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	redirect := func(before func()) {
		t.Helper()
		moved := it.AddListener()
		cfg := *s.cfg
		cfg.Interpreter = netip.MustParseAddrPort(moved)
		onLoop(s, func() {
			before()
			s.reload(&cfg)
		})
	}
	g.Write(fake.NewReserve(1, "x").Encode(1))
	id := it.WaitRuns(1)[0].ID
	redirect(func() { it.EndRun(id, "OK", []byte("one")) })
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("end unread on the old link: %+v, want the result", a)
	}
	// The command is sent at the end of the round in which the request is read, so the link is replaced in the next round.
	g.Write(fake.NewReserve(2, "y").Encode(2))
	waitRound(s)
	redirect(func() {})
	it.EndRun(it.WaitRuns(2)[1].ID, "OK", []byte("two"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "two" {
		t.Errorf("command unread on the old link: %+v, want the result", a)
	}
	answered := make(chan bool, 1)
	redirect(func() { s.backend.QueryGauges(s.loop.Now(), func(_ []float64, ok bool) { answered <- ok }) })
	if <-answered {
		t.Error("a query on a replaced link succeeded")
	}
	g.Write(fake.NewReserve(2, "y").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "two" {
		t.Errorf("retry on the new link: %+v, want the result", a)
	}
	if runs := it.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v, want 2", runs)
	}
}

// TestCrossLinkDown has a request with an idempotency key reach its deadline while the link is down, so that the
// interpreter is never asked for its run. A retry must run once the link is up, because the first attempt never ran.
func TestCrossLinkDown(t *testing.T) {
	site := testSite(t)
	site.Admission.Classes[1].Deadline = 300 * time.Millisecond
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	it.RejectLinks(true)
	it.CutLink()
	servertest.WaitFor(t, "the loss of the link", func() (lost bool) {
		onLoop(s, func() { lost = !s.backend.IsReady() })
		return lost
	})
	g.Write(fake.NewReserve(1, "x").Encode(1))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("deadline with the link down: %+v, want status 500", a)
	}
	it.RejectLinks(false)
	servertest.WaitFor(t, "a new link", func() (isReady bool) {
		onLoop(s, func() { isReady = s.backend.IsReady() })
		return isReady
	})
	g.Write(fake.NewReserve(1, "x").WithHeader("Attempt-Again", "1").Encode(2))
	runs := it.WaitRuns(1)
	it.EndRun(runs[0].ID, "OK", []byte("result"))
	if a := g.WaitResponse(2); len(runs) != 1 || a.Status != 200 && a.Status != 500 { // 500 if the machine is slow
		t.Errorf("retry: %+v, runs %v; want 1 run and status 200 or 500", a, runs)
	}
}

// TestCrossRepeat has the server read a retry of a request with an idempotency key in the same round as the end of the
// first attempt, successful or failed, in either order of writing. The retry must be answered from the only run.
func TestCrossRepeat(t *testing.T) {
	for _, end := range []string{"OK", "ERROR"} {
		t.Run(end, func(t *testing.T) {
			s, it := startServer(t)
			first, second := servertest.Dial(t, s.cfg.Listen.String()), servertest.Dial(t, s.cfg.Listen.String())
			checkHealth(second, false)
			for n := range 20 { // the order in which epoll reports the two differs from round to round
				first.Write(fake.NewReserve(n, "x").Encode(1))
				id := it.WaitRuns(n + 1)[n].ID
				onLoop(s, func() {
					if n%2 == 0 {
						second.Write(fake.NewReserve(n, "x").WithHeader("Attempt-Again", "1").Encode(2))
						it.EndRun(id, end, []byte("result"))
					} else {
						it.EndRun(id, end, []byte("result"))
						second.Write(fake.NewReserve(n, "x").WithHeader("Attempt-Again", "1").Encode(2))
					}
				})
				want := map[string]int{"OK": 200, "ERROR": 500}[end]
				for g, id := range map[*servertest.Gateway]uint16{first: 1, second: 2} {
					if a := g.WaitResponse(id); a.Status != want || end == "OK" && string(a.Body) != "result" {
						t.Errorf("request %d, attempt %d: %+v, want the outcome of the run", n, id, a)
					}
				}
			}
			if runs := it.StartedRuns(); len(runs) != 20 {
				t.Errorf("%d runs of 20 requests, want one of each", len(runs))
			}
		})
	}
}

// TestCrossWindow sends retries whose Received-At is around the end of the window. None may run up to 50 ms after the
// end, because time limits on sockets are that much longer.
func TestCrossWindow(t *testing.T) {
	site := testSite(t)
	window := 700 * time.Millisecond
	site.Admission.Classes[1].KeyWindow = window
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	received := time.Now().Truncate(time.Millisecond)
	encodeAttempt := func(n int, after time.Duration) []byte {
		return fake.NewReserve(1, "x").WithHeader("Received-At", strconv.FormatInt(received.Add(after).UnixMilli(), 10)).Encode(uint16(n))
	}
	g.Write(encodeAttempt(1, 0))
	it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("result"))
	for n, after := range []time.Duration{0, window - time.Millisecond, window, window + time.Millisecond, window + 50*time.Millisecond} {
		g.Write(encodeAttempt(n+2, after))
		if a := g.WaitResponse(uint16(n + 2)); a.Status != 200 || string(a.Body) != "result" {
			t.Errorf("%v after the first: %+v, want its result", after, a)
		}
	}
	if runs := it.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v, want 1", runs)
	}
}
