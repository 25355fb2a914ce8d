package experiment

import (
	"math"
	"path/filepath"
	"slices"

	"tillerusher/internal/clustersim"
	"tillerusher/internal/sexp"
)

// fields are the functions that read forms, by the names of the forms.
type fields = map[string]func(sexp.Node) error

// Limits and defaults of the numbers in an experiment file.
const (
	maxSeeds         = 1_000_000
	maxWorkloads     = 100_000 // generated workloads of each kind
	maxSweepPoints   = 1_000_000
	maxSteps         = 10_000
	defaultSeeds     = 5
	defaultSteps     = 5
	defaultSweepSeed = 1
	firstWorkload    = 1 // number of the first generated workload
	minVariableArgs  = 2 // FROM and TO
	maxVariableArgs  = 3 // FROM, TO and STEPS
)

// readExperiment reads the forms of a file. An experiment without (name ...) has the file's base name.
func readExperiment(file string, forms []sexp.Node) (*Experiment, error) {
	experiment := &Experiment{
		Name:     filepath.Base(file),
		Config:   clustersim.DefaultConfig(),
		Policies: []string{modulePolicy},
		Sweep:    Sweep{Method: Grid, Seed: defaultSweepSeed},
	}
	seeds := defaultSeeds
	readWorld := func(n sexp.Node) error {
		experiment.configForm = n.Source()
		return readConfig(n.Args(), &experiment.Config)
	}
	err := sexp.ReadForms(forms, fields{
		"name":     sexp.Text(&experiment.Name),
		"world":    readWorld,
		"days":     func(n sexp.Node) error { return readWorkloads(n, &experiment.Workloads) },
		"policies": func(n sexp.Node) error { return readPolicies(n, &experiment.Policies) },
		"seeds":    sexp.Int(&seeds, 1, maxSeeds),
		"sweep":    func(n sexp.Node) error { return readSweep(n, &experiment.Sweep) },
	}, nil)
	if err != nil {
		return nil, err
	}
	experiment.Seeds = uint64(seeds)
	if experiment.Config.Name == clustersim.DefaultConfig().Name {
		experiment.Config.Name = experiment.Name
	}
	if experiment.Workloads.Count > 0 && len(experiment.Sweep.Variables) > 0 && experiment.Sweep.Method != Grid {
		return nil, sexp.Errorf(forms[0].Pos, "(days ...) can only be combined with (sweep (how grid) ...) or no sweep")
	}
	return experiment, nil
}

// readPolicies reads (policies NAME ...).
func readPolicies(n sexp.Node, to *[]string) error {
	*to = nil
	for _, arg := range n.Args() {
		if _, err := LookupPolicy(arg.Text); err != nil || arg.Kind == sexp.List {
			return sexp.Errorf(arg.Pos, "found %v, want one of the policies %v", arg, PolicyNames())
		}
		if slices.Contains(*to, arg.Text) {
			return sexp.Errorf(arg.Pos, "policy %s is given twice", arg.Text)
		}
		*to = append(*to, arg.Text)
	}
	if len(*to) == 0 {
		return sexp.Errorf(n.Pos, "(policies ...) is empty, want one or more of %v", PolicyNames())
	}
	return nil
}

// readWorkloads reads (days (count N) (from N) (kinds KIND ...)).
func readWorkloads(n sexp.Node, to *WorkloadRange) error {
	from := firstWorkload
	err := sexp.ReadForms(n.Args(), fields{
		"count": sexp.Int(&to.Count, 1, maxWorkloads),
		"from":  sexp.Int(&from, 0, math.MaxInt32),
		"kinds": func(kinds sexp.Node) error { return readWorkloadKinds(kinds, &to.Kinds) },
	}, nil)
	if err == nil && to.Count == 0 {
		err = sexp.Errorf(n.Pos, "(days ...) needs (count N)")
	}
	if to.From = uint64(from); len(to.Kinds) == 0 {
		to.Kinds = clustersim.WorkloadKinds()
	}
	return err
}

// readWorkloadKinds reads (kinds KIND ...).
func readWorkloadKinds(n sexp.Node, to *[]clustersim.WorkloadKind) error {
	for _, arg := range n.Args() {
		kind := clustersim.WorkloadKind(arg.Text)
		if !isWorkloadKind(kind) {
			return sexp.Errorf(arg.Pos, "found %v, want one of the kinds of day %v", arg, clustersim.WorkloadKinds())
		}
		*to = append(*to, kind)
	}
	return nil
}

// isWorkloadKind reports whether clustersim generates workloads of a kind.
func isWorkloadKind(kind clustersim.WorkloadKind) bool {
	return slices.Contains(clustersim.WorkloadKinds(), kind)
}

// readSweep reads (sweep (how METHOD) (count N) (seed N) (vary ...) ...).
func readSweep(n sexp.Node, to *Sweep) error {
	method, seed := string(to.Method), defaultSweepSeed
	err := sexp.ReadForms(n.Args(), fields{
		"how":   sexp.OneOf(&method, string(Grid), string(RandomPoints), string(LatinHypercube)),
		"count": sexp.Int(&to.Count, 1, maxSweepPoints),
		"seed":  sexp.Int(&seed, 0, math.MaxInt32),
	}, fields{
		"vary": func(form sexp.Node) error {
			v, err := readVariable(form)
			to.Variables = append(to.Variables, v)
			return err
		},
	})
	to.Method = SweepMethod(method)
	to.Seed = uint64(seed)
	switch {
	case err != nil:
		return err
	case len(to.Variables) == 0:
		return sexp.Errorf(n.Pos, "(sweep ...) has no variables, want (vary NAME FROM TO)")
	case to.Method != Grid && to.Count == 0:
		return sexp.Errorf(n.Pos, "(sweep (how %s) ...) needs (count N)", to.Method)
	}
	return nil
}

// readVariable reads (vary NAME FROM TO [STEPS]).
func readVariable(n sexp.Node) (variable Variable, err error) {
	if variable.Name, err = n.WordAt(1, "the name of a variable"); err != nil {
		return variable, err
	}
	if variable.apply, err = findVariable(variable.Name); err != nil {
		return variable, sexp.Errorf(n.Pos, "%v", err)
	}
	args := n.ItemsFrom(2)
	if len(args) < minVariableArgs || len(args) > maxVariableArgs {
		return variable, sexp.Errorf(n.Pos, "want (vary NAME FROM TO) or (vary NAME FROM TO STEPS)")
	}
	numbers := [maxVariableArgs]float64{0, 0, defaultSteps}
	for i, arg := range args {
		if numbers[i], err = arg.Float(); err != nil {
			return variable, err
		}
	}
	steps := numbers[2]
	variable.Min = numbers[0]
	variable.Max = numbers[1]
	variable.Steps = int(steps)
	if variable.Max < variable.Min || variable.Steps < 1 || variable.Steps > maxSteps || float64(variable.Steps) != steps {
		return variable, sexp.Errorf(n.Pos, "(vary %s ...) goes from %v to %v in %v steps, want FROM <= TO and 1 to 10,000 steps",
			variable.Name, variable.Min, variable.Max, steps)
	}
	return variable, nil
}
