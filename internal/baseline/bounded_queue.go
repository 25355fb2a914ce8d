package baseline

import "tillerusher/admission"

// boundedQueue is a plain pool: so many run, so many more wait in the order of reading, all others are turned away.
type boundedQueue struct {
	*host
	runLimit, queueLimit int
}

// BoundedQueue is a plain pool with a line of a length: each core runs and keeps waiting so many. A negative wait is any number.
func BoundedQueue(run, wait int) func(admission.Settings, admission.Actions) (admission.Events, error) {
	return func(s admission.Settings, a admission.Actions) (admission.Events, error) {
		b := newHost(s, a)
		l := &boundedQueue{b, run * s.Cores, wait * s.Cores}
		b.policy = l
		return b, nil
	}
}

func (l *boundedQueue) admit(*request) verdict {
	if l.queueLimit >= 0 && l.running+len(l.queue) >= l.runLimit+l.queueLimit {
		return verdictReject
	}
	return verdictQueue
}

func (l *boundedQueue) nextToRun() *request {
	if l.running >= l.runLimit {
		return nil
	}
	return l.oldest()
}

func (l *boundedQueue) runEnded(*request, bool) {}
func (l *boundedQueue) poll(admission.Gauges)   {}
