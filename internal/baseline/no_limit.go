package baseline

import "tillerusher/admission"

// noLimit runs whatever the guards let it run, at once.
type noLimit struct{ *host }

// NoLimit runs all at once and turns nothing away but for want of memory.
func NoLimit(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newHost(s, a)
	b.policy = noLimit{b}
	return b, nil
}

func (noLimit) admit(*request) verdict  { return verdictQueue }
func (p noLimit) nextToRun() *request   { return p.oldest() }
func (noLimit) runEnded(*request, bool) {}
func (noLimit) poll(admission.Gauges)   {}
