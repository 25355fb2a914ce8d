package main

import (
	"strings"
	"syscall"
	"testing"

	"tillerusher/internal/capture"
	"tillerusher/internal/fake"
	"tillerusher/internal/replay"
	"tillerusher/internal/servertest"
)

// replayCapture replays a server's capture twice, once with the state continued between segments and once from the
// snapshot of each segment. It fails the test if a decision differs.
func replayCapture(t *testing.T, dir string) *replay.Result {
	t.Helper()
	segments, bad, err := capture.Open(dir)
	if err != nil || len(bad) > 0 {
		t.Fatal(bad, err)
	}
	var result *replay.Result
	for _, fresh := range []bool{false, true} {
		if result, err = replay.Run(segments, fresh, replay.Visitor{}); err != nil {
			t.Fatal(err)
		}
		if result.FirstDifference != nil {
			t.Fatalf("replay with fresh=%t differs: %v", fresh, result.FirstDifference)
		}
	}
	return result
}

// TestCapture records a server that serves requests, replays a result, loses its link to the interpreter, is reloaded and
// drained, with one request rejected or failed. It checks the replay of the capture, its annotations and its keys.
func TestCapture(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	server := servertest.Start(t, serverCommand+" serve --capture "+dir, interpreter, nil)
	server.WaitHealthy()
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewReserve(1, "x").Encode(2))
	runs := server.WaitRuns(2)
	g.Write(fake.NewReserve(1, "x").Encode(3))
	interpreter.CutLink()
	for _, run := range runs {
		interpreter.EndRun(run.ID, "OK", []byte("y"))
	}
	for id := range uint16(3) {
		if a := g.WaitResponse(id + 1); a.Status != 200 {
			t.Errorf("response %+v, want status 200", a)
		}
	}
	server.Signal(syscall.SIGHUP)
	server.WaitCounter("reloads", 1)
	g.Write(fake.NewLookup("").Encode(1))
	server.WaitRuns(3)
	server.Signal(syscall.SIGTERM)
	if a := g.WaitResponse(1); a.Status != 500 && a.Status != 503 {
		t.Errorf("response during the drain %+v, want status 500 or 503", a)
	}
	if code := server.WaitExit(); code != 0 {
		t.Errorf("exit status %d, want 0", code)
	}
	r := replayCapture(t, dir)
	if r.Requests != 4 || r.Runs != 3 || r.Rejected+r.Failed != 1 {
		t.Errorf("replay %+v, want 4 requests, 3 runs, 1 rejected or failed", r)
	}
	segments, _, _ := capture.Open(dir)
	var annotations []string // and the keys of requests
	for _, s := range segments {
		s.ForEach(func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.KindAnnotation || r.Kind == capture.KindRequestNames && r.Key != "" {
				annotations = append(annotations, r.Text+r.Key)
			}
			return nil
		})
	}
	for _, want := range []string{"link lost", "reloaded", "SIGTERM", "00000000000000000000000000000001"} {
		if !strings.Contains(strings.Join(annotations, "\n"), want) {
			t.Errorf("annotations and keys lack %q: %q", want, annotations)
		}
	}
	if !strings.Contains(server.Log(), `"msg":"capture"`) {
		t.Error("the capture's counters were not logged")
	}
}

// TestArguments checks that invalid arguments end the start with status 2 and one line that names the cause.
func TestArguments(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	for args, want := range map[string]string{"sreve": "want serve", "--sepia": "not defined",
		"--settings /nowhere": "/nowhere", "--capture /dev/null/x": "capture:"} {
		server := servertest.Start(t, serverCommand+" "+args, interpreter, nil)
		if code := server.WaitExit(); code != 2 || !strings.Contains(server.Log(), want) || strings.Count(server.Log(), "\n") != 1 {
			t.Errorf("%s: exit status %d, want 2; log %q, want one line with the cause", args, code, server.Log())
		}
	}
}
