package simulatorwire

import "testing"

func TestEachOutcome(t *testing.T) {
	for code, want := range outcomes {
		record := make([]byte, eventSize)
		record[0], record[9], record[10] = byte(EventRunFinished), code, 7
		event, err := decodeEvent(record, nil)
		if err != nil || event.Outcome != want || event.Duration != 7 {
			t.Errorf("code %d: %+v, %v", code, event, err)
		}
	}
}
