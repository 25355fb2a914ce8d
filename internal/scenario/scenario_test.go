package scenario

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// TestSameSeed plays a day with every kind of incident twice, on one processor and on four: the reports are the same, byte for byte, and no rule is broken.
func TestSameSeed(t *testing.T) {
	s := Defaults()
	s.Name, s.Duration, s.Rate = "all", 12*time.Second, 900
	for n, kind := range []IncidentKind{SlowInterpreter, Partition, ConfigReload, LoadSpike, MachinePause, SlowReaders, ConnectionResets, MalformedInput, ConnectionFlood, Crash, Restart} {
		s.Incidents = append(s.Incidents, Incident{Kind: kind, At: time.Duration(n) * time.Second, Duration: time.Second, Server: n%3 + 1, Factor: 2})
	}
	var texts [2]string
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for n := range texts {
		runtime.GOMAXPROCS(1 + 3*n)
		r, err := Run(&s, 7)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if texts[n] = string(text); n == 0 {
			t.Logf("%.3000s", text)
		}
		if len(r.Violations) > 0 {
			t.Errorf("%d rules were broken, the first: %s", r.ViolationCount, r.Violations[0])
		}
	}
	if texts[0] != texts[1] {
		t.Errorf("two days of one seed differ:\n%.2000s\n%.2000s", texts[0], texts[1])
	}
}

// TestLibrary plays the scenarios that ship with the kit, the largest left out: no rule is broken, and what each expects holds.
func TestLibrary(t *testing.T) {
	list, err := Library()
	if err != nil {
		t.Fatal(err)
	}
	if len(list) < 15 {
		t.Errorf("%d scenarios", len(list))
	}
	for _, s := range list {
		if s.Purpose == "" {
			t.Errorf("%s teaches nothing", s.Name)
		}
		if s.Servers > 10 {
			continue
		}
		r, err := Run(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if r.HasViolations() || len(r.UnmetExpectations) > 0 {
			t.Errorf("%s: %v %v, %d unanswered", s.Name, r.Violations, r.UnmetExpectations, r.Unanswered)
		}
	}
}

// TestHunt plays days that seeds draw; `cataloguectl rehearse hunt` plays many more.
func TestHunt(t *testing.T) {
	first := rand.Uint64() >> 1
	t.Logf("from seed %d", first)
	h, err := Explore(t.Context(), first, 40, 1, 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range h.Findings {
		t.Errorf("seed %d: %v, %d unanswered; again: cataloguectl rehearse replay %d", f.Seed, f.Report.Violations, f.Report.Unanswered, f.Seed)
	}
	if h.Seeds == 0 || h.Served == 0 || h.Simulation.Kills == 0 || h.Simulation.Resets == 0 {
		t.Errorf("nothing happened: %+v", h)
	}
}

// TestFirstAfterIdling has a lookup come to a server that had nothing to do for a while, shortly before its next look at the
// gauges: the time that nothing ran for counted as time without progress, and the run was stopped for a stall.
func TestFirstAfterIdling(t *testing.T) {
	s := Generate(262)
	s.Cooldown = time.Second
	r, err := Run(s, 262)
	if err != nil || r.HasViolations() {
		t.Errorf("%v, %v", r, err)
	}
}

// TestLostAfterAnswer has a connection break whose requests wait for each other: the end of one answered another, which was then
// counted as lost as well, and told to the module as gone.
func TestLostAfterAnswer(t *testing.T) {
	r, err := Run(Generate(346), 346)
	if err != nil || r.HasViolations() {
		t.Errorf("%+v, %v", r, err)
	}
}

// FuzzParse reads any text as a scenario: it is taken or named, and what is taken can be played.
func FuzzParse(f *testing.F) {
	f.Add("(name x) (servers 2) (incident death (at 1s) (server 2))")
	f.Add("(name x) (incident fire)")
	f.Add("(name x) (rate 0)")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("x.sexp", []byte(text))
		if err == nil && (s.Servers < 1 || !(s.Rate > 0) || s.Duration <= 0 || s.Name == "") {
			t.Errorf("%+v", s)
		}
	})
}
