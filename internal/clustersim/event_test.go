package clustersim

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEventQueue compares the queue with a sorted list.
func TestEventQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q eventQueue
		var waiting []*event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what < 3 || len(waiting) == 0:
				waiting = append(waiting, q.schedule(at, nil, 0, nil))
			case what == 3:
				q.reschedule(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "moved")], at)
			case what == 4:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "dropped")
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
					t.Fatalf("%v comes next, want %v", got.at, waiting[i].at)
				}
				waiting = slices.Delete(waiting, i, i+1)
			}
		}
		if len(q.heap) != len(waiting) {
			t.Fatalf("%d wait, want %d", len(q.heap), len(waiting))
		}
	})
}
