package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Attempt is how one try ended.
type Attempt struct {
	ID        admission.RequestID `json:"id"`
	WireID    string              `json:"request_id,omitempty"`
	Class     int                 `json:"class"`
	Tenant    int                 `json:"tenant"`
	Retry     bool                `json:"retry,omitempty"`
	ArrivedAt time.Duration       `json:"arrived"` // at the machine
	ReadAt    time.Duration       `json:"read"`
	RunStart  time.Duration       `json:"run_at,omitempty"` // 0 = not run
	RunEnd    time.Duration       `json:"run_end,omitempty"`
	CoreTime  time.Duration       `json:"work,omitempty"` // time of a core that its run took, the cores shared evenly
	Status    EndStatus           `json:"ending"`
	EndAt     time.Duration       `json:"end_at,omitempty"`
}

// OnTime tells whether the try was served within its class's aim.
func (o *Attempt) OnTime(classes []admission.Class) bool {
	return o.good() && o.Class < len(classes) && o.EndAt-o.ArrivedAt <= classes[o.Class].LatencyObjective
}

func (o *Attempt) good() bool { return o.Status == StatusServed || o.Status == StatusReplayed }

// ledger follows tries to their ends.
type ledger struct {
	cores   float64
	order   []*Attempt
	byID    map[admission.RequestID]*Attempt
	running int
	clock   float64 // seconds of core time of a try that had always been running
	begun   map[admission.RequestID]float64
	now     time.Duration
}

func newLedger(cores int) *ledger {
	return &ledger{cores: float64(cores), byID: map[admission.RequestID]*Attempt{}, begun: map[admission.RequestID]float64{}}
}

// pass moves the clock.
func (l *ledger) pass(now time.Duration) {
	if now > l.now {
		if l.running > 0 {
			l.clock += (now - l.now).Seconds() * min(1, l.cores/float64(l.running))
		}
		l.now = now
	}
}

// record takes in an event or an action.
func (l *ledger) record(r *capture.Record, wire string) {
	l.pass(r.At)
	if r.Kind == capture.KindRequest {
		o := &Attempt{ID: r.ID, WireID: wire, Class: r.Request.Class, Tenant: r.Request.Tenant, Retry: r.Request.IsRetry,
			ArrivedAt: r.At - r.Request.QueueingDelay, ReadAt: r.At, Status: StatusOpen}
		l.order = append(l.order, o)
		l.byID[r.ID] = o
		return
	}
	o := l.byID[r.ID]
	if o == nil || r.ID == 0 {
		return
	}
	if o.EndAt == 0 {
		var ended bool
		if o.Status, ended = ending(o.Status, r); ended {
			o.EndAt = r.At
		}
	}
	switch r.Kind {
	case capture.KindRun:
		o.RunStart = r.At
		l.running++
		l.begun[r.ID] = l.clock
	case capture.KindRunFinished:
		if at, ran := l.begun[r.ID]; ran {
			delete(l.begun, r.ID)
			l.running--
			o.RunEnd, o.CoreTime = r.At, time.Duration((l.clock-at)*float64(time.Second))
		}
		delete(l.byID, r.ID) // nothing more can happen to it
	}
}

// RecordedAttempts are the ends of all tries of one start of the server, as they were recorded.
func RecordedAttempts(segments []*capture.Segment, cores int) ([]*Attempt, error) {
	l := newLedger(cores)
	names := map[admission.RequestID]string{}
	for _, s := range segments {
		err := s.ForEach(func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.KindRequestNames {
				names[r.ID] = r.Text
				return nil
			}
			l.record(r, names[r.ID])
			if r.Kind == capture.KindRequest {
				delete(names, r.ID)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return l.order, nil
}

// Summary sums up the ends of a group of tries. Times are in milliseconds.
type Summary struct {
	Class     string  `json:"class"`
	Tenant    string  `json:"tenant"`
	Attempts  int     `json:"tries"`
	Retries   int     `json:"retries"`
	Served    int     `json:"served"`
	Replayed  int     `json:"reused"`
	OnTime    int     `json:"on_time"` // of those served
	Rejected  int     `json:"refused"`
	Failed    int     `json:"failed"`
	Other     int     `json:"other"` // left, errored or open
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"` // of those served, from their arrival at the machine
	QueuedP99 float64 `json:"held_p99_ms"`
}

// tallied is a tally in the making.
type tallied struct {
	Summary
	latency, held *hdrhistogram.Histogram
}

// longestLatency is the longest latency that is told apart.
const longestLatency = 10 * time.Minute

func newTallied(class, tenant string) *tallied {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency.Microseconds(), 3) }
	return &tallied{Summary: Summary{Class: class, Tenant: tenant}, latency: h(), held: h()}
}

func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), 1), longestLatency.Microseconds())
}

func (t *tallied) add(o *Attempt, classes []admission.Class) {
	t.Attempts++
	if o.Retry {
		t.Retries++
	}
	if o.RunStart > 0 {
		t.held.RecordValue(micros(o.RunStart - o.ReadAt))
	}
	switch o.Status {
	case StatusServed, StatusReplayed:
		t.Served++
		if o.Status == StatusReplayed {
			t.Replayed++
		}
		if o.OnTime(classes) {
			t.OnTime++
		}
		t.latency.RecordValue(micros(o.EndAt - o.ArrivedAt))
	case StatusRejected:
		t.Rejected++
	case StatusFailed:
		t.Failed++
	default:
		t.Other++
	}
}

func (t *tallied) done() Summary {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	t.P50, t.P99, t.QueuedP99 = ms(t.latency, 50), ms(t.latency, 99), ms(t.held, 99)
	return t.Summary
}

// Summarize sums up tries by class and tenant, and all of them first.
func Summarize(outcomes []*Attempt, m capture.Meta, classes []admission.Class) []Summary {
	type group struct{ class, tenant int }
	all, groups := newTallied("all", "all"), map[group]*tallied{}
	var order []group
	for _, o := range outcomes {
		g := group{o.Class, o.Tenant}
		if groups[g] == nil {
			groups[g] = newTallied(nameOf(m.Classes, o.Class), nameOf(m.Tenants, o.Tenant))
			order = append(order, g)
		}
		groups[g].add(o, classes)
		all.add(o, classes)
	}
	slices.SortFunc(order, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.tenant, b.tenant))
	})
	tallies := []Summary{all.done()}
	for _, g := range order {
		tallies = append(tallies, groups[g].done())
	}
	return tallies
}

// RecordedSettings are those of the module in the first segment whose state can be read.
func RecordedSettings(segments []*capture.Segment) (admission.Settings, error) {
	for _, s := range segments {
		if s.Snapshot == nil {
			continue
		}
		in, err := admission.Restore(s.Snapshot, &ActionRecorder{})
		if err != nil {
			return admission.Settings{}, fmt.Errorf("%s: %w", s.Path, err)
		}
		return in.Settings(), nil
	}
	return admission.Settings{}, ErrNoState
}
