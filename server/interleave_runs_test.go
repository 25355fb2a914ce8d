package server

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestCrossLink has the link replaced while the end of a run waits unread on it, while a command is written but not
// read, and while the gauges are asked for: each run begins once, ends once and is answered once.
func TestCrossLink(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	move := func(with func()) {
		t.Helper()
		moved := it.AddListener()
		cfg := *s.cfg
		cfg.Interpreter = netip.MustParseAddrPort(moved)
		onLoop(s, func() {
			with()
			s.reload(&cfg)
		})
	}
	g.Write(fake.NewReserve(1, "x").Encode(1))
	id := it.WaitRuns(1)[0].ID
	move(func() { it.EndRun(id, "OK", []byte("one")) })
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("end unread on the old link: %+v", a)
	}
	// The command goes out at the end of the round in which the request is read, so the link goes in the next.
	g.Write(fake.NewReserve(2, "y").Encode(2))
	waitRound(s)
	move(func() {})
	it.EndRun(it.WaitRuns(2)[1].ID, "OK", []byte("two"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "two" {
		t.Errorf("command on the old link: %+v", a)
	}
	asked := make(chan bool, 1)
	move(func() { s.backend.QueryGauges(s.loop.Now(), func(_ []float64, ok bool) { asked <- ok }) })
	if <-asked {
		t.Error("a question on a link that went was answered as if it had come through")
	}
	g.Write(fake.NewReserve(2, "y").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "two" {
		t.Errorf("repeat on the new link: %+v", a)
	}
	if runs := it.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestCrossLinkDown has a request with an idempotency key reach its deadline while the link is down, so that the
// interpreter was never asked for its run: a retry is run once the link is up, as the first attempt never ran.
func TestCrossLinkDown(t *testing.T) {
	site := testSite(t)
	site.Admission.Classes[1].Deadline = 300 * time.Millisecond
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	it.RejectLinks(true)
	it.CutLink()
	servertest.WaitFor(t, "the link to be lost", func() (lost bool) {
		onLoop(s, func() { lost = !s.backend.IsReady() })
		return lost
	})
	g.Write(fake.NewReserve(1, "x").Encode(1))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("due with the link down: %+v", a)
	}
	it.RejectLinks(false)
	servertest.WaitFor(t, "a new link", func() (stands bool) {
		onLoop(s, func() { stands = s.backend.IsReady() })
		return stands
	})
	g.Write(fake.NewReserve(1, "x").WithHeader("Attempt-Again", "1").Encode(2))
	runs := it.WaitRuns(1)
	it.EndRun(runs[0].ID, "OK", []byte("result"))
	if a := g.WaitResponse(2); len(runs) != 1 || a.Status != 200 && a.Status != 500 { // 500 where the machine is slow
		t.Errorf("a retry: %+v, runs %v", a, runs)
	}
}

// TestCrossRepeat has a retry of a request with an idempotency key read in one round with the end of the first attempt,
// whichever epoll reports first, and with its failure, and then once more: it is answered from the only run.
func TestCrossRepeat(t *testing.T) {
	for _, end := range []string{"OK", "ERROR"} {
		t.Run(end, func(t *testing.T) {
			s, it := startServer(t)
			first, second := servertest.Dial(t, s.cfg.Listen.String()), servertest.Dial(t, s.cfg.Listen.String())
			checkHealth(second, false)
			for n := range 20 { // the order in which epoll reports them differs from round to round
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
						t.Errorf("request %d, attempt %d: %+v", n, id, a)
					}
				}
			}
			if runs := it.StartedRuns(); len(runs) != 20 {
				t.Errorf("%d runs of 20 requests", len(runs))
			}
		})
	}
}

// TestCrossWindow has retries arrive at the end of the window, by their Received-At: up to the 50 ms that time limits
// on sockets are longer none is run.
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
			t.Errorf("%v after the first: %+v", after, a)
		}
	}
	if runs := it.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}
