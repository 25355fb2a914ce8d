package server

import (
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// newRead returns a request that reads a resource.
func newRead(resource, body string) fake.Request {
	return fake.NewLookup(body).WithHeader("Resource-Key", resource)
}

// TestSharedReads reads one resource at a site where the result of a read may answer other reads. While a result is
// fresh, it answers requests with the same body, however the resource is written. It must not answer a request with
// another body, whose sender would get a result that no run made for it (seen 63 times in one simulated day).
func TestSharedReads(t *testing.T) {
	site := testSite(t)
	site.Admission.ResultFreshness = time.Hour
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(newRead("00aa", "fits what").Encode(1))
	it.WaitRuns(1)
	g.Write(newRead("00aa", "costs what").Encode(2), newRead("00AA", "fits what").Encode(3))
	runs := it.WaitRuns(2)
	for i, body := range []string{"fits what", "costs what"} {
		if string(runs[i].Body) != body {
			t.Fatalf("run %d has the body %q, want %q", i, runs[i].Body, body)
		}
		it.EndRun(runs[i].ID, "OK", []byte(body+"!"))
	}
	g.Write(newRead("00aa", "costs what").Encode(4))
	for id, want := range []string{1: "fits what!", 2: "costs what!", 3: "fits what!", 4: "costs what!"} {
		if want == "" {
			continue
		}
		if a := g.WaitResponse(uint16(id)); a.Status != 200 || string(a.Body) != want {
			t.Errorf("request %d: %d %q, want %q", id, a.Status, a.Body, want)
		}
	}
	onLoop(s, func() {
		if s.counters.replayed != 2 {
			t.Errorf("%d answers replayed, want 2", s.counters.replayed)
		}
	})
}

// TestStaleReads reads a resource again after its result became stale, and after a run without a result. Both reads run.
func TestStaleReads(t *testing.T) {
	site := testSite(t)
	site.Admission.ResultFreshness = time.Nanosecond
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	for i, end := range []string{"OK", "ERROR", "OK"} {
		g.Write(newRead("00aa", "fits what").Encode(uint16(i + 1)))
		it.EndRun(it.WaitRuns(i + 1)[i].ID, end, []byte("x"))
		if a := g.WaitResponse(uint16(i + 1)); (a.Status == 200) != (end == "OK") {
			t.Errorf("request %d: %+v after a run that ended with %s", i+1, a, end)
		}
	}
	if n := len(it.StartedRuns()); n != 3 {
		t.Errorf("%d runs, want 3", n)
	}
}
