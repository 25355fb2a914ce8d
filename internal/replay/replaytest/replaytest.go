// Package replaytest provides assertions for tests that replay a capture.
package replaytest

import (
	"testing"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// AssertSameDecisions replays the capture twice: continuously, and from each segment's snapshot. It fails the test if the
// decisions differ from the recorded ones, and returns the result of the second replay.
func AssertSameDecisions(t *testing.T, path string) *replay.Result {
	t.Helper()
	segments := open(t, path)
	var result *replay.Result
	for _, fresh := range []bool{false, true} {
		var err error
		result, err = replay.Run(segments, fresh, replay.Visitor{})
		if err != nil {
			t.Fatal(err)
		}
		if result.FirstDifference != nil {
			t.Fatalf("%v", result.FirstDifference)
		}
	}
	return result
}

// AssertNeverMatches passes the capture's events to the module and fails the test if the predicate (see replay.ParsePredicate)
// holds. It ignores the recorded decisions. It is for regression tests of failures that were captured.
func AssertNeverMatches(t *testing.T, path, predicate string) {
	t.Helper()
	newPredicate, err := replay.ParsePredicate(predicate)
	if err != nil {
		t.Fatal(err)
	}
	excerpt, err := replay.Join(open(t, path), replay.Span{})
	if err != nil {
		t.Fatal(err)
	}
	observer := newPredicate()
	if _, err := excerpt.Replay(observer); err != nil {
		t.Fatal(err)
	}
	if observer.Matched() {
		t.Errorf("%s: predicate %s holds, want that it does not", path, predicate)
	}
}

// open reads a capture and fails the test if it is damaged.
func open(t *testing.T, path string) []*capture.Segment {
	t.Helper()
	segments, bad, err := capture.Open(path)
	if err != nil || len(bad) > 0 {
		t.Fatal(bad, err)
	}
	for _, s := range segments {
		if len(s.Damage) > 0 {
			t.Fatalf("%s: %v", s.Path, s.Damage)
		}
	}
	return segments
}
