package baseline

import (
	"time"

	"tillerusher/admission"
)

// worth runs the worthiest first and turns the least worthy away when the line is too long for its aims.
type worth struct {
	*base
	times []float64 // learned seconds of a run, by class
}

// WeightPriority goes by the worth of classes: the line is in the order of worth for the time of a run, and what would wait beyond
// its aim behind those before it is turned away.
func WeightPriority(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newBase(s, a)
	b.policy = &worth{base: b, times: make([]float64, len(s.Classes))}
	return b, nil
}

// value is what a class brings for the time that it takes.
func (w *worth) value(class int) float64 {
	return w.set.Classes[class].Weight / max(w.times[class], 1e-3)
}

func (w *worth) admit(r *request) verdict {
	wait := 0.0
	for _, h := range w.hold {
		if w.value(h.Class) >= w.value(r.Class) {
			wait += w.times[h.Class]
		}
	}
	if wait/float64(w.set.Cores) > (w.set.Classes[r.Class].LatencyObjective - r.QueueingDelay).Seconds() {
		return refuse
	}
	return hold
}

func (w *worth) next() *request {
	if w.running >= w.set.Cores*3/2 {
		return nil
	}
	best := w.hold[0]
	for _, r := range w.hold[1:] {
		if w.value(r.Class) > w.value(best.Class) {
			best = r
		}
	}
	return best
}

// learnPart is the weight of one run in the learned time of its class.
const learnPart = 1.0 / 12

func (w *worth) ended(r *request, ok bool) {
	if took := (w.now - r.began).Seconds() * min(1, float64(w.set.Cores)/float64(w.running+1)); ok {
		w.times[r.Class] += (took - w.times[r.Class]) * learnPart
	}
}

// look turns away what is past its aim.
func (w *worth) look(admission.Gauges) {
	for i := 0; i < len(w.hold); {
		if r := w.hold[i]; w.now-r.came > w.set.Classes[r.Class].LatencyObjective+time.Duration(float64(time.Second)*w.times[r.Class]) {
			w.turnAway(r)
		} else {
			i++
		}
	}
}
