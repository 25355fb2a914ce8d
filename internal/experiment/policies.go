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

// Policies are the names of all policies, the module's first.
func Policies() []string {
	names := slices.Sorted(maps.Keys(policies()))
	i := slices.Index(names, "module")
	return append([]string{"module"}, slices.Delete(names, i, i+1)...)
}

func policies() map[string]clustersim.Policy {
	return map[string]clustersim.Policy{"module": clustersim.Module, "line": baseline.Line(2, 4), "nolimit": baseline.NoLimit, "codel": baseline.CoDel,
		"gradient": baseline.Gradient, "worth": baseline.Worth, "remembering": remembering()}
}

// remembering is the module on servers whose folders survive: a process that starts is told what one before it learned. It
// is made anew for each run, which one goroutine plays.
func remembering() clustersim.Policy {
	var before []*admission.Instance
	return func(s admission.Settings, a admission.Actions) (admission.Events, error) {
		in, err := admission.New(s, a)
		if err != nil {
			return nil, err
		}
		for _, old := range before {
			l := idempotency.Learned{}
			for i, c := range old.Learned().Classes {
				l.Classes = append(l.Classes, idempotency.LearnedClass{Name: fmt.Sprint(i), Run: c.Run, Wall: c.Wall, Runs: c.Runs})
			}
			if kept := l.Weigh(l.Saved, ""); len(kept) == len(s.Classes) {
				var told admission.Learned
				for _, c := range kept {
					told.Classes = append(told.Classes, admission.LearnedClass{Run: c.Run, Wall: c.Wall, Runs: c.Runs})
				}
				in.Recall(told)
				break
			}
		}
		before = append(before, in)
		return in, nil
	}
}

// PolicyOf is the policy of a name.
func PolicyOf(name string) (clustersim.Policy, error) {
	if p, ok := policies()[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("no policy is called %q, want one of %s", name, strings.Join(Policies(), ", "))
}
