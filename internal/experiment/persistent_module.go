package experiment

import (
	"strconv"

	"tillerusher/admission"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/idempotency"
)

// newPersistentModule returns a factory of the admission module on servers with durable state: a process that starts
// imports the run times that an earlier process of the same run learned. The factory keeps state between processes, so each
// run needs a new factory.
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

// storedRunTimes returns the run times of an instance as they are after being stored and read again without delay. ok is
// false if there are not usable run times for all classes.
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
