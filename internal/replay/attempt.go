package replay

import (
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// EndStatus is the status of an attempt at its end, or at the end of the capture.
type EndStatus string

// The end statuses. Their texts are values in JSON.
const (
	StatusOpen      EndStatus = "open"    // the capture has no answer
	StatusServed    EndStatus = "served"  // with the result of its own run
	StatusReplayed  EndStatus = "reused"  // served with the result of another attempt's run
	StatusRejected  EndStatus = "refused" // rejected without a run
	StatusFailed    EndStatus = "failed"  // answered as failed by the module, whether it ran or not
	StatusCancelled EndStatus = "left"    // the caller no longer waits
	StatusErrored   EndStatus = "errored" // its run ended without a result
)

// statusAfter returns the status of an open attempt after its next record, and whether that record ends the attempt.
func statusAfter(status EndStatus, record *capture.Record) (after EndStatus, hasEnded bool) {
	switch record.Kind {
	case capture.KindReject:
		return StatusRejected, true
	case capture.KindFail:
		return StatusFailed, true
	case capture.KindCancel:
		return StatusCancelled, true
	case capture.KindReplayResult:
		return StatusReplayed, false
	case capture.KindRunFinished:
		switch {
		case record.Outcome != admission.OK:
			return StatusErrored, true
		case status == StatusReplayed:
			return StatusReplayed, true
		}
		return StatusServed, true
	}
	return status, false
}

// Attempt is the outcome of one attempt of a request. Times are those of the module's clock.
type Attempt struct {
	ID        admission.RequestID `json:"id"`
	WireID    string              `json:"request_id,omitempty"`
	Class     int                 `json:"class"`
	Tenant    int                 `json:"tenant"`
	IsRetry   bool                `json:"retry,omitempty"`
	ArrivedAt time.Duration       `json:"arrived"`          // arrival at the machine
	ReadAt    time.Duration       `json:"read"`             // when the server read it
	RunStart  time.Duration       `json:"run_at,omitempty"` // 0 if it was not run
	RunEnd    time.Duration       `json:"run_end,omitempty"`
	CoreTime  time.Duration       `json:"work,omitempty"` // core time of the run, assuming that all runs share the cores evenly
	Status    EndStatus           `json:"ending"`
	EndAt     time.Duration       `json:"end_at,omitempty"`
}

// OnTime reports whether the attempt was served within the latency objective of its class.
func (a *Attempt) OnTime(classes []admission.Class) bool {
	return a.wasServed() && a.Class < len(classes) && a.EndAt-a.ArrivedAt <= classes[a.Class].LatencyObjective
}

func (a *Attempt) wasServed() bool { return a.Status == StatusServed || a.Status == StatusReplayed }

// RecordedAttempts returns the recorded attempts of one run of the server. All segments must be of this run. cores is the number
// of cores that the server had.
func RecordedAttempts(segments []*capture.Segment, cores int) ([]*Attempt, error) {
	tracker := newAttemptTracker(cores)
	names := map[admission.RequestID]string{}
	for _, s := range segments {
		err := s.ForEach(func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.KindRequestNames {
				names[r.ID] = r.Text
				return nil
			}
			tracker.record(r, names[r.ID])
			if r.Kind == capture.KindRequest {
				delete(names, r.ID)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return tracker.attempts, nil
}

// RecordedSettings returns the module's settings in the first segment with a readable snapshot, or ErrNoState if there is none.
func RecordedSettings(segments []*capture.Segment) (admission.Settings, error) {
	for _, s := range segments {
		if s.Snapshot == nil {
			continue
		}
		module, err := admission.Restore(s.Snapshot, &ActionRecorder{})
		if err != nil {
			return admission.Settings{}, fmt.Errorf("%s: %w", s.Path, err)
		}
		return module.Settings(), nil
	}
	return admission.Settings{}, ErrNoState
}

// attemptTracker builds attempts from their records.
//
// Core times are computed from a virtual clock, which advances by the core time that each run gets. The core time of a run is
// thus how far the virtual clock advances between the run's start and its end, whatever the number of concurrent runs.
type attemptTracker struct {
	attempts []*Attempt // in the order in which the server read them
	byID     map[admission.RequestID]*Attempt

	cores        float64
	running      int // number of runs
	now          time.Duration
	virtualClock float64                         // seconds
	runStarts    map[admission.RequestID]float64 // virtual clock at the start of each run
}

func newAttemptTracker(cores int) *attemptTracker {
	return &attemptTracker{byID: map[admission.RequestID]*Attempt{}, cores: float64(cores),
		runStarts: map[admission.RequestID]float64{}}
}

// advance moves both clocks forward to now.
func (t *attemptTracker) advance(now time.Duration) {
	if now <= t.now {
		return
	}
	if t.running > 0 {
		t.virtualClock += (now - t.now).Seconds() * min(1, t.cores/float64(t.running))
	}
	t.now = now
}

// record updates the attempts by an event or an action. wireID is used only for the event of a request's arrival.
func (t *attemptTracker) record(record *capture.Record, wireID string) {
	t.advance(record.At)
	if record.Kind == capture.KindRequest {
		t.add(record, wireID)
		return
	}
	attempt := t.byID[record.ID]
	if attempt == nil || record.ID == 0 {
		return
	}
	if attempt.EndAt == 0 {
		var hasEnded bool
		attempt.Status, hasEnded = statusAfter(attempt.Status, record)
		if hasEnded {
			attempt.EndAt = record.At
		}
	}
	switch record.Kind {
	case capture.KindRun:
		attempt.RunStart = record.At
		t.running++
		t.runStarts[record.ID] = t.virtualClock
	case capture.KindRunFinished:
		t.finishRun(attempt, record.At)
		delete(t.byID, record.ID) // no further record changes it
	}
}

// add adds the attempt of a request's arrival.
func (t *attemptTracker) add(event *capture.Record, wireID string) {
	request := event.Request
	attempt := &Attempt{
		ID:        event.ID,
		WireID:    wireID,
		Class:     request.Class,
		Tenant:    request.Tenant,
		IsRetry:   request.IsRetry,
		ArrivedAt: event.At - request.QueueingDelay,
		ReadAt:    event.At,
		Status:    StatusOpen,
	}
	t.attempts = append(t.attempts, attempt)
	t.byID[event.ID] = attempt
}

// finishRun ends the attempt's run, if it has one.
func (t *attemptTracker) finishRun(attempt *Attempt, at time.Duration) {
	start, ok := t.runStarts[attempt.ID]
	if !ok {
		return
	}
	delete(t.runStarts, attempt.ID)
	t.running--
	attempt.RunEnd = at
	attempt.CoreTime = time.Duration((t.virtualClock - start) * float64(time.Second))
}
