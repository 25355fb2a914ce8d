package replay

import (
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// EndStatus is how an attempt ended.
type EndStatus string

// The end statuses.
const (
	StatusOpen      EndStatus = "open"    // no answer is in the capture
	StatusServed    EndStatus = "served"  // by its own run
	StatusReplayed  EndStatus = "reused"  // by the result of another attempt's run
	StatusRejected  EndStatus = "refused" // without a run
	StatusFailed    EndStatus = "failed"  // by the module, whether it ran or not
	StatusCancelled EndStatus = "left"    // its caller no longer waits
	StatusErrored   EndStatus = "errored" // its run ended without a result
)

// statusAfter returns the status of an open attempt after the next record of it, and whether that record ends the attempt.
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

// Attempt is the outcome of one attempt of a request. Times are by the module's clock.
type Attempt struct {
	ID        admission.RequestID `json:"id"`
	WireID    string              `json:"request_id,omitempty"`
	Class     int                 `json:"class"`
	Tenant    int                 `json:"tenant"`
	IsRetry   bool                `json:"retry,omitempty"`
	ArrivedAt time.Duration       `json:"arrived"` // at the machine
	ReadAt    time.Duration       `json:"read"`
	RunStart  time.Duration       `json:"run_at,omitempty"` // 0: it was not run
	RunEnd    time.Duration       `json:"run_end,omitempty"`
	CoreTime  time.Duration       `json:"work,omitempty"` // of its run, if the cores were shared evenly
	Status    EndStatus           `json:"ending"`
	EndAt     time.Duration       `json:"end_at,omitempty"`
}

// OnTime reports whether the attempt was served within its class's latency objective.
func (a *Attempt) OnTime(classes []admission.Class) bool {
	return a.wasServed() && a.Class < len(classes) && a.EndAt-a.ArrivedAt <= classes[a.Class].LatencyObjective
}

func (a *Attempt) wasServed() bool { return a.Status == StatusServed || a.Status == StatusReplayed }

// RecordedAttempts returns all attempts of one run of the server, as they were recorded.
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

// RecordedSettings returns the module's settings in the first segment whose state can be read.
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
// Core times come from a virtual clock: it advances by the core time that each run gets, so a run's core time is the
// difference of the clock between its start and its end, however many ran beside it.
type attemptTracker struct {
	attempts []*Attempt // in the order in which they were read
	byID     map[admission.RequestID]*Attempt

	cores        float64
	running      int
	now          time.Duration
	virtualClock float64 // seconds
	runStarts    map[admission.RequestID]float64
}

func newAttemptTracker(cores int) *attemptTracker {
	return &attemptTracker{byID: map[admission.RequestID]*Attempt{}, cores: float64(cores),
		runStarts: map[admission.RequestID]float64{}}
}

// advance moves both clocks.
func (t *attemptTracker) advance(now time.Duration) {
	if now <= t.now {
		return
	}
	if t.running > 0 {
		t.virtualClock += (now - t.now).Seconds() * min(1, t.cores/float64(t.running))
	}
	t.now = now
}

// record takes an event or an action. wireID is that of a request's event.
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
		delete(t.byID, record.ID) // nothing more can happen to it
	}
}

// add adds the attempt that a request's event begins.
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
