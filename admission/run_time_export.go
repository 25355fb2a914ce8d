// Export and import of learned run times, for a host that keeps them across a restart. internal/idempotency decides
// how much weight the run times of an earlier process have; this file makes no decisions.

package admission

import "time"

// ClassRunTime is the learned run time of a class.
type ClassRunTime struct {
	CoreTime time.Duration // core time of a complete run
	WallTime time.Duration // from the start of a run to its end
	Samples  int           // number of runs that the times were learned from
}

// RunTimeEstimates are the run times that an Instance has learned: the part of its state that is useful after a
// restart. State that depends on the present load (tenants' rates, levels, backlogs, the concurrency limit) does harm
// when it is old, and is not exported.
type RunTimeEstimates struct {
	Classes []ClassRunTime // by index into Settings.Classes
}

// ExportRunTimes returns the run times that the Instance has learned so far.
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

// ImportRunTimes imports the run times of an earlier Instance. A class that already has samples of this Instance
// keeps its own estimate. For the other classes, the imported Samples are the weight of the import relative to the
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
