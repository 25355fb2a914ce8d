package replaytest

import "testing"

// The captures are pieces of storms of the kit. Where a change of the decisions is meant, they are recorded anew:
// docs/capture.md says how.

func TestStorm(t *testing.T)    { AssertSameDecisions(t, "../testdata/storm.capture") }
func TestOverload(t *testing.T) { AssertSameDecisions(t, "../testdata/overload.capture") }
func TestLostLink(t *testing.T) { AssertSameDecisions(t, "../testdata/lost-link.capture") }

// TestJam is the first failure that the recorder found: keys and held requests filled the memory, and nothing could be
// run.
func TestJam(t *testing.T) { AssertNeverMatches(t, "../testdata/jam.capture", "jam:500ms") }
