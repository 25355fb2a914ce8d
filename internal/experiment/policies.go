package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tillerusher/internal/baseline"
	"tillerusher/internal/clustersim"
)

// modulePolicy is the name of the admission module among the policies.
const modulePolicy = "module"

// PolicyNames returns the names of all policies in alphabetical order, except that the module's name is first.
func PolicyNames() []string {
	names := slices.Sorted(maps.Keys(policyFactories()))
	i := slices.Index(names, modulePolicy)
	return append([]string{modulePolicy}, slices.Delete(names, i, i+1)...)
}

// policyFactories returns the factories of all policies, by the names that files and commands use.
func policyFactories() map[string]clustersim.PolicyFactory {
	return map[string]clustersim.PolicyFactory{
		modulePolicy:  clustersim.AdmissionModule,
		"line":        baseline.BoundedQueue(2, 4),
		"nolimit":     baseline.NoLimit,
		"codel":       baseline.CoDel,
		"gradient":    baseline.Gradient,
		"worth":       baseline.WeightPriority,
		"remembering": newPersistentModule(),
	}
}

// LookupPolicy returns the factory of the policy with the name. It must be called again for each run, because some
// factories keep state between the processes of a run.
func LookupPolicy(name string) (clustersim.PolicyFactory, error) {
	if p, ok := policyFactories()[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("no policy is called %q, want one of %s", name, strings.Join(PolicyNames(), ", "))
}
