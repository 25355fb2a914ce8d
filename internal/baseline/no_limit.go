package baseline

import "tillerusher/admission"

// noLimit runs whatever the host allows, at once.
type noLimit struct{ *host }

// NoLimit runs each request at once and rejects none but for lack of memory.
func NoLimit(s admission.Settings, a admission.Actions) (admission.Events, error) {
	h := newHost(s, a)
	h.policy = noLimit{h}
	return h, nil
}

func (n noLimit) admit(*request) verdict { return verdictQueue }

func (n noLimit) nextToRun() *request { return n.oldest() }

func (n noLimit) runEnded(*request, bool) {}

func (n noLimit) poll(admission.Gauges) {}
