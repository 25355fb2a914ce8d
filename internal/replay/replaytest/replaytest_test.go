package replaytest

import "testing"

// The captures are excerpts of load tests. Where a change of the decisions is intended, they are recorded anew:
// docs/capture.md says how.

func TestStorm(t *testing.T)    { AssertSameDecisions(t, "../testdata/storm.capture") }
func TestOverload(t *testing.T) { AssertSameDecisions(t, "../testdata/overload.capture") }
func TestLostLink(t *testing.T) { AssertSameDecisions(t, "../testdata/lost-link.capture") }

// TestJam has the first failure that was found by a capture: keys and queued requests filled the memory, and nothing could
// be run.
func TestJam(t *testing.T) { AssertNeverMatches(t, "../testdata/jam.capture", "jam:500ms") }
