package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// smallExperiment is an experiment of short runs.
const smallExperiment = `(name small)
(world (for 3s) (servers (n 2) (cores 2)) (load 0.8))
(policies module line) (seeds 2)
(sweep (how grid) (vary load 0.5 1.1 3) (vary slow.part 0 0.5 2))`

// mustParse parses an experiment and fails the test on an error.
func mustParse(t testing.TB, text string) *Experiment {
	t.Helper()
	e, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// runTo runs an experiment into a file and returns the file's content.
func runTo(t testing.TB, e *Experiment, path string, workers int) []byte {
	t.Helper()
	if err := Run(context.Background(), e, path, workers, nil); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestResume interrupts a run anywhere, also in the middle of a line, and resumes it: the file is the same in the end, with any
// number of workers.
func TestResume(t *testing.T) {
	e, dir := mustParse(t, smallExperiment), t.TempDir()
	want := runTo(t, e, filepath.Join(dir, "whole"), 1)
	if lines := bytes.Count(want, []byte{'\n'}); lines != 1+3*2*2*2 {
		t.Fatalf("%d lines", lines)
	}
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range 6 {
		path := filepath.Join(dir, fmt.Sprint("cut", i))
		if err := os.WriteFile(path, want[:rng.IntN(len(want)+1)], 0o600); err != nil {
			t.Fatal(err)
		}
		if got := runTo(t, e, path, 1+rng.IntN(8)); !bytes.Equal(got, want) {
			t.Errorf("cut %d: the file is another", i)
		}
	}
	other := mustParse(t, strings.Replace(smallExperiment, "1.1", "1.2", 1))
	if err := Run(context.Background(), other, filepath.Join(dir, "whole"), 1, nil); !errors.Is(err, ErrPlanMismatch) {
		t.Errorf("the results of another plan: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	err := Run(ctx, e, filepath.Join(dir, "stopped"), 2, func(done, _ int) {
		if done == 3 {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("stopped: %v", err)
	}
	if got := runTo(t, e, filepath.Join(dir, "stopped"), 3); !bytes.Equal(got, want) {
		t.Error("a run that was stopped leaves another file")
	}
}

// TestPlanChecksum pins the checksum of plans: results files that were written before must still be recognized.
func TestPlanChecksum(t *testing.T) {
	for text, want := range map[string]string{
		smallExperiment: "d1469f2f01c5b17d",
		`(days (count 2) (from 3)) (policies module codel) (seeds 1)
(sweep (how grid) (vary jump.size 1 2 2) (vary tries 1 4 2))`: "0f1c2a63635c390d",
	} {
		jobs, err := mustParse(t, text).Plan()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := planChecksum(jobs); got != want || err != nil {
			t.Errorf("checksum %s, %v, want %s of\n%s", got, err, want, text)
		}
	}
}

// TestInfeasible checks that a configuration that is not feasible is reported in its row, and that the others are run.
func TestInfeasible(t *testing.T) {
	e := mustParse(t, `(world (for 2s) (servers (n 2) (cores 1)) (load 0.5)) (seeds 1)
(sweep (vary skew 0.5 1.5 2))`)
	path := filepath.Join(t.TempDir(), "r")
	runTo(t, e, path, 2)
	r, err := ReadResults(path)
	if err != nil || len(r.Rows) != 2 {
		t.Fatalf("%v, %+v", err, r)
	}
	if !strings.Contains(r.Rows[0].Error, "skew of 0.5") || r.Rows[1].Error != "" || r.Rows[1].Measures["share"] == 0 {
		t.Errorf("rows %+v", r.Rows)
	}
}

// TestCompare checks that a difference is found if there is one, and none if a policy is compared with itself.
func TestCompare(t *testing.T) {
	results := &Results{}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 40 {
		base := rng.Float64()
		for policy, v := range map[string]float64{"a": base + 0.05, "b": base + 0.02*rng.NormFloat64(), "c": base + 0.02*rng.NormFloat64()} {
			results.Rows = append(results.Rows, Row{Point: i, Policy: policy, Seed: 1, Measures: map[string]float64{"g": v}})
		}
	}
	for _, c := range []struct {
		a, b string
		seen bool
	}{{"a", "b", true}, {"b", "a", true}, {"a", "a", false}, {"b", "c", false}} {
		d, err := results.Compare("g", "", c.a, c.b)
		if err != nil || d[0].Pairs != 40 || d[0].IsSignificant() != c.seen || strings.Contains(d[0].String(), "no difference seen") == c.seen {
			t.Errorf("%s and %s: %v, %v", c.a, c.b, d, err)
		}
	}
	if _, err := results.Compare("sepia", "", "a", "b"); err == nil {
		t.Error("a measure that there is not")
	}
	if _, err := results.Compare("g", "load", "a", "b"); err == nil {
		t.Error("a variable that was not varied")
	}
}

// TestSweeps checks that each method covers the ranges, and that the same seed draws the same points.
func TestSweeps(t *testing.T) {
	for how, count := range map[string]int{"grid": 12, "random": 40, "latin": 40} {
		text := fmt.Sprintf("(sweep (how %s) (count 40) (vary load 0.5 1 4) (vary jump.size 1 3 3))", how)
		e := mustParse(t, text)
		points, err := e.Sweep.drawPoints()
		again, _ := mustParse(t, text).Sweep.drawPoints()
		if err != nil || len(points) != count || !reflect.DeepEqual(points, again) {
			t.Fatalf("%s: %d points, %v", how, len(points), err)
		}
		strata := map[int]bool{}
		for _, p := range points {
			if p[0] < 0.5 || p[0] > 1 || p[1] < 1 || p[1] > 3 {
				t.Errorf("%s: point %v", how, p)
			}
			strata[int((p[0]-0.5)/0.5*39.9999)] = true
		}
		if how == "latin" && len(strata) < 39 {
			t.Errorf("%d of 40 strata are met", len(strata))
		}
	}
}

// TestExplore checks that an exploration finds where a policy does badly, and that it can be repeated.
func TestExplore(t *testing.T) {
	experiment := mustParse(t, `(world (for 3s) (servers (n 2) (cores 2))) (seeds 2) (sweep (vary load 0.3 1.5) (vary tries 1 4))`)
	exploration := Exploration{Policy: "nolimit", Measure: "share", Rounds: 4, PointsPerRound: 10, Seed: 3}
	candidates, err := experiment.Explore(context.Background(), exploration, nil)
	if err != nil || len(candidates) != 40 {
		t.Fatalf("%d finds, %v", len(candidates), err)
	}
	if candidates[0].Values["load"] < 1 || candidates[0].Score >= candidates[39].Score {
		t.Errorf("the worst is %+v, the best %+v", candidates[0], candidates[39])
	}
	again, _ := experiment.Explore(context.Background(), exploration, nil)
	if !reflect.DeepEqual(again, candidates) {
		t.Error("the same hunt finds other points")
	}
	text := experiment.FormatCandidate("found", "(world (for 3s) (servers (n 2) (cores 2)))", candidates[0], []string{"module", "nolimit"})
	back := mustParse(t, text)
	jobs, err := back.Plan()
	if err != nil || len(jobs) != 4 || jobs[0].Values["load"] != candidates[0].Values["load"] {
		t.Errorf("%v: the case\n%s", err, text)
	}
}

// TestParseErrors checks that errors name the place and what was expected.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"(wurld)":                             "f:1:1: found (wurld ...), want",
		"(policies best)":                     "f:1:11: found best, want a policy of [module",
		"(policies line line)":                "policy line is given twice",
		"(policies)":                          "has none",
		"(seeds 0)":                           "found 0 in (seeds ...), want an integer from 1",
		"(sweep)":                             "(sweep ...) varies nothing",
		"(sweep (vary colour 1 2))":           "f:1:8: nothing is called \"colour\" that could be varied",
		"(sweep (vary jump.colour 1 2))":      "nothing is called \"jump.colour\"",
		"(sweep (vary load 2 1))":             "goes from 2 to 1",
		"(sweep (vary load 1))":               "want (vary NAME FROM TO)",
		"(sweep (vary load a b))":             "f:1:19: found a, want a number",
		"(sweep (how latin) (vary load 1 2))": "(sweep ...) by latin needs (count N)",
		"(world (load much))":                 "found much in (load ...), want a number",
		"(world (for 3))":                     "found 3 in (for ...), want a time with its unit",
		"(world (day sunny))":                 "no kind of day is called \"sunny\"",
		"(world (incident flood))":            "no incident is called \"flood\"",
		"(world (gateways (choice best)))":    "found best in (choice ...), want round, least",
		"(world (class a (dist odd)))":        "found odd in (dist ...), want constant, exponential",
		"(days (kinds sunny))":                "found sunny, want a kind of day",
		"(days)":                              "(days ...) without (count N)",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}

// FuzzParse reads any text without a panic.
func FuzzParse(f *testing.F) {
	f.Add(smallExperiment)
	f.Add("(days (count 3) (kinds storm)) (world (day rough) (number 3) (incident pause (part 0.1)))")
	f.Fuzz(func(t *testing.T, text string) {
		if e, err := Parse("f", []byte(text)); err == nil && len(e.Sweep.Variables) < 3 && e.Sweep.Count < 100 && e.Workloads.Count < 10 && e.Seeds < 10 {
			e.Plan()
		}
	})
}

// FuzzResults reads any file of results without a panic.
func FuzzResults(f *testing.F) {
	f.Add([]byte("{\"experiment\":\"a\",\"plan\":\"b\",\"runs\":1}\n{\"run\":0}\n{\"ru"))
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := parseResults("f", bytes.NewReader(text)); err == nil {
			r.Groups("g", "")
		}
	})
}
