package replay

import (
	"errors"
	"math"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrNoState is returned if a capture has no snapshot to start from.
var ErrNoState = errors.New("replay: the first segment has no readable snapshot")

// Simulate simulates one run of the server with a module whose decisions may differ from the recorded ones. It returns the
// outcome of each attempt and the module's settings. change modifies the settings before the simulation; it may be nil.
//
// Arrivals, cancellations and drains happen as recorded. A run takes its recorded core time, or the mean core time of its
// class if there is no recorded one. All runs share the cores evenly, and the gauges are computed from the simulated cores.
// Callers do not react to different answers: retries happen exactly as recorded.
func Simulate(segments []*capture.Segment, change func(*admission.Settings) error) ([]*Attempt, admission.Settings, error) {
	if len(segments) == 0 || segments[0].Snapshot == nil {
		return nil, admission.Settings{}, ErrNoState
	}
	sim := &simulation{now: segments[0].Meta.ModuleTime}
	recordedModule, err := admission.Restore(segments[0].Snapshot, sim)
	if err != nil {
		return nil, admission.Settings{}, err
	}
	sim.module, err = admission.RestoreWith(segments[0].Snapshot, sim, change)
	if err != nil {
		return nil, admission.Settings{}, err
	}
	settings := sim.module.Settings()
	recorded, err := RecordedAttempts(segments, recordedModule.Settings().Cores)
	if err != nil {
		return nil, settings, err
	}
	sim.coreTimes = newCoreTimes(recorded, len(settings.Classes))
	sim.cores = simulatedCores{count: settings.Cores}
	sim.tracker = newAttemptTracker(settings.Cores)
	sim.resume()
	if err := sim.queueRecorded(segments); err != nil {
		return nil, settings, err
	}
	sim.run()
	return sim.tracker.attempts, settings, nil
}

// simulation is the state of Simulate. It implements admission.Actions.
type simulation struct {
	admission.NoActions // for the actions that have no effect in a simulation

	module    *admission.Instance
	now       time.Duration // module's clock
	end       time.Duration // module's clock at the end of the recording
	cores     simulatedCores
	coreTimes coreTimes
	tracker   *attemptTracker
	events    eventQueue       // future events
	followUps []capture.Record // events caused by actions, delivered before the clock advances

	requests  map[admission.RequestID]*capture.Record       // events of the requests that were passed to the module
	hasResult map[admission.RequestID]bool                  // requests whose run ended with a result
	waiting   map[admission.RequestID][]admission.RequestID // coalesced requests by the request whose run they wait for
}

// resume starts the runs in progress in the snapshot, with the mean core time, and queues the event of the module's timer.
func (s *simulation) resume() {
	_, running := s.module.Queue()
	for _, id := range running {
		s.cores.start(id, s.coreTimes.mean)
	}
	s.events.push(s.now, capture.Record{Kind: capture.KindTimer}, "")
}

// queueRecorded queues the recorded events that do not depend on the module's decisions.
func (s *simulation) queueRecorded(segments []*capture.Segment) error {
	s.waiting = map[admission.RequestID][]admission.RequestID{}
	s.requests, s.hasResult = map[admission.RequestID]*capture.Record{}, map[admission.RequestID]bool{}
	names := map[admission.RequestID]string{}
	for _, segment := range segments {
		err := segment.ForEach(func(_ capture.Position, r *capture.Record) error {
			s.end = max(s.end, r.At)
			switch r.Kind {
			case capture.KindRequestNames:
				names[r.ID] = r.Text
			case capture.KindRequest, capture.KindCancel, capture.KindDrain:
				s.events.push(r.At, *r, names[r.ID])
				delete(names, r.ID)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// run processes events until the end of the recording. Attempts that have not ended by then stay open.
func (s *simulation) run() {
	s.module.Settle(s.now)
	for {
		nextEvent := s.events.nextTime()
		run, runEnd := s.nextRunEnd()
		if min(nextEvent, runEnd) > s.end {
			return
		}
		if run != nil && runEnd <= nextEvent {
			s.advance(runEnd)
			s.finishRun(run.id)
		} else {
			s.deliverNext()
		}
		s.deliverFollowUps()
		s.module.Settle(s.now)
	}
}

// nextRunEnd returns the run that ends next and the time of its end, or nil and math.MaxInt64 if there is none.
func (s *simulation) nextRunEnd() (*simulatedRun, time.Duration) {
	run, wait := s.cores.next()
	if run == nil {
		return nil, math.MaxInt64
	}
	return run, s.now + wait
}

// advance moves the clock and the simulated cores forward.
func (s *simulation) advance(to time.Duration) {
	if to > s.now {
		s.cores.advance(to - s.now)
		s.now = to
	}
}

// deliverNext passes the next queued event to the module.
func (s *simulation) deliverNext() {
	next := s.events.pop()
	s.advance(next.at)
	next.event.At = max(next.at, s.now)
	if next.event.Kind == capture.KindTimer {
		next.event.Gauges = admission.Gauges{Utilization: s.cores.utilization, Runnable: float64(len(s.cores.runs))}
	}
	s.deliver(next.event, next.wireID)
}

// deliverFollowUps passes the events that actions caused to the module, until its actions cause no more events.
func (s *simulation) deliverFollowUps() {
	for len(s.followUps) > 0 {
		event := s.followUps[0]
		s.followUps = s.followUps[1:]
		event.At = s.now
		s.deliver(event, "")
	}
}

// deliver passes an event to the tracker and the module.
func (s *simulation) deliver(event capture.Record, wireID string) {
	if event.Kind == capture.KindRequest {
		request := event
		s.requests[event.ID] = &request
	}
	s.tracker.record(&event, wireID)
	Deliver(s.module, &event)
}

// finishRun ends a run and queues the events that answer the requests waiting for it.
func (s *simulation) finishRun(id admission.RequestID) {
	s.cores.remove(id)
	s.hasResult[id] = true
	s.deliver(capture.Record{Kind: capture.KindRunFinished, At: s.now, ID: id, Outcome: admission.OK}, "")
	s.releaseWaiting(id, admission.OK)
}

// releaseWaiting queues the events that answer the requests waiting for a run.
func (s *simulation) releaseWaiting(id admission.RequestID, outcome admission.Outcome) {
	for _, waiting := range s.waiting[id] {
		s.followUp(capture.KindRunFinished, waiting, outcome)
	}
	delete(s.waiting, id)
}

// followUp queues an event that is delivered before the clock advances.
func (s *simulation) followUp(kind capture.Kind, id admission.RequestID, outcome admission.Outcome) {
	s.followUps = append(s.followUps, capture.Record{Kind: kind, ID: id, Outcome: outcome})
}

// track passes an action to the tracker.
func (s *simulation) track(kind capture.Kind, id admission.RequestID) {
	s.tracker.record(&capture.Record{Kind: kind, At: s.now, ID: id}, "")
}

// Run implements admission.Actions.
func (s *simulation) Run(id admission.RequestID) {
	s.track(capture.KindRun, id)
	s.cores.start(id, s.coreTimes.forRun(id, s.requests[id]))
}

// Reject implements admission.Actions.
func (s *simulation) Reject(id admission.RequestID, _ time.Duration, _ bool) {
	s.track(capture.KindReject, id)
}

// Fail implements admission.Actions.
func (s *simulation) Fail(id admission.RequestID) { s.track(capture.KindFail, id) }

// Stop implements admission.Actions.
func (s *simulation) Stop(id admission.RequestID) {
	if s.cores.remove(id) {
		s.followUp(capture.KindRunFinished, id, admission.Cancelled)
		s.releaseWaiting(id, admission.Failed)
	}
}

// ReplayResult implements admission.Actions.
func (s *simulation) ReplayResult(id admission.RequestID) {
	s.track(capture.KindReplayResult, id)
	source := s.resultSource(id)
	switch {
	case s.cores.has(source):
		s.waiting[source] = append(s.waiting[source], id)
	case s.hasResult[source] || s.requests[source] == nil: // an attempt that ran before the recording is assumed to have succeeded
		s.followUp(capture.KindRunFinished, id, admission.OK)
	default:
		s.followUp(capture.KindRunFinished, id, admission.Failed)
	}
}

// resultSource follows the chain of earlier attempts of a request to the first one found that runs or has a result. If there is
// none, it returns the last one of the chain.
func (s *simulation) resultSource(id admission.RequestID) admission.RequestID {
	for {
		r := s.requests[id]
		if r == nil || r.Request.RetryOf == 0 || s.hasResult[id] || s.cores.has(id) {
			return id
		}
		id = r.Request.RetryOf
	}
}

// SetTimer implements admission.Actions.
func (s *simulation) SetTimer(wait time.Duration, token uint32) {
	s.events.push(s.now+wait, capture.Record{Kind: capture.KindTimer, Token: token}, "")
}

// Call implements admission.Actions. Calls succeed immediately.
func (s *simulation) Call(id admission.RequestID, _ time.Duration) {
	s.followUp(capture.KindCallFinished, id, admission.OK)
}
