package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// driver drives an Instance through its events only. The test decides when runs end.
type driver struct {
	t           *testing.T
	module      *Instance
	recorder    *recorder
	now         time.Duration
	lastID      RequestID
	isSaturated bool // whether the gauges show saturated cores
}

// newDriver returns a driver of a new Instance with the settings.
func newDriver(t *testing.T, settings Settings) *driver {
	t.Helper()
	in, rec := newTestInstance(t, settings)
	return &driver{t: t, module: in, recorder: rec}
}

// advance advances the clock and reports a timer event.
func (d *driver) advance(elapsed time.Duration) {
	d.now += elapsed
	gauges := Gauges{Utilization: 0.5, Runnable: 0}
	if d.isSaturated {
		gauges = Gauges{Utilization: 1, Runnable: 100}
	}
	d.module.Timer(d.now, 0, gauges)
	d.module.Settle(d.now)
}

// request reports a new request of the class and returns its ID. If change is not nil, it is called on the request
// before that.
func (d *driver) request(class int, change func(*Request)) RequestID {
	d.lastID++
	arrival := testRequest(d.lastID, class)
	arrival.RemainingTime = 0
	if change != nil {
		change(&arrival)
	}
	d.module.Request(d.now, arrival)
	d.module.Settle(d.now)
	return d.lastID
}

// startedRuns returns the requests that were started since the recorder's last take.
func (d *driver) startedRuns() (ids []RequestID) {
	d.t.Helper()
	for _, a := range d.recorder.take("run") {
		_, id := scanAction(d.t, a)
		ids = append(ids, id)
	}
	return ids
}

// hasAction reports whether the actions include the word for the request.
func hasAction(actions []string, word string, id RequestID) bool {
	want := fmt.Sprintf("%s %d", word, id)
	for _, a := range actions {
		if a == want || strings.HasPrefix(a, want+" ") {
			return true
		}
	}
	return false
}

// scanAction parses the word and the request ID of an action.
func scanAction(t *testing.T, action string) (word string, id RequestID) {
	t.Helper()
	if _, err := fmt.Sscanf(action, "%s %d", &word, &id); err != nil {
		t.Fatalf("%q: %v", action, err)
	}
	return word, id
}

// twoClassSettings returns settings of 300 servers and 150 callers with two classes: one has an objective of 0.6 s,
// the other an objective of 6 s.
func twoClassSettings() Settings {
	return Settings{Servers: 300, Callers: 150, Cores: 2, Tick: 5 * ms, MemoryKB: 1e6,
		RunningMemoryFactor: 4, MaxConcurrencyFactor: 8,
		DrainGracePeriod: 2 * time.Second, MaxRetryAfter: time.Second,
		Classes: []Class{
			{LatencyObjective: 600 * ms, Deadline: 1500 * ms, Weight: 1},
			{LatencyObjective: 6 * time.Second, Deadline: 15 * time.Second, Weight: 1},
		}}
}
