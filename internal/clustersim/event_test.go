package clustersim

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEventQueue compares the queue with a list that is searched for the first event.
func TestEventQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q eventQueue
		var waiting []*event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
			switch operation := rapid.IntRange(0, 5).Draw(t, "operation"); {
			case operation < 3 || len(waiting) == 0:
				waiting = append(waiting, q.schedule(at, nil, 0, nil))
			case operation == 3:
				q.reschedule(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "rescheduled")], at)
			case operation == 4:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "canceled")
				q.cancel(waiting[i])
				q.cancel(waiting[i])
				waiting = slices.Delete(waiting, i, i+1)
			default:
				i := 0
				for k, e := range waiting {
					if before(e, waiting[i]) {
						i = k
					}
				}
				if got := q.pop(); got != waiting[i] {
					t.Fatalf("pop returned the event at %v, want the event at %v", got.at, waiting[i].at)
				}
				waiting = slices.Delete(waiting, i, i+1)
			}
		}
		if len(q.heap) != len(waiting) {
			t.Fatalf("%d events in the queue, want %d", len(q.heap), len(waiting))
		}
	})
}
