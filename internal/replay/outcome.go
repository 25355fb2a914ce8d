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

// Outcome is how one try ended.
type Outcome struct {
	ID      admission.RequestID `json:"id"`
	Wire    string              `json:"request_id,omitempty"`
	Class   int                 `json:"class"`
	Tenant  int                 `json:"tenant"`
	Retry   bool                `json:"retry,omitempty"`
	Arrived time.Duration       `json:"arrived"` // at the machine
	Read    time.Duration       `json:"read"`
	RunAt   time.Duration       `json:"run_at,omitempty"` // 0 = not run
	RunEnd  time.Duration       `json:"run_end,omitempty"`
	Work    time.Duration       `json:"work,omitempty"` // time of a core that its run took, the cores shared evenly
	Ending  Ending              `json:"ending"`
	EndAt   time.Duration       `json:"end_at,omitempty"`
}

// OnTime tells whether the try was served within its class's aim.
func (o *Outcome) OnTime(classes []admission.Class) bool {
	return o.good() && o.Class < len(classes) && o.EndAt-o.Arrived <= classes[o.Class].Aim
}

func (o *Outcome) good() bool { return o.Ending == Served || o.Ending == Reused }

// ledger follows tries to their ends.
type ledger struct {
	cores   float64
	order   []*Outcome
	byID    map[admission.RequestID]*Outcome
	running int
	clock   float64 // seconds of core time of a try that had always been running
	begun   map[admission.RequestID]float64
	now     time.Duration
}

func newLedger(cores int) *ledger {
	return &ledger{cores: float64(cores), byID: map[admission.RequestID]*Outcome{}, begun: map[admission.RequestID]float64{}}
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
	if r.Kind == capture.Request {
		o := &Outcome{ID: r.ID, Wire: wire, Class: r.Asked.Class, Tenant: r.Asked.Tenant, Retry: r.Asked.Retry,
			Arrived: r.At - r.Asked.Waited, Read: r.At, Ending: Open}
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
		if o.Ending, ended = ending(o.Ending, r); ended {
			o.EndAt = r.At
		}
	}
	switch r.Kind {
	case capture.Run:
		o.RunAt = r.At
		l.running++
		l.begun[r.ID] = l.clock
	case capture.Done:
		if at, ran := l.begun[r.ID]; ran {
			delete(l.begun, r.ID)
			l.running--
			o.RunEnd, o.Work = r.At, time.Duration((l.clock-at)*float64(time.Second))
		}
		delete(l.byID, r.ID) // nothing more can happen to it
	}
}

// Outcomes are the ends of all tries of one start of the server, as they were recorded.
func Outcomes(segments []*capture.Segment, cores int) ([]*Outcome, error) {
	l := newLedger(cores)
	names := map[admission.RequestID]string{}
	for _, s := range segments {
		err := s.Each(func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.Names {
				names[r.ID] = r.Text
				return nil
			}
			l.record(r, names[r.ID])
			if r.Kind == capture.Request {
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

// Tally sums up the ends of a group of tries. Times are in milliseconds.
type Tally struct {
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant"`
	Tries   int     `json:"tries"`
	Retries int     `json:"retries"`
	Served  int     `json:"served"`
	Reused  int     `json:"reused"`
	OnTime  int     `json:"on_time"` // of those served
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Other   int     `json:"other"` // left, errored or open
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"` // of those served, from their arrival at the machine
	HeldP99 float64 `json:"held_p99_ms"`
}

// tallied is a tally in the making.
type tallied struct {
	Tally
	latency, held *hdrhistogram.Histogram
}

// longestLatency is the longest latency that is told apart.
const longestLatency = 10 * time.Minute

func newTallied(class, tenant string) *tallied {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency.Microseconds(), 3) }
	return &tallied{Tally: Tally{Class: class, Tenant: tenant}, latency: h(), held: h()}
}

func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), 1), longestLatency.Microseconds())
}

func (t *tallied) add(o *Outcome, classes []admission.Class) {
	t.Tries++
	if o.Retry {
		t.Retries++
	}
	if o.RunAt > 0 {
		t.held.RecordValue(micros(o.RunAt - o.Read))
	}
	switch o.Ending {
	case Served, Reused:
		t.Served++
		if o.Ending == Reused {
			t.Reused++
		}
		if o.OnTime(classes) {
			t.OnTime++
		}
		t.latency.RecordValue(micros(o.EndAt - o.Arrived))
	case Refused:
		t.Refused++
	case Failed:
		t.Failed++
	default:
		t.Other++
	}
}

func (t *tallied) done() Tally {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	t.P50, t.P99, t.HeldP99 = ms(t.latency, 50), ms(t.latency, 99), ms(t.held, 99)
	return t.Tally
}

// Tallies sums up tries by class and tenant, and all of them first.
func Tallies(outcomes []*Outcome, m capture.Meta, classes []admission.Class) []Tally {
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
	tallies := []Tally{all.done()}
	for _, g := range order {
		tallies = append(tallies, groups[g].done())
	}
	return tallies
}

// Settings are those of the module in the first segment whose state can be read.
func Settings(segments []*capture.Segment) (admission.Settings, error) {
	for _, s := range segments {
		if s.Snapshot == nil {
			continue
		}
		in, err := admission.Restore(s.Snapshot, &Sink{})
		if err != nil {
			return admission.Settings{}, fmt.Errorf("%s: %w", s.Path, err)
		}
		return in.Settings(), nil
	}
	return admission.Settings{}, ErrNoState
}
