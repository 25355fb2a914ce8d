package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// replayTestdata is a directory of captures that were recorded in load tests of a real server.
const replayTestdata = "../../internal/replay/testdata/"

// runCommand runs a command line as the program does, and returns its exit status and output.
func runCommand(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	return execute(args, &out, &err), out.String(), err.String()
}

// writeDamagedCaptures writes two damaged copies of a capture, one with a flipped bit in its middle and one that is truncated, and
// returns their paths.
func writeDamagedCaptures(t *testing.T) (flipped, truncated string) {
	t.Helper()
	b, err := os.ReadFile(replayTestdata + "storm.capture")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	flipped, truncated = filepath.Join(dir, "flipped.capture"), filepath.Join(dir, "truncated.capture")
	if err := os.WriteFile(truncated, b[:len(b)*3/4], 0o600); err != nil {
		t.Fatal(err)
	}
	b[len(b)/2] ^= 4
	if err := os.WriteFile(flipped, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return flipped, truncated
}

// TestStatuses checks the exit status of commands and a part of their output. It uses the names of earlier versions, which are aliases,
// as well as the present ones.
func TestStatuses(t *testing.T) {
	flipped, truncated := writeDamagedCaptures(t)
	recorded, out := replayTestdata+"storm.capture", filepath.Join(t.TempDir(), "x.capture")
	results := filepath.Join(t.TempDir(), "small.results")
	for _, c := range []struct {
		args   string
		status int
		text   string
	}{
		{"--help", 0, "Exit status"},
		{"completion bash", 0, "bash completion"},
		{"rehearse list", 0, "rolling-deploy"},
		{"rehearse run one-round --page " + filepath.Join(t.TempDir(), "day.html"), 0, "share by second"},
		{"rehearse run nothing", 3, "no scenario"},
		{"rehearse replay 1", 0, "drawn, seed 1"},
		{"rehearse replay one", 2, "want a seed"},
		{"rehearse hunt --seeds 2", 0, "2 scenarios"},
		{"state cost --rounds 0", 2, "more than 0"},
		{"state serve --stall 2s --every 1s", 2, "want at least 0 and less than the stall interval of 1s"},
		{"capture info " + recorded, 0, "5417 records"},
		{"capture info " + flipped, 0, "checksum differs"},
		{"capture verify " + recorded, 0, "1 segments, 0 damaged or after a gap"},
		{"capture verify " + flipped, 1, "bytes at"},
		{"capture verify " + truncated, 1, "torn"},
		{"capture verify /nowhere", 3, "no such file"},
		{"capture verify main.go", 3, "not a capture"},
		{"capture verify", 2, "requires at least 1 arg"},
		{"capture cat --kind remark " + recorded, 0, "configuration reloaded"},
		{"capture cat --kind nonexistent " + recorded, 2, "nonexistent"},
		{"capture stats " + recorded, 0, "stock-reserve"},
		{"replay " + recorded, 0, "all replayed decisions match the recorded ones"},
		{"replay " + flipped, 1, "events after damaged parts were skipped"},
		{"replay --set cores=8 " + recorded, 0, "attempts have a different outcome"},
		{"replay --set cores=many " + recorded, 2, "setting cores=many"},
		{"explain #7 " + recorded, 0, "was read at"},
		{"explain 0123456789abcdef " + recorded, 3, "not in the capture"},
		{"explain 1s " + recorded, 0, "Decisions within"},
		{"explain yesterday " + recorded, 2, "is not a Request-Id, key, #number or time"},
		{"capture cut " + recorded + " --around #900 -o " + out, 0, "records over"},
		{"capture cut " + recorded + " --around #900 -o " + out, 3, "file exists"},
		{"capture shrink " + recorded + " --keep jam:1h -o " + out + "2", 1, "does not hold"},
		{"capture shrink " + recorded + " --keep nonexistent -o " + out + "2", 2, "want refused:ID"},
		{"config check testdata/routes.sexp", 0, "1 servers, 1 pools with 2 members, 1 classes"},
		{"config show testdata/routes.sexp", 0, "(member 127.0.0.1:9001 (weight 2))"},
		{"config check testdata/shop.conf", 3, "testdata/shop.conf:1:1: found #, want a form in parentheses"},
		{"config check /nowhere", 3, "/nowhere"},
		{"import nginx testdata/shop.conf", 0, "(method hash-consistent)"},
		{"import nginx testdata/shop.conf", 0, "(rewrite \"^/old(.*)$\" /new$1 last)"},
		{"import nginx testdata/shop.conf --strict", 1, "worker_processes auto: harmless"},
		{"import nginx testdata/shop.conf --explain /docs/a.txt", 0, "passed to the pool stock-2 as /docs/a.txt"},
		{"import nginx testdata/shop.conf --explain /old/a?b=c", 0, "makes it /new/a"},
		{"import nginx testdata/shop.conf --explain /docs", 0, "redirected to /docs/"},
		{"import nginx testdata/routes.sexp", 3, "routes.sexp"},
		{"storm --rate 0", 2, "a rate of 0"},
		{"storm --arrivals odd", 2, "no process is called \"odd\""},
		{"storm --arrivals-of /nowhere", 3, "/nowhere"},
		{"model run --day quiet --policy module,line", 0, "line in quiet-1 (seed 1)"},
		{"model run --day sunny", 2, "--day \"sunny\" is not a kind of workload"},
		{"model run --policy best", 2, "no policy is called \"best\""},
		{"model run testdata/shop.conf", 3, "testdata/shop.conf:1:1: found #"},
		{"model sweep testdata/small.sexp -o " + results, 0, "8 runs, 0 infeasible, 0 with violated invariants"},
		{"model sweep testdata/small.sexp -o " + results, 0, "8 runs"},
		{"model sweep testdata/other.sexp -o " + results, 3, "the results are of another plan"},
		{"model show " + results + " --by load", 0, "0.5        module"},
		{"model show " + results + " --measure nonexistent", 3, "no run has the measure \"nonexistent\""},
		{"model compare " + results + " --b line", 0, "over 4 pairs"},
		{"model plot " + results + " -o " + results + ".html", 0, "2 policies, 4 groups"},
		{"model worst testdata/small.sexp --rounds 1 --size 4 --cases 1", 0, "score 0."},
		{"model show main.go", 3, "main.go:1: found"},
		{"model hold --seeds 0", 2, "must be at least"},
		{"state info /nowhere", 3, "the state directory has no store"},
		{"storm --daemon /nowhere", 3, "/nowhere"},
		{"scenario list", 0, "rolling-deploy"},
		{"scenario replay 1", 0, "drawn, seed 1"},
		{"scenario explore --seeds 2", 0, "2 scenarios"},
		{"simulate run --day quiet --policy module,line", 0, "line in quiet-1 (seed 1)"},
		{"simulate search testdata/small.sexp --rounds 1 --size 4 --cases 1", 0, "score 0."},
		{"simulate calibrate --seeds 0", 2, "must be at least"},
		{"retries simulate", 0, "with the budget"},
		{"pool storm --fails 2", 2, "--fails must be 0 to 1"},
		{"load --rate 0", 2, "a rate of 0"},
		{"load cost --rounds 0", 2, "more than 0"},
		{"storm cost --rounds 0", 2, "more than 0"},
		{"nonexistent", 2, "unknown command"},
	} {
		status, stdout, stderr := runCommand(t, strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(stdout+stderr, c.text) {
			t.Errorf("%s: status %d, want %d and %q: %s%s", c.args, status, c.status, c.text, stdout, stderr)
		}
		if status > 1 && strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: error output %q, want one line", c.args, stderr)
		}
	}
}

// TestJSON checks that commands with --json print JSON and nothing else.
func TestJSON(t *testing.T) {
	recorded := replayTestdata + "storm.capture"
	for _, args := range []string{"capture info", "capture verify", "capture cat --kind refuse", "capture stats", "replay",
		"replay --set cores=8", "explain #7", "explain 1s"} {
		_, stdout, stderr := runCommand(t, append(strings.Fields(args), recorded, "--json")...)
		d := json.NewDecoder(strings.NewReader(stdout))
		for n := 0; d.More() || n == 0; n++ {
			var v map[string]any
			if err := d.Decode(&v); err != nil || len(v) == 0 || stderr != "" {
				t.Errorf("%s: object %d: error %v, stderr %q, want a non-empty object and empty stderr", args, n, err, stderr)
				break
			}
		}
	}
}

// TestLoad runs a small load test of a daemon and replays the capture that the daemon records.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "catalogue-server")
	if out, err := exec.Command("go", "build", "-o", daemon, "../catalogue-server").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	args := []string{"load", "--daemon", daemon, "--requests", "400", "--capture", filepath.Join(dir, "c"), "--json"}
	status, stdout, stderr := runCommand(t, args...)
	var r struct {
		Served, Refused, Failed, Lost, Tries, Exit int
		Breaches                                   []string
	}
	if err := json.Unmarshal([]byte(stdout), &r); err != nil || status != 0 {
		t.Fatalf("status %d, %v: %s%s", status, err, stdout, stderr)
	}
	if r.Served == 0 || r.Served+r.Refused+r.Failed+r.Lost != r.Tries || len(r.Breaches) > 0 || r.Exit != 0 {
		t.Errorf("result %+v, want served attempts, every attempt with one outcome, no violations and exit status 0", r)
	}
	if status, stdout, _ := runCommand(t, "replay", filepath.Join(dir, "c")); status != 0 {
		t.Errorf("replay of the capture ended with a status other than 0: %s", stdout)
	}
}
