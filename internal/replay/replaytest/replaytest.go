// Package replaytest makes captures ordinary tests, with one line each.
package replaytest

import (
	"testing"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// AssertSameDecisions fails where the module decides otherwise than the capture says, from one end to the other or from any
// segment's snapshot.
func AssertSameDecisions(t *testing.T, path string) *replay.Result {
	t.Helper()
	segments := open(t, path)
	var last *replay.Result
	for _, fresh := range []bool{false, true} {
		r, err := replay.Run(segments, fresh, replay.Visitor{})
		if err != nil {
			t.Fatal(err)
		}
		if r.FirstDifference != nil {
			t.Fatalf("%v", r.FirstDifference)
		}
		last = r
	}
	return last
}

// AssertNeverMatches fails where the predicate (see replay.ParsePredicate) holds when the capture's events are fed to the module,
// whatever the recorded decisions were: what once went wrong must not come back.
func AssertNeverMatches(t *testing.T, path, predicate string) {
	t.Helper()
	make, err := replay.ParsePredicate(predicate)
	if err != nil {
		t.Fatal(err)
	}
	piece, err := replay.Join(open(t, path), replay.Span{})
	if err != nil {
		t.Fatal(err)
	}
	seen := make()
	if _, err := piece.Replay(seen); err != nil {
		t.Fatal(err)
	}
	if seen.Matched() {
		t.Errorf("%s: %s holds again", path, predicate)
	}
}

// open reads a capture that must be whole.
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
