package metrics

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/fake"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/router"
	"tillerusher/internal/servertest"
)

// TestMetrics checks that the metrics count a router's requests by pool and member, and that a router that has ended
// exports no metrics.
func TestMetrics(t *testing.T) {
	member, err := fake.NewMember("a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(member.Stop)
	routes, err := routeconfig.Parse("f", []byte("(class web (effect by-method)) (pool app (member "+member.Addr()+
		")) (server (listen 0.0.0.0:0) (location prefix / (pool app) (class web)))"))
	if err != nil {
		t.Fatal(err)
	}
	listenAddr := netip.MustParseAddrPort(servertest.FreeAddr(t))
	proxy, err := router.New(&router.Config{Name: "r", Listen: listenAddr, StopTimeout: time.Second, MemoryMB: 64, Sockets: 256,
		Routes: routes, Seed: 1}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- proxy.Run() }()
	g := servertest.Dial(t, listenAddr.String())
	for range 3 {
		g.Write(fake.Request{Method: "GET", Path: "/x"}.Encode(1))
		if a := g.WaitResponse(1); a.Status != 200 {
			t.Errorf("response %+v, want status 200", a)
		}
	}
	scrape := func() string {
		w := httptest.NewRecorder()
		Handler(proxy).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		text, err := io.ReadAll(w.Result().Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	text := scrape()
	for _, want := range []string{`tillerusher_route_member_tries_total{member="` + member.Addr() + `",pool="app"} 3`,
		`tillerusher_route_member_in{member="` + member.Addr() + `",pool="app"} 1`, "tillerusher_route_member_tries_total", "tillerusher_route_budget"} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %q:\n%s", want, text)
		}
	}
	proxy.Drain()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if text := scrape(); text != "" {
		t.Errorf("a router that has ended exports metrics:\n%s", text)
	}
}

// TestCounterMetric checks that metrics keep the names that dashboards use, even where the counter has another name in the
// log.
func TestCounterMetric(t *testing.T) {
	for counter, want := range map[string]string{
		"requests":             "all_requests_total",
		"rejected":             "all_refused_total",
		"replayed":             "all_reused_total",
		"runs_not_started":     "all_moot_total",
		"connections_rejected": "all_turned_away_total",
		"member_attempts":      "all_member_tries_total",
		"retry_decision_3":     "all_verdict_3_total",
	} {
		if got := counterMetric(counter); got != want {
			t.Errorf("metric of %s is %s, want %s", counter, got, want)
		}
	}
}
