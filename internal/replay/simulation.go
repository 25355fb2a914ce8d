package replay

import (
	"container/heap"
	"errors"
	"math"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrNoState says that a capture has no state to begin from.
var ErrNoState = errors.New("replay: the first segment has no readable state")

// Simulate plays what was recorded of one start of the server to a module that may decide otherwise: arrivals, callers
// that leave, and drains come as they were recorded; runs take the time of a core that they were recorded to take, or
// the mean of their class where they were not run, and the cores are shared evenly; the gauges follow from that.
// Callers do not react to other answers: further tries come as they were recorded, no more and no fewer. Change alters
// the settings; nil leaves them as they are.
func Simulate(segments []*capture.Segment, change func(*admission.Settings) error) ([]*Attempt, admission.Settings, error) {
	if len(segments) == 0 || segments[0].Snapshot == nil {
		return nil, admission.Settings{}, ErrNoState
	}
	w := &world{now: segments[0].Meta.ModuleTime}
	was, err := admission.Restore(segments[0].Snapshot, w)
	if err != nil {
		return nil, admission.Settings{}, err
	}
	if w.in, err = admission.RestoreWith(segments[0].Snapshot, w, change); err != nil {
		return nil, admission.Settings{}, err
	}
	w.set = w.in.Settings()
	recorded, err := RecordedAttempts(segments, was.Settings().Cores)
	if err != nil {
		return nil, w.set, err
	}
	w.learn(recorded)
	w.ledger = newLedger(w.set.Cores)
	w.resume()
	if err := w.load(segments); err != nil {
		return nil, w.set, err
	}
	w.play()
	return w.ledger.order, w.set, nil
}

// world is the host of a modelled replay.
type world struct {
	admission.NoActions // what changes nothing here

	in      *admission.Instance
	set     admission.Settings
	ledger  *ledger
	now     time.Duration
	queue   happenings
	order   int
	work    map[admission.RequestID]time.Duration
	mean    []time.Duration // by class
	typical time.Duration   // of all classes
	runs    []*modelRun     // on the cores
	busy    float64
	waiting map[admission.RequestID][]admission.RequestID // repeats that wait for a run, by its try
	asked   map[admission.RequestID]*capture.Record
	result  map[admission.RequestID]bool // tries whose run made a result
	later   []capture.Record             // events that actions led to
	ends    time.Duration                // of the recording
}

// modelRun is a run and how much of its work is left.
type modelRun struct {
	id   admission.RequestID
	left time.Duration
}

// happening is an event to come; those of one time come in the order in which they were made.
type happening struct {
	at    time.Duration
	order int
	event capture.Record
	wire  string
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// learn takes the work of runs from what was recorded.
func (w *world) learn(recorded []*Attempt) {
	w.work = map[admission.RequestID]time.Duration{}
	w.mean = make([]time.Duration, len(w.set.Classes))
	counts := make([]int, len(w.set.Classes))
	total, count := time.Duration(0), 0
	for _, o := range recorded {
		if o.RunEnd == 0 || o.Class >= len(w.mean) || o.Status == StatusErrored {
			continue
		}
		w.work[o.ID] = o.CoreTime
		w.mean[o.Class] += o.CoreTime
		counts[o.Class]++
		total += o.CoreTime
		count++
	}
	for c := range w.mean {
		switch {
		case counts[c] > 0:
			w.mean[c] /= time.Duration(counts[c])
		case count > 0:
			w.mean[c] = total / time.Duration(count)
		}
	}
	w.typical = total / time.Duration(max(count, 1))
}

// resume goes on with what the state at the start has in hand: its runs, which take the mean of all, and its timer.
func (w *world) resume() {
	_, running := w.in.Queue()
	for _, id := range running {
		w.runs = append(w.runs, &modelRun{id, w.typical})
	}
	w.push(w.now, capture.Record{Kind: capture.KindTimer}, "")
}

// load queues what does not depend on decisions.
func (w *world) load(segments []*capture.Segment) error {
	w.waiting = map[admission.RequestID][]admission.RequestID{}
	w.asked, w.result = map[admission.RequestID]*capture.Record{}, map[admission.RequestID]bool{}
	names := map[admission.RequestID]string{}
	for _, s := range segments {
		err := s.ForEach(func(_ capture.Position, r *capture.Record) error {
			w.ends = max(w.ends, r.At)
			switch r.Kind {
			case capture.KindRequestNames:
				names[r.ID] = r.Text
			case capture.KindRequest, capture.KindCancel, capture.KindDrain:
				w.push(r.At, *r, names[r.ID])
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

func (w *world) push(at time.Duration, event capture.Record, wire string) {
	w.order++
	heap.Push(&w.queue, happening{at, w.order, event, wire})
}

// play goes from event to event until the recording's end; what is open then stays open.
func (w *world) play() {
	w.in.Settle(w.now)
	for {
		next := time.Duration(math.MaxInt64)
		if len(w.queue) > 0 {
			next = w.queue[0].at
		}
		run, at := w.nextEnd()
		switch {
		case min(next, at) > w.ends:
			return
		case run != nil && at <= next:
			w.pass(at)
			w.end(run)
		default:
			h := heap.Pop(&w.queue).(happening)
			w.pass(h.at)
			h.event.At = max(h.at, w.now)
			if h.event.Kind == capture.KindTimer {
				h.event.Gauges = admission.Gauges{Utilization: w.busy, Runnable: float64(len(w.runs))}
			}
			w.tell(h.event, h.wire)
		}
		for len(w.later) > 0 {
			event := w.later[0]
			w.later = w.later[1:]
			event.At = w.now
			w.tell(event, "")
		}
		w.in.Settle(w.now)
	}
}

// tell reports an event to the module.
func (w *world) tell(event capture.Record, wire string) {
	if event.Kind == capture.KindRequest {
		r := event
		w.asked[event.ID] = &r
	}
	w.ledger.record(&event, wire)
	Deliver(w.in, &event)
}

// share is the part of a core that each run gets.
func (w *world) share() float64 {
	return min(1, float64(w.set.Cores)/float64(max(len(w.runs), 1)))
}

// nextEnd is the run that ends next, and when.
func (w *world) nextEnd() (*modelRun, time.Duration) {
	var next *modelRun
	for _, r := range w.runs {
		if next == nil || r.left < next.left {
			next = r
		}
	}
	if next == nil {
		return nil, math.MaxInt64
	}
	return next, w.now + time.Duration(math.Ceil(float64(next.left)/w.share()))
}

// busyOver is the time over which the gauge of the cores averages.
const busyOver = 500 * time.Millisecond

// pass moves the time, the runs and the gauge of the cores.
func (w *world) pass(to time.Duration) {
	if to <= w.now {
		return
	}
	spent := time.Duration(float64(to-w.now) * w.share())
	for _, r := range w.runs {
		r.left = max(r.left-spent, 0)
	}
	part := math.Exp(-float64(to-w.now) / float64(busyOver))
	w.busy = w.busy*part + (1-part)*min(1, float64(len(w.runs))/float64(w.set.Cores))
	w.now = to
}

// end ends a run, and answers the repeats that wait for it.
func (w *world) end(run *modelRun) {
	w.remove(run.id)
	w.result[run.id] = true
	w.tell(capture.Record{Kind: capture.KindRunFinished, At: w.now, ID: run.id, Outcome: admission.OK}, "")
	w.release(run.id, admission.OK)
}

// release answers the repeats that waited for a run.
func (w *world) release(id admission.RequestID, o admission.Outcome) {
	for _, f := range w.waiting[id] {
		w.later = append(w.later, capture.Record{Kind: capture.KindRunFinished, ID: f, Outcome: o})
	}
	delete(w.waiting, id)
}

// remove takes a run off the cores, and tells whether it was on them.
func (w *world) remove(id admission.RequestID) bool {
	for i, r := range w.runs {
		if r.id == id {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			return true
		}
	}
	return false
}

// note takes an action into the ledger.
func (w *world) note(k capture.Kind, id admission.RequestID) {
	w.ledger.record(&capture.Record{Kind: k, At: w.now, ID: id}, "")
}

// Run implements admission.Actions.
func (w *world) Run(id admission.RequestID) {
	w.note(capture.KindRun, id)
	work, known := w.work[id]
	if r := w.asked[id]; !known && r != nil && r.Request.Class < len(w.mean) {
		work = w.mean[r.Request.Class]
	}
	w.runs = append(w.runs, &modelRun{id, work})
}

// Refuse implements admission.Actions.
func (w *world) Reject(id admission.RequestID, _ time.Duration, _ bool) {
	w.note(capture.KindReject, id)
}

// Fail implements admission.Actions.
func (w *world) Fail(id admission.RequestID) { w.note(capture.KindFail, id) }

// Halt implements admission.Actions.
func (w *world) Stop(id admission.RequestID) {
	if w.remove(id) {
		w.later = append(w.later, capture.Record{Kind: capture.KindRunFinished, ID: id, Outcome: admission.Cancelled})
		w.release(id, admission.Failed)
	}
}

// Reuse implements admission.Actions.
func (w *world) ReplayResult(id admission.RequestID) {
	w.note(capture.KindReplayResult, id)
	source := id
	for r := w.asked[source]; r != nil && r.Request.RetryOf != 0 && !w.result[source] && !w.onCores(source); r = w.asked[source] {
		source = r.Request.RetryOf
	}
	if w.onCores(source) {
		w.waiting[source] = append(w.waiting[source], id)
		return
	}
	o := admission.Failed
	if w.result[source] || w.asked[source] == nil { // a run before the recording is taken to have gone well
		o = admission.OK
	}
	w.later = append(w.later, capture.Record{Kind: capture.KindRunFinished, ID: id, Outcome: o})
}

func (w *world) onCores(id admission.RequestID) bool {
	for _, r := range w.runs {
		if r.id == id {
			return true
		}
	}
	return false
}

// AfterEvent implements admission.Actions.
func (w *world) SetTimer(wait time.Duration, token uint32) {
	w.push(w.now+wait, capture.Record{Kind: capture.KindTimer, Token: token}, "")
}

// Call implements admission.Actions: calls go well at once.
func (w *world) Call(id admission.RequestID, _ time.Duration) {
	w.later = append(w.later, capture.Record{Kind: capture.KindCallFinished, ID: id, Outcome: admission.OK})
}
