package baseline

import (
	"time"

	"tillerusher/admission"
)

const (
	runTimeSmoothing = 1.0 / 12 // weight of one run in the learned run time of its class
	minRunSeconds    = 1e-3     // run time that is assumed at least, before any is learned
)

// weightPriority runs the requests of the highest weight per second of run time first, and rejects those that would miss
// their objective behind them.
type weightPriority struct {
	*host
	runSeconds []float64 // learned, by class
}

// WeightPriority orders the queue by the weight of a class per second of run time. A request is rejected if it would wait
// beyond its latency objective behind those before it.
func WeightPriority(s admission.Settings, a admission.Actions) (admission.Events, error) {
	h := newHost(s, a)
	h.policy = &weightPriority{host: h, runSeconds: make([]float64, len(s.Classes))}
	return h, nil
}

// weightPerSecond is the weight that a class earns per second of run time.
func (w *weightPriority) weightPerSecond(class int) float64 {
	return w.settings.Classes[class].Weight / max(w.runSeconds[class], minRunSeconds)
}

func (w *weightPriority) admit(arrival *request) verdict {
	wait := 0.0
	for _, queued := range w.queue {
		if w.weightPerSecond(queued.Class) >= w.weightPerSecond(arrival.Class) {
			wait += w.runSeconds[queued.Class]
		}
	}
	left := w.settings.Classes[arrival.Class].LatencyObjective - arrival.QueueingDelay
	if wait/float64(w.settings.Cores) > left.Seconds() {
		return verdictReject
	}
	return verdictQueue
}

func (w *weightPriority) nextToRun() *request {
	if w.running >= w.settings.Cores*runsPerTwoCores/2 {
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

// runEnded learns the time that the run would have taken on a core of its own.
func (w *weightPriority) runEnded(r *request, succeeded bool) {
	if !succeeded {
		return
	}
	elapsed := (w.now - r.startedAt).Seconds()
	coreSeconds := elapsed * min(1, float64(w.settings.Cores)/float64(w.running+1))
	w.runSeconds[r.Class] += (coreSeconds - w.runSeconds[r.Class]) * runTimeSmoothing
}

// poll rejects queued requests that have missed their objective.
func (w *weightPriority) poll(admission.Gauges) {
	for i := 0; i < len(w.queue); {
		r := w.queue[i]
		runTime := time.Duration(float64(time.Second) * w.runSeconds[r.Class])
		if w.now-r.arrivedAt > w.settings.Classes[r.Class].LatencyObjective+runTime {
			w.reject(r) // which removes it from the queue
		} else {
			i++
		}
	}
}
