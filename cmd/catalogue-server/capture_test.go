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

// replayCapture replays what a server recorded, from one end to the other and from each segment's state.
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
			t.Fatalf("fresh %t: %v", fresh, result.FirstDifference)
		}
	}
	return result
}

// TestCapture records a server that serves, replays results, rejects, loses its link, is reloaded and drained, and
// replays that.
func TestCapture(t *testing.T) {
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	server := servertest.Start(t, program+" serve --capture "+dir, interpreter, nil)
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
			t.Errorf("answer %+v", a)
		}
	}
	server.Signal(syscall.SIGHUP)
	server.WaitCounter("reloads", 1)
	g.Write(fake.NewLookup("").Encode(1))
	server.WaitRuns(3)
	server.Signal(syscall.SIGTERM)
	if a := g.WaitResponse(1); a.Status != 500 && a.Status != 503 {
		t.Errorf("answer in the drain %+v", a)
	}
	if code := server.WaitExit(); code != 0 {
		t.Errorf("exit status %d", code)
	}
	r := replayCapture(t, dir)
	if r.Requests != 4 || r.Runs != 3 || r.Rejected+r.Failed != 1 {
		t.Errorf("replayed %+v", r)
	}
	segments, _, _ := capture.Open(dir)
	var notes []string
	for _, s := range segments {
		s.ForEach(func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.KindAnnotation || r.Kind == capture.KindRequestNames && r.Key != "" {
				notes = append(notes, r.Text+r.Key)
			}
			return nil
		})
	}
	for _, want := range []string{"link lost", "reloaded", "SIGTERM", "00000000000000000000000000000001"} {
		if !strings.Contains(strings.Join(notes, "\n"), want) {
			t.Errorf("no note of %q in %q", want, notes)
		}
	}
	if !strings.Contains(server.Log(), `"msg":"capture"`) {
		t.Error("the recording's counters were not logged")
	}
}

// TestArguments has wrong arguments reported in one line.
func TestArguments(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	for args, want := range map[string]string{"sreve": "want serve", "--sepia": "not defined",
		"--settings /nowhere": "/nowhere", "--capture /dev/null/x": "capture:"} {
		server := servertest.Start(t, program+" "+args, interpreter, nil)
		if code := server.WaitExit(); code != 2 || !strings.Contains(server.Log(), want) || strings.Count(server.Log(), "\n") != 1 {
			t.Errorf("%s: exit status %d, log %q", args, code, server.Log())
		}
	}
}
