package baseline

import "tillerusher/admission"

// boundedQueue is a worker pool with a bounded FIFO queue. A limited number of requests runs, a limited number waits in the
// order of reading, and all others are rejected.
type boundedQueue struct {
	*host
	runLimit   int
	queueLimit int // negative means unlimited
}

// BoundedQueue returns the factory of a worker pool with a bounded FIFO queue. Both limits are per core. A negative
// queuePerCore means an unlimited queue.
func BoundedQueue(runPerCore, queuePerCore int) func(admission.Settings, admission.Actions) (admission.Events, error) {
	return func(s admission.Settings, a admission.Actions) (admission.Events, error) {
		h := newHost(s, a)
		h.policy = &boundedQueue{host: h, runLimit: runPerCore * s.Cores, queueLimit: queuePerCore * s.Cores}
		return h, nil
	}
}

func (b *boundedQueue) admit(*request) verdict {
	if b.queueLimit >= 0 && b.running+len(b.queue) >= b.runLimit+b.queueLimit {
		return verdictReject
	}
	return verdictQueue
}

func (b *boundedQueue) nextToRun() *request {
	if b.running >= b.runLimit {
		return nil
	}
	return b.oldest()
}

func (b *boundedQueue) runEnded(*request, bool) {}

func (b *boundedQueue) poll(admission.Gauges) {}
