package router

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/servertest"
)

// rounds is the number of rounds of TestRandomFaults; docs/design/routes.md has the results of 100.
var rounds = flag.Int("storms", 2, "the number of rounds of TestRandomFaults")

// faultRoutes are the routes of TestRandomFaults. Timeouts are short, so that a round makes many attempts at silent
// members.
const faultRoutes = `(capacity 16)
(class web (aim 1s) (deadline 4s) (effect by-method))
(class book (aim 1s) (deadline 4s) (effect keyed) (window 30s))
(pool app (method least-conn) MEMBERS (keepalive 4) (next error timeout invalid_header http_500)
  (send 80ms) (read 80ms) (connect 80ms))
(server (listen 0.0.0.0:0)
  (location prefix / (pool app) (class web) (fallback spare 500 502 504))
  (location prefix /book (pool app) (class book) (fallback spare 502 504))
  (location prefix /kept (pool app) (class web) (fallback sorry 500 502 504 (status 410)))
  (location named spare (pool spare) (class web))
  (location named sorry (return 503)))
(pool spare SPARE (read 80ms) (connect 80ms))`

// TestRandomFaults stops, slows down and restarts members, makes them send malformed responses, and reloads pools, all at
// random under a mixed load. No request may be lost, have two responses, or run twice if it must not.
func TestRandomFaults(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	totals := map[invariant.Outcome]int{}
	for round := range *rounds {
		start, protocol := startMember, "" // FastCGI and SCGI alternate
		if round%2 == 1 {
			start, protocol = startSCGIMember, "(protocol scgi)"
		}
		t.Run(fmt.Sprint(round, protocol), func(t *testing.T) {
			runFaultRound(t, rand.New(rand.NewPCG(seed, uint64(round))), totals, start, protocol)
		})
	}
	t.Logf("%d rounds: %d served, %d rejected, %d failed", *rounds, totals[invariant.Served], totals[invariant.Rejected], totals[invariant.Failed])
	if totals[invariant.Served] < 100**rounds {
		t.Errorf("%d requests served, want at least %d", totals[invariant.Served], 100**rounds)
	}
}

// runFaultRound runs one round of TestRandomFaults with members of one protocol and adds its outcomes to totals.
func runFaultRound(t *testing.T, rng *rand.Rand, totals map[invariant.Outcome]int,
	start func(testing.TB, string) *fake.Member, protocol string) {
	checker := invariant.New(30 * time.Second)
	var members []*fake.Member
	for _, name := range []string{"a", "b", "c", "d"} {
		m := start(t, name)
		m.OnRequest(func(params map[string]string) { checker.RecordRun(params["HTTP_X_TRY"]) })
		members = append(members, m)
	}
	spare := start(t, "spare")
	spare.OnRequest(func(params map[string]string) { checker.RecordRun(params["HTTP_X_TRY"]) })
	routesTo := func(chosen []*fake.Member) *routeconfig.Config {
		text := ""
		for _, m := range chosen {
			text += "(member " + m.Addr() + " (max-fails 3) (fail-timeout 200ms)) "
		}
		return parseRoutes(t, strings.NewReplacer("MEMBERS", protocol+text, "SPARE", protocol+"(member "+spare.Addr()+")").Replace(faultRoutes))
	}
	r, g := startRouter(t, routesTo(members))
	var callers sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan bool)
	for n := range 4 {
		conn := g
		if n > 0 {
			conn = servertest.Dial(t, listenAddr(r))
		}
		callerRand := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		callers.Add(1)
		go func() {
			defer callers.Done()
			counts := sendRequests(t, conn, checker, callerRand, n, stop)
			mu.Lock()
			defer mu.Unlock()
			for k, v := range counts {
				totals[k] += v
			}
		}()
	}
	injectFaults(rng, r, append(members, spare), members, routesTo)
	close(stop)
	callers.Wait()
	if b := checker.Violations(time.Now().Add(time.Minute)); len(b) > 0 {
		t.Errorf("%d invariant violations, the first: %s", len(b), b[0])
	}
}

// faultsPerRound is the number of faults, recoveries and reloads in one round.
const faultsPerRound = 60

// injectFaults changes the behavior of members and reloads routes while callers send requests.
func injectFaults(rng *rand.Rand, r *Router, all, members []*fake.Member, routesTo func([]*fake.Member) *routeconfig.Config) {
	down := map[*fake.Member]bool{}
	for range faultsPerRound {
		time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
		m := all[rng.IntN(len(all))]
		switch rng.IntN(6) {
		case 0:
			m.SetBehavior(fake.Behavior(rng.IntN(int(fake.NotReading)+1)), 0)
		case 1:
			m.SetBehavior(fake.Healthy, time.Duration(rng.IntN(60))*time.Millisecond)
		case 2:
			if !down[m] {
				m.Stop()
				down[m] = true
			}
		case 3:
			if down[m] && m.Start() == nil {
				delete(down, m)
			}
		case 4:
			r.Reload(routesTo(members[:1+rng.IntN(len(members))]))
		default:
			m.SetBehavior(fake.Healthy, 0)
		}
	}
}

// sendRequests sends requests of all kinds on one connection, four at a time, until stop is closed and at least 60 were
// sent. It returns the number of responses by outcome.
func sendRequests(t *testing.T, g *servertest.Gateway, checker *invariant.Checker, rng *rand.Rand, caller int, stop <-chan bool) map[invariant.Outcome]int {
	counts := map[invariant.Outcome]int{}
	open := map[uint16]string{}
	send := func(stream uint16, n int) {
		id := fmt.Sprintf("%d-%d", caller, n)
		attempt := invariant.Attempt{ID: id, Received: time.Now(), Deadline: time.Now().Add(4*time.Second + 500*time.Millisecond)}
		r := newRequest("/r", "")
		switch rng.IntN(4) {
		case 0:
			r, attempt.AtMostOnce = newRequest("/w", "w"+id), true
		case 2:
			r, attempt.AtMostOnce = newRequest("/kept", "k"+id), true
		case 1:
			attempt.Key, attempt.AtMostOnce = fmt.Sprintf("k%d-%d", caller, rng.IntN(40)), true
			r = newRequest("/book", "of "+attempt.Key).WithHeader("Once-Key", attempt.Key)
		}
		attempt.ExpectedBody = r.Path + " " + string(r.Body)
		checker.RecordSent(attempt)
		open[stream] = id
		g.Write(r.WithHeader("X-Try", id).Encode(stream))
	}
	const concurrency, minRequests = 4, 60
	n := 0
	for ; n < concurrency; n++ {
		send(uint16(n+1), n)
	}
	for len(open) > 0 {
		a, err := g.TryResponse(0)
		if err != nil {
			t.Errorf("caller %d: %v", caller, err)
			return counts
		}
		outcome, body := invariant.Failed, ""
		switch {
		case a.Status == 200:
			outcome = invariant.Served
			_, body, _ = strings.Cut(string(a.Body), " ") // removes the member's name
		case a.Status == 503:
			outcome = invariant.Rejected
		}
		counts[outcome]++
		checker.RecordAnswer(open[a.ID], outcome, body, time.Now())
		delete(open, a.ID)
		select {
		case <-stop:
			if n >= minRequests {
				continue
			}
		default:
		}
		send(a.ID, n)
		n++
	}
	return counts
}
