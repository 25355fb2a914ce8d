package replaytest

import "testing"

// The captures are excerpts of load tests. If a change of the decisions is intended, they must be recorded again, as
// docs/capture.md describes.

func TestStorm(t *testing.T)    { AssertSameDecisions(t, "../testdata/storm.capture") }
func TestOverload(t *testing.T) { AssertSameDecisions(t, "../testdata/overload.capture") }
func TestLostLink(t *testing.T) { AssertSameDecisions(t, "../testdata/lost-link.capture") }

// TestJam guards against the first failure that was found by a capture: keys and queued requests filled the memory, and no
// request could be run.
func TestJam(t *testing.T) { AssertNeverMatches(t, "../testdata/jam.capture", "jam:500ms") }
