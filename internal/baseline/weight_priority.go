package baseline

import (
	"time"

	"tillerusher/admission"
)

const (
	runTimeSmoothing = 1.0 / 12 // weight of a new run in the moving average of its class's run time
	minRunSeconds    = 1e-3     // lower bound of the run time, which applies until runs have been measured
)

// weightPriority runs the requests with the highest weight per second of run time first. It rejects requests that would
// miss their latency objective because of the requests before them.
type weightPriority struct {
	*host
	runSeconds []float64 // moving average of the run time, by class
}

// WeightPriority returns a policy that orders the queue by the weight of a class per second of run time. It rejects a
// request if the expected wait behind the requests before it exceeds its latency objective.
func WeightPriority(s admission.Settings, a admission.Actions) (admission.Events, error) {
	h := newHost(s, a)
	h.policy = &weightPriority{host: h, runSeconds: make([]float64, len(s.Classes))}
	return h, nil
}

// weightPerSecond returns the weight of a class per second of run time.
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

// runEnded updates the run time of the request's class with an estimate of the time that the run would have taken on a core
// that it didn't share.
func (w *weightPriority) runEnded(r *request, succeeded bool) {
	if !succeeded {
		return
	}
	elapsed := (w.now - r.startedAt).Seconds()
	coreSeconds := elapsed * min(1, float64(w.settings.Cores)/float64(w.running+1))
	w.runSeconds[r.Class] += (coreSeconds - w.runSeconds[r.Class]) * runTimeSmoothing
}

// poll rejects queued requests that have waited longer than their latency objective and the run time of their class.
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
