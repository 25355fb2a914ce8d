package baseline

import "tillerusher/admission"

// noLimit runs requests in the order of reading, as soon as the host allows.
type noLimit struct{ *host }

// NoLimit returns a policy that runs each request as soon as the host allows and never rejects one. The host itself still
// rejects requests for lack of memory and after the grace period of a drain.
func NoLimit(s admission.Settings, a admission.Actions) (admission.Events, error) {
	h := newHost(s, a)
	h.policy = noLimit{h}
	return h, nil
}

func (n noLimit) admit(*request) verdict { return verdictQueue }

func (n noLimit) nextToRun() *request { return n.oldest() }

func (n noLimit) runEnded(*request, bool) {}

func (n noLimit) poll(admission.Gauges) {}
