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

// smallExperiment is an experiment with short runs.
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

// mustRun runs an experiment and returns the content of the results file at path. It fails the test on an error.
func mustRun(t testing.TB, e *Experiment, path string, workers int) []byte {
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

// TestResume checks that an experiment resumes from a file that was cut anywhere, also in the middle of a line, and after a
// canceled run. The final file must be the same with any number of workers. A file of another plan must be rejected.
func TestResume(t *testing.T) {
	e, dir := mustParse(t, smallExperiment), t.TempDir()
	want := mustRun(t, e, filepath.Join(dir, "whole"), 1)
	if lines := bytes.Count(want, []byte{'\n'}); lines != 1+3*2*2*2 {
		t.Fatalf("the results have %d lines, want a header and 24 rows", lines)
	}
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range 6 {
		path := filepath.Join(dir, fmt.Sprint("cut", i))
		if err := os.WriteFile(path, want[:rng.IntN(len(want)+1)], 0o600); err != nil {
			t.Fatal(err)
		}
		if got := mustRun(t, e, path, 1+rng.IntN(8)); !bytes.Equal(got, want) {
			t.Errorf("cut %d: the resumed file differs from an uninterrupted one", i)
		}
	}
	other := mustParse(t, strings.Replace(smallExperiment, "1.1", "1.2", 1))
	if err := Run(context.Background(), other, filepath.Join(dir, "whole"), 1, nil); !errors.Is(err, ErrPlanMismatch) {
		t.Errorf("run into the results of another plan: got error %v, want ErrPlanMismatch", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	err := Run(ctx, e, filepath.Join(dir, "stopped"), 2, func(done, _ int) {
		if done == 3 {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("canceled run: got error %v, want context.Canceled", err)
	}
	if got := mustRun(t, e, filepath.Join(dir, "stopped"), 3); !bytes.Equal(got, want) {
		t.Error("the file resumed after a canceled run differs from an uninterrupted one")
	}
}

// TestPlanChecksum checks the checksums of two plans against fixed values, so that existing results files are still
// recognized.
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
			t.Errorf("got checksum %s, error %v, want %s for\n%s", got, err, want, text)
		}
	}
}

// TestInfeasible checks that an infeasible configuration is reported in its row, and that the other runs are made.
func TestInfeasible(t *testing.T) {
	e := mustParse(t, `(world (for 2s) (servers (n 2) (cores 1)) (load 0.5)) (seeds 1)
(sweep (vary skew 0.5 1.5 2))`)
	path := filepath.Join(t.TempDir(), "r")
	mustRun(t, e, path, 2)
	r, err := ReadResults(path)
	if err != nil || len(r.Rows) != 2 {
		t.Fatalf("got error %v and results %+v, want 2 rows", err, r)
	}
	if !strings.Contains(r.Rows[0].Error, "skew of 0.5") || r.Rows[1].Error != "" || r.Rows[1].Measures["share"] == 0 {
		t.Errorf("got rows %+v, want an error about the skew in the first row and measures in the second", r.Rows)
	}
}

// TestCompare checks that a difference is significant if there is one. It must not be significant if a policy is compared
// with itself, or with one that differs from it only by noise.
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
		a, b        string
		significant bool
	}{{"a", "b", true}, {"b", "a", true}, {"a", "a", false}, {"b", "c", false}} {
		d, err := results.Compare("g", "", c.a, c.b)
		if err != nil || d[0].Pairs != 40 || d[0].IsSignificant() != c.significant ||
			strings.Contains(d[0].String(), ": not significant") == c.significant {
			t.Errorf("%s and %s: got %v and error %v", c.a, c.b, d, err)
		}
	}
	if _, err := results.Compare("sepia", "", "a", "b"); err == nil {
		t.Error("no error for an unknown measure")
	}
	if _, err := results.Compare("g", "load", "a", "b"); err == nil {
		t.Error("no error for a variable that was not varied")
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
			t.Fatalf("%s: got %d points and error %v, or other points from the same seed", how, len(points), err)
		}
		strata := map[int]bool{}
		for _, p := range points {
			if p[0] < 0.5 || p[0] > 1 || p[1] < 1 || p[1] > 3 {
				t.Errorf("%s: point %v is outside the ranges", how, p)
			}
			strata[int((p[0]-0.5)/0.5*39.9999)] = true
		}
		if how == "latin" && len(strata) < 39 {
			t.Errorf("the points cover %d of 40 strata, want at least 39", len(strata))
		}
	}
}

// TestExplore checks that an exploration finds a point at which a policy does badly, that the same exploration finds the
// same points, and that a formatted candidate is an experiment with that point.
func TestExplore(t *testing.T) {
	experiment := mustParse(t, `(world (for 3s) (servers (n 2) (cores 2))) (seeds 2) (sweep (vary load 0.3 1.5) (vary tries 1 4))`)
	exploration := Exploration{Policy: "nolimit", Measure: "share", Rounds: 4, PointsPerRound: 10, Seed: 3}
	candidates, err := experiment.Explore(context.Background(), exploration, nil)
	if err != nil || len(candidates) != 40 {
		t.Fatalf("got %d candidates and error %v, want 40", len(candidates), err)
	}
	if candidates[0].Values["load"] < 1 || candidates[0].Score >= candidates[39].Score {
		t.Errorf("the worst is %+v, the best %+v, want a load of at least 1 and a lower score for the worst", candidates[0], candidates[39])
	}
	again, _ := experiment.Explore(context.Background(), exploration, nil)
	if !reflect.DeepEqual(again, candidates) {
		t.Error("the same exploration found other points")
	}
	text := experiment.FormatCandidate("found", "(world (for 3s) (servers (n 2) (cores 2)))", candidates[0], []string{"module", "nolimit"})
	back := mustParse(t, text)
	jobs, err := back.Plan()
	if err != nil || len(jobs) != 4 || jobs[0].Values["load"] != candidates[0].Values["load"] {
		t.Errorf("error %v or another plan of the formatted candidate\n%s", err, text)
	}
}

// TestParseErrors checks that errors start with the position and name what was expected.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"(wurld)":                             "f:1:1: found (wurld ...), want",
		"(policies best)":                     "f:1:11: found best, want one of the policies [module",
		"(policies line line)":                "policy line is given twice",
		"(policies)":                          "(policies ...) is empty",
		"(seeds 0)":                           "found 0 in (seeds ...), want an integer from 1",
		"(sweep)":                             "(sweep ...) has no variables",
		"(sweep (vary colour 1 2))":           "f:1:8: no variable is called \"colour\", want one of",
		"(sweep (vary jump.colour 1 2))":      "no variable is called \"jump.colour\"",
		"(sweep (vary load 2 1))":             "goes from 2 to 1",
		"(sweep (vary load 1))":               "want (vary NAME FROM TO)",
		"(sweep (vary load a b))":             "f:1:19: found a, want a number",
		"(sweep (how latin) (vary load 1 2))": "(sweep (how latin) ...) needs (count N)",
		"(world (load much))":                 "found much in (load ...), want a number",
		"(world (for 3))":                     "found 3 in (for ...), want a time with its unit",
		"(world (day sunny))":                 "no kind of day is called \"sunny\"",
		"(world (incident flood))":            "f:1:8: unknown incident kind \"flood\", want one of",
		"(world (gateways (choice best)))":    "found best in (choice ...), want round, least",
		"(world (class a (dist odd)))":        "found odd in (dist ...), want constant, exponential",
		"(days (kinds sunny))":                "found sunny, want one of the kinds of day",
		"(days)":                              "(days ...) needs (count N)",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
}

// FuzzParse checks that no text makes Parse or Plan panic.
func FuzzParse(f *testing.F) {
	f.Add(smallExperiment)
	f.Add("(days (count 3) (kinds storm)) (world (day rough) (number 3) (incident pause (part 0.1)))")
	f.Fuzz(func(t *testing.T, text string) {
		if e, err := Parse("f", []byte(text)); err == nil && len(e.Sweep.Variables) < 3 && e.Sweep.Count < 100 && e.Workloads.Count < 10 && e.Seeds < 10 {
			e.Plan()
		}
	})
}

// FuzzResults checks that no content of a results file makes parseResults or Groups panic.
func FuzzResults(f *testing.F) {
	f.Add([]byte("{\"experiment\":\"a\",\"plan\":\"b\",\"runs\":1}\n{\"run\":0}\n{\"ru"))
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := parseResults("f", bytes.NewReader(text)); err == nil {
			r.Groups("g", "")
		}
	})
}
