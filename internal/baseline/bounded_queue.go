package baseline

import "tillerusher/admission"

// line is a plain pool: so many run, so many more wait in the order of reading, all others are turned away.
type line struct {
	*base
	run, wait int
}

// BoundedQueue is a plain pool with a line of a length: each core runs and keeps waiting so many. A negative wait is any number.
func BoundedQueue(run, wait int) func(admission.Settings, admission.Actions) (admission.Events, error) {
	return func(s admission.Settings, a admission.Actions) (admission.Events, error) {
		b := newBase(s, a)
		l := &line{b, run * s.Cores, wait * s.Cores}
		b.policy = l
		return b, nil
	}
}

func (l *line) admit(*request) verdict {
	if l.wait >= 0 && l.running+len(l.hold) >= l.run+l.wait {
		return refuse
	}
	return hold
}

func (l *line) next() *request {
	if l.running >= l.run {
		return nil
	}
	return l.first()
}

func (l *line) ended(*request, bool)  {}
func (l *line) look(admission.Gauges) {}
