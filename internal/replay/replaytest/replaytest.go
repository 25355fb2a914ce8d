// Package replaytest turns captures into ordinary tests, one line each.
package replaytest

import (
	"testing"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// AssertSameDecisions fails the test where the module decides otherwise than was recorded, when the capture is replayed as a
// whole or from each segment's snapshot. It returns the result of the latter.
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

// AssertNeverMatches fails the test where the predicate (see replay.ParsePredicate) holds when the module gets the capture's
// events, whatever the recorded decisions were: a failure that was captured once must not come back.
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
		t.Errorf("%s: %s holds again", path, predicate)
	}
}

// open reads a capture, which must not be damaged.
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
