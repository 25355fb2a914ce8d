// Export and import of learned run times, for a host that keeps them over a restart. How much those of an
// earlier process count is decided by internal/idempotency; nothing here decides.

package admission

import "time"

// ClassRunTime is the learned run time of a class.
type ClassRunTime struct {
	CoreTime time.Duration // core time of a whole run
	WallTime time.Duration // from the start of a run to its end
	Samples  int           // number of runs that this was learned from
}

// RunTimeEstimates are the run times learned by an Instance, the part of its state that is useful after a
// restart. What depends on the present load (tenants' rates, levels, backlogs, the concurrency limit) does
// harm when it is old and is left out.
type RunTimeEstimates struct {
	Classes []ClassRunTime // by the settings' index
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

// ImportRunTimes imports the run times of an earlier Instance. A class with samples of this Instance keeps
// its own estimate. In the others the imported Samples are the weight of the import against the first runs
// that are measured.
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
