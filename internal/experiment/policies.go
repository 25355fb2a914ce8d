package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tillerusher/admission"
	"tillerusher/internal/baseline"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/idempotency"
)

// PolicyNames are the names of all policies, the module's first.
func PolicyNames() []string {
	names := slices.Sorted(maps.Keys(policyFactories()))
	i := slices.Index(names, "module")
	return append([]string{"module"}, slices.Delete(names, i, i+1)...)
}

func policyFactories() map[string]clustersim.PolicyFactory {
	return map[string]clustersim.PolicyFactory{"module": clustersim.AdmissionModule, "line": baseline.BoundedQueue(2, 4), "nolimit": baseline.NoLimit, "codel": baseline.CoDel,
		"gradient": baseline.Gradient, "worth": baseline.WeightPriority, "remembering": newPersistentModule()}
}

// newPersistentModule is the module on servers whose folders survive: a process that starts is told what one before it learned. It
// is made anew for each run, which one goroutine plays.
func newPersistentModule() clustersim.PolicyFactory {
	var before []*admission.Instance
	return func(s admission.Settings, a admission.Actions) (admission.Events, error) {
		in, err := admission.New(s, a)
		if err != nil {
			return nil, err
		}
		for _, old := range before {
			l := idempotency.RunTimes{}
			for i, c := range old.ExportRunTimes().Classes {
				l.Classes = append(l.Classes, idempotency.ClassRunTime{Name: fmt.Sprint(i), CoreTime: c.CoreTime, WallTime: c.WallTime, Samples: c.Samples})
			}
			if kept := l.WeightByAge(l.SavedAt, ""); len(kept) == len(s.Classes) {
				var told admission.RunTimeEstimates
				for _, c := range kept {
					told.Classes = append(told.Classes, admission.ClassRunTime{CoreTime: c.CoreTime, WallTime: c.WallTime, Samples: c.Samples})
				}
				in.ImportRunTimes(told)
				break
			}
		}
		before = append(before, in)
		return in, nil
	}
}

// LookupPolicy is the policy of a name.
func LookupPolicy(name string) (clustersim.PolicyFactory, error) {
	if p, ok := policyFactories()[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("no policy is called %q, want one of %s", name, strings.Join(PolicyNames(), ", "))
}
