// What an Instance learned of run times, for a host that keeps it over a restart. How much an earlier
// process's knowledge counts is decided by internal/idempotency; nothing here decides.

package admission

import "time"

// ClassRunTime is what was learned of a class's runs.
type ClassRunTime struct {
	CoreTime time.Duration // core time of a whole run
	WallTime time.Duration // from the start of a run to its end
	Samples  int           // number of runs that this was learned from
}

// RunTimeEstimates is what is worth keeping over a restart: how long runs take. What follows the present
// load (tenants' rates, levels, backlogs, the concurrency limit) is harmful when it is old, and not part of
// it.
type RunTimeEstimates struct {
	Classes []ClassRunTime // by the settings' index
}

// ExportRunTimes returns what the Instance has learned so far.
func (in *Instance) ExportRunTimes() RunTimeEstimates {
	estimates := RunTimeEstimates{Classes: make([]ClassRunTime, len(in.classes))}
	for i := range in.classes {
		estimator := &in.classes[i].runTime
		estimates.Classes[i] = ClassRunTime{
			CoreTime: seconds(estimator.coreTime),
			WallTime: seconds(estimator.wallTime),
			Samples:  estimator.samples,
		}
	}
	return estimates
}

// ImportRunTimes takes over what an earlier Instance learned. A class of which this one has learned
// something by itself keeps that; in the others the Samples say how much the import counts against the
// first runs that are measured.
func (in *Instance) ImportRunTimes(estimates RunTimeEstimates) {
	for i := range min(len(estimates.Classes), len(in.classes)) {
		estimator := &in.classes[i].runTime
		imported := estimates.Classes[i]
		if estimator.samples != 0 || imported.CoreTime <= 0 || imported.Samples <= 0 {
			continue
		}
		estimator.coreTime = imported.CoreTime.Seconds()
		estimator.wallTime = imported.WallTime.Seconds()
		estimator.samples = imported.Samples
	}
}
