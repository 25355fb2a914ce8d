package scenario

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// TestSameSeed runs a scenario with every kind of incident except LinkLoss twice, with a GOMAXPROCS of one and of four. It
// checks that the reports are identical byte for byte and that no rule is violated.
func TestSameSeed(t *testing.T) {
	s := Defaults()
	s.Name, s.Duration, s.Rate = "all", 12*time.Second, 900
	kinds := []IncidentKind{SlowInterpreter, Partition, ConfigReload, LoadSpike, MachinePause, SlowReaders, ConnectionResets,
		MalformedInput, ConnectionFlood, Crash, Restart}
	for n, kind := range kinds {
		at := time.Duration(n) * time.Second
		s.Incidents = append(s.Incidents, Incident{Kind: kind, At: at, Duration: time.Second, Server: n%3 + 1, Factor: 2})
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
			t.Errorf("%d violations, want none; the first: %s", r.ViolationCount, r.Violations[0])
		}
	}
	if texts[0] != texts[1] {
		t.Errorf("the reports of two runs with the same seed differ:\n%.2000s\n%.2000s", texts[0], texts[1])
	}
}

// TestLibrary runs the built-in scenarios with at most 10 servers. It checks that no rule is violated and that the
// expectations of each scenario are met.
func TestLibrary(t *testing.T) {
	list, err := Library()
	if err != nil {
		t.Fatal(err)
	}
	if len(list) < 15 {
		t.Errorf("%d built-in scenarios, want at least 15", len(list))
	}
	for _, s := range list {
		if s.Purpose == "" {
			t.Errorf("%s: the purpose is empty", s.Name)
		}
		if s.Servers > 10 {
			continue
		}
		r, err := Run(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if r.HasViolations() || len(r.UnmetExpectations) > 0 {
			t.Errorf("%s: violations %v, unmet expectations %v, %d unanswered attempts, want none", s.Name, r.Violations, r.UnmetExpectations,
				r.Unanswered)
		}
	}
}

// TestExplore runs 40 generated scenarios from a random seed on. `cataloguectl scenario explore` runs many more.
func TestExplore(t *testing.T) {
	first := rand.Uint64() >> 1
	t.Logf("first seed: %d", first)
	e, err := Explore(t.Context(), ExploreConfig{FirstSeed: first, Seeds: 40, MaxFindings: 1, Parallel: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range e.Findings {
		t.Errorf("seed %d: violations %v, %d unanswered attempts, want none; to repeat: cataloguectl scenario replay %d", f.Seed,
			f.Report.Violations, f.Report.Unanswered, f.Seed)
	}
	if e.Seeds == 0 || e.Served == 0 || e.Simulation.Kills == 0 || e.Simulation.Resets == 0 {
		t.Errorf("exploration %+v, want at least one seed, served attempt, kill and reset", e)
	}
}

// TestFirstAfterIdling guards against a run that is stopped as stalled because the server was idle before: a lookup arrives
// at a server that has been idle for some time, shortly before the server next reads the gauges. The server counted the
// idle time as time without progress.
func TestFirstAfterIdling(t *testing.T) {
	s := Generate(262)
	s.Cooldown = time.Second
	r, err := Run(s, 262)
	if err != nil || r.HasViolations() {
		t.Errorf("report %v, error %v, want no violations", r, err)
	}
}

// TestLostAfterAnswer breaks a connection with requests that wait for each other. The end of one request answered another
// one, which was then also counted as lost and reported to the admission module as cancelled.
func TestLostAfterAnswer(t *testing.T) {
	r, err := Run(Generate(346), 346)
	if err != nil || r.HasViolations() {
		t.Errorf("report %+v, error %v, want no violations", r, err)
	}
}

// TestScenarioText checks the text and the JSON that `cataloguectl scenario shrink` prints. Their names differ from those of
// the fields.
func TestScenarioText(t *testing.T) {
	s := Defaults()
	s.Name, s.Purpose, s.Cooldown, s.MaxOpenFiles = "x", "y", 28*time.Second, 384
	s.Incidents = []Incident{{At: time.Second, Duration: 500 * time.Millisecond, Kind: LinkLoss, Server: 2, Factor: 1.5}, {Kind: Crash}}
	const text = "{Name:x Teaches:y Length:20s Calm:28s Servers:3 Cores:2 Work:4ms Rate:600 Keyed:0.2 Gateways:4 Tries:3 Heeds:1 Pause:100ms " +
		"Repeats:0.05 Hedges:0 Aborts:0 Files:384 Net:{Delay:50µs Jitter:150µs Partial:0.05 Lost:0.01 Doubled:0.01} " +
		"Incidents:[{At:1s For:500ms Kind:cut Server:2 Times:1.5 Apart:0s} {At:0s For:0s Kind:death Server:0 Times:0 Apart:0s}] " +
		"Expect:{Share:0 Recovered:0s}}"
	if got := s.String(); got != text {
		t.Errorf("got text %s\nwant %s", got, text)
	}
	const encoded = `{"Name":"x","Teaches":"y","Length":20000000000,"Calm":28000000000,"Servers":3,"Cores":2,"Work":4000000,"Rate":600,` +
		`"Keyed":0.2,"Gateways":4,"Tries":3,"Heeds":1,"Pause":100000000,"Repeats":0.05,"Hedges":0,"Aborts":0,"Files":384,` +
		`"Net":{"Delay":50000,"Jitter":150000,"Partial":0.05,"Lost":0.01,"Doubled":0.01},` +
		`"Incidents":[{"At":1000000000,"For":500000000,"Kind":"cut","Server":2,"Times":1.5,"Apart":0},` +
		`{"At":0,"For":0,"Kind":"death","Server":0,"Times":0,"Apart":0}],"Expect":{"Share":0,"Recovered":0}}`
	if got, err := json.Marshal(s); err != nil || string(got) != encoded {
		t.Errorf("got JSON %s, error %v\nwant %s", got, err, encoded)
	}
}

// FuzzParse parses any text as a scenario. Parse returns an error, or a scenario that can be run: it has a name, a server, a
// positive rate and a positive duration.
func FuzzParse(f *testing.F) {
	f.Add("(name x) (servers 2) (incident death (at 1s) (server 2))")
	f.Add("(name x) (incident fire)")
	f.Add("(name x) (rate 0)")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("x.sexp", []byte(text))
		if err == nil && (s.Servers < 1 || !(s.Rate > 0) || s.Duration <= 0 || s.Name == "") {
			t.Errorf("Parse accepted %+v, want a name and a positive number of servers, rate and duration", s)
		}
	})
}
