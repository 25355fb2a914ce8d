// What an Instance has learned of its classes, apart from what is in hand, and an Instance told of it at its start. How much
// an earlier process's knowledge counts is decided by internal/idempotency; nothing here decides.

package admission

import "time"

// ClassRunTime is what was learned of a class.
type ClassRunTime struct {
	CoreTime time.Duration // core time of a whole run
	WallTime time.Duration // from the start of a run to its end
	Samples  int           // that this was learned from
}

// RunTimeEstimates is what is worth keeping over a restart: how long runs take. What follows the load of the moment (tenants' rates,
// levels, backlogs, the running limit) is harmful when it is old, and not part of it.
type RunTimeEstimates struct {
	Classes []ClassRunTime // by the settings' index
}

// RunTimeEstimates is what the Instance has learned so far.
func (in *Instance) ExportRunTimes() RunTimeEstimates {
	l := RunTimeEstimates{Classes: make([]ClassRunTime, len(in.classes))}
	for i, c := range in.classes {
		l.Classes[i] = ClassRunTime{CoreTime: seconds(c.coreTime), WallTime: seconds(c.wallTime), Samples: c.samples}
	}
	return l
}

// ImportRunTimes tells an Instance what an earlier one learned. A class of which it has learned something by itself keeps that; in
// the others the Runs say how much what is recalled counts against the first runs that are measured.
func (in *Instance) ImportRunTimes(l RunTimeEstimates) {
	for i := range min(len(l.Classes), len(in.classes)) {
		c, from := &in.classes[i], l.Classes[i]
		if c.samples == 0 && from.CoreTime > 0 && from.Samples > 0 {
			c.coreTime, c.wallTime, c.samples = from.CoreTime.Seconds(), from.WallTime.Seconds(), from.Samples
		}
	}
}
