package simulatorwire

import "testing"

// TestEachOutcome checks that each outcome code is decoded, together with the duration of the run.
func TestEachOutcome(t *testing.T) {
	for code, want := range outcomes {
		record := make([]byte, eventSize)
		record[0], record[9], record[10] = byte(EventRunFinished), code, 7
		event, err := decodeEvent(record, nil)
		if err != nil || event.Outcome != want || event.Duration != 7 {
			t.Errorf("outcome code %d: event %+v, error %v, want outcome %v and duration 7ns", code, event, err, want)
		}
	}
}
