package experiment

import (
	"strconv"

	"tillerusher/admission"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/idempotency"
)

// newPersistentModule returns the admission module on servers with durable state: a process that starts imports the run times
// that an earlier process of the same run learned. It keeps state between processes, so that each run needs one of its own.
func newPersistentModule() clustersim.PolicyFactory {
	var earlier []*admission.Instance
	return func(s admission.Settings, a admission.Actions) (admission.Events, error) {
		instance, err := admission.New(s, a)
		if err != nil {
			return nil, err
		}
		for _, other := range earlier {
			if estimates, ok := storedRunTimes(other, len(s.Classes)); ok {
				instance.ImportRunTimes(estimates)
				break
			}
		}
		earlier = append(earlier, instance)
		return instance, nil
	}
}

// storedRunTimes returns the run times of an instance as they are after they have been stored and read again at once; ok is
// false if they don't count for all classes.
func storedRunTimes(instance *admission.Instance, classes int) (estimates admission.RunTimeEstimates, ok bool) {
	var stored idempotency.RunTimes
	for i, c := range instance.ExportRunTimes().Classes {
		stored.Classes = append(stored.Classes, idempotency.ClassRunTime{
			Name:     strconv.Itoa(i),
			CoreTime: c.CoreTime,
			WallTime: c.WallTime,
			Samples:  c.Samples,
		})
	}
	kept := stored.WeightByAge(stored.SavedAt, "")
	if len(kept) != classes {
		return admission.RunTimeEstimates{}, false
	}
	for _, c := range kept {
		estimates.Classes = append(estimates.Classes, admission.ClassRunTime{CoreTime: c.CoreTime, WallTime: c.WallTime, Samples: c.Samples})
	}
	return estimates, true
}
