package baseline

import (
	"time"

	"tillerusher/admission"
)

// weightPriority runs the worthiest first and turns the least worthy away when the line is too long for its aims.
type weightPriority struct {
	*host
	runSeconds []float64 // learned seconds of a run, by class
}

// WeightPriority goes by the worth of classes: the line is in the order of worth for the time of a run, and what would wait beyond
// its aim behind those before it is turned away.
func WeightPriority(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newHost(s, a)
	b.policy = &weightPriority{host: b, runSeconds: make([]float64, len(s.Classes))}
	return b, nil
}

// weightPerSecond is what a class brings for the time that it takes.
func (w *weightPriority) weightPerSecond(class int) float64 {
	return w.settings.Classes[class].Weight / max(w.runSeconds[class], 1e-3)
}

func (w *weightPriority) admit(r *request) verdict {
	wait := 0.0
	for _, h := range w.queue {
		if w.weightPerSecond(h.Class) >= w.weightPerSecond(r.Class) {
			wait += w.runSeconds[h.Class]
		}
	}
	if wait/float64(w.settings.Cores) > (w.settings.Classes[r.Class].LatencyObjective - r.QueueingDelay).Seconds() {
		return verdictReject
	}
	return verdictQueue
}

func (w *weightPriority) nextToRun() *request {
	if w.running >= w.settings.Cores*3/2 {
		return nil
	}
	best := w.queue[0]
	for _, r := range w.queue[1:] {
		if w.weightPerSecond(r.Class) > w.weightPerSecond(best.Class) {
			best = r
		}
	}
	return best
}

// runTimeSmoothing is the weight of one run in the learned time of its class.
const runTimeSmoothing = 1.0 / 12

func (w *weightPriority) runEnded(r *request, ok bool) {
	if took := (w.now - r.startedAt).Seconds() * min(1, float64(w.settings.Cores)/float64(w.running+1)); ok {
		w.runSeconds[r.Class] += (took - w.runSeconds[r.Class]) * runTimeSmoothing
	}
}

// poll turns away what is past its aim.
func (w *weightPriority) poll(admission.Gauges) {
	for i := 0; i < len(w.queue); {
		if r := w.queue[i]; w.now-r.arrivedAt > w.settings.Classes[r.Class].LatencyObjective+time.Duration(float64(time.Second)*w.runSeconds[r.Class]) {
			w.reject(r)
		} else {
			i++
		}
	}
}
