package baseline

import "tillerusher/admission"

// noLimit runs whatever the guards let it run, at once.
type noLimit struct{ *base }

// NoLimit runs all at once and turns nothing away but for want of memory.
func NoLimit(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newBase(s, a)
	b.policy = noLimit{b}
	return b, nil
}

func (noLimit) admit(*request) verdict { return hold }
func (p noLimit) next() *request       { return p.first() }
func (noLimit) ended(*request, bool)   {}
func (noLimit) look(admission.Gauges)  {}
