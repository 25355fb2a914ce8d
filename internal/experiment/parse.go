package experiment

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/capture"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/sexp"
)

// Experiment is what a file says.
type Experiment struct {
	Name      string
	Config    clustersim.Config
	Workloads WorkloadRange // in place of the world, where Count is not 0
	Policies  []string
	Seeds     uint64 // of each point, from 1 on
	Sweep     Sweep

	configForm string
}

// WorkloadRange are days drawn from the brief's ranges.
type WorkloadRange struct {
	Kinds []clustersim.WorkloadKind
	Count int // of each kind
	From  uint64
}

// Sweep says what is varied.
type Sweep struct {
	Method    string // grid, random or latin
	Count     int    // of points, but for grids
	Seed      uint64
	Variables []Variable
}

// Variable is one thing that is varied.
type Variable struct {
	Name     string
	Min, Max float64
	Steps    int // of a grid
	apply    func(*clustersim.Config, float64)
}

// ConfigForm is the form of the file that says what its world is, as text, or "" where it has none.
func (e *Experiment) ConfigForm() string { return e.configForm }

// Load reads an experiment and all that its file includes.
func Load(path string) (*Experiment, error) {
	forms, err := sexp.ParseFiles(path, os.ReadFile, filepath.Glob)
	if err != nil {
		return nil, err
	}
	return readExperiment(path, forms)
}

// Parse reads an experiment from one text without includes.
func Parse(file string, text []byte) (*Experiment, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readExperiment(file, forms)
}

func readExperiment(file string, forms []sexp.Node) (*Experiment, error) {
	e := &Experiment{Name: filepath.Base(file), Config: clustersim.DefaultConfig(), Policies: []string{"module"}, Seeds: 5, Sweep: Sweep{Method: "grid", Seed: 1}}
	seeds := 5
	err := sexp.ReadForms(forms, map[string]func(sexp.Node) error{
		"name":     sexp.Text(&e.Name),
		"world":    func(n sexp.Node) error { e.configForm = n.Source(); return readConfig(n.Args(), &e.Config) },
		"days":     func(n sexp.Node) error { return readWorkloads(n, &e.Workloads) },
		"policies": func(n sexp.Node) error { return readPolicies(n, &e.Policies) },
		"seeds":    sexp.Int(&seeds, 1, 1_000_000),
		"sweep":    func(n sexp.Node) error { return readSweep(n, &e.Sweep) },
	}, nil)
	if err != nil {
		return nil, err
	}
	e.Seeds = uint64(seeds)
	if e.Config.Name == clustersim.DefaultConfig().Name {
		e.Config.Name = e.Name
	}
	if e.Workloads.Count > 0 && len(e.Sweep.Variables) > 0 && e.Sweep.Method != "grid" {
		return nil, sexp.Errorf(forms[0].Pos, "days go with a grid or no sweep at all")
	}
	return e, nil
}

func readPolicies(n sexp.Node, to *[]string) error {
	*to = nil
	for _, a := range n.Args() {
		if _, err := LookupPolicy(a.Text); err != nil || a.Kind == sexp.List {
			return sexp.Errorf(a.Pos, "found %v, want a policy of %v", a, PolicyNames())
		}
		if slices.Contains(*to, a.Text) {
			return sexp.Errorf(a.Pos, "policy %s is given twice", a.Text)
		}
		*to = append(*to, a.Text)
	}
	if len(*to) == 0 {
		return sexp.Errorf(n.Pos, "(policies ...) has none, want some of %v", PolicyNames())
	}
	return nil
}

func readWorkloads(n sexp.Node, to *WorkloadRange) error {
	from := 1
	err := sexp.ReadForms(n.Args(), map[string]func(sexp.Node) error{
		"count": sexp.Int(&to.Count, 1, 100_000),
		"from":  sexp.Int(&from, 0, math.MaxInt32),
		"kinds": func(k sexp.Node) error {
			for _, a := range k.Args() {
				if !slices.Contains(clustersim.WorkloadKinds(), clustersim.WorkloadKind(a.Text)) {
					return sexp.Errorf(a.Pos, "found %v, want a kind of day of %v", a, clustersim.WorkloadKinds())
				}
				to.Kinds = append(to.Kinds, clustersim.WorkloadKind(a.Text))
			}
			return nil
		},
	}, nil)
	if err == nil && to.Count == 0 {
		err = sexp.Errorf(n.Pos, "(days ...) without (count N)")
	}
	if to.From = uint64(from); len(to.Kinds) == 0 {
		to.Kinds = clustersim.WorkloadKinds()
	}
	return err
}

func readSweep(n sexp.Node, to *Sweep) error {
	seed := 1
	err := sexp.ReadForms(n.Args(), map[string]func(sexp.Node) error{
		"how":   sexp.OneOf(&to.Method, "grid", "random", "latin"),
		"count": sexp.Int(&to.Count, 1, 1_000_000),
		"seed":  sexp.Int(&seed, 0, math.MaxInt32),
	}, map[string]func(sexp.Node) error{
		"vary": func(v sexp.Node) error {
			x, err := readVariable(v)
			to.Variables = append(to.Variables, x)
			return err
		},
	})
	to.Seed = uint64(seed)
	switch {
	case err != nil:
	case len(to.Variables) == 0:
		err = sexp.Errorf(n.Pos, "(sweep ...) varies nothing, want (vary NAME FROM TO)")
	case to.Method != "grid" && to.Count == 0:
		err = sexp.Errorf(n.Pos, "(sweep ...) by %s needs (count N)", to.Method)
	}
	return err
}

// readVariable reads (vary NAME FROM TO [STEPS]).
func readVariable(n sexp.Node) (v Variable, err error) {
	if v.Name, err = n.WordAt(1, "what is varied"); err != nil {
		return v, err
	}
	if v.apply, err = findSetter(v.Name); err != nil {
		return v, sexp.Errorf(n.Pos, "%v", err)
	}
	rest := n.ItemsFrom(2)
	figures := []float64{0, 0, 5}
	if len(rest) < 2 || len(rest) > 3 {
		return v, sexp.Errorf(n.Pos, "want (vary NAME FROM TO) or (vary NAME FROM TO STEPS)")
	}
	for i, a := range rest {
		if figures[i], err = a.Float(); err != nil {
			return v, err
		}
	}
	v.Min, v.Max, v.Steps = figures[0], figures[1], int(figures[2])
	if v.Max < v.Min || v.Steps < 1 || v.Steps > 10_000 || float64(v.Steps) != figures[2] {
		return v, sexp.Errorf(n.Pos, "(vary %s ...) goes from %v to %v in %v steps, want a rise and 1 to 10,000 of them", v.Name, v.Min, v.Max, figures[2])
	}
	return v, nil
}

// readConfig reads the forms of a world over what is there. A day of the brief is the base of the others, wherever it
// stands among them.
func readConfig(forms []sexp.Node, w *clustersim.Config) error {
	day, number := "", 1
	base := map[string]func(sexp.Node) error{"day": sexp.Text(&day), "number": sexp.Int(&number, 0, math.MaxInt32)}
	for _, f := range forms {
		read := base[f.Name()]
		if read == nil {
			continue
		}
		if err := read(f); err != nil {
			return err
		}
		if f.Name() == "day" && !slices.Contains(clustersim.WorkloadKinds(), clustersim.WorkloadKind(day)) {
			return sexp.Errorf(f.Pos, "no kind of day is called %q, want one of %v", day, clustersim.WorkloadKinds())
		}
	}
	if day != "" {
		*w = clustersim.GenerateConfig(clustersim.WorkloadKind(day), uint64(number))
	}
	load := w.Arrival.Rate / w.Capacity()
	own := *w
	own.Classes, own.Tenants, own.Gateways, own.Incidents = nil, nil, nil, nil
	once := map[string]func(sexp.Node) error{
		"name": sexp.Text(&own.Name), "for": sexp.Duration(&own.Duration, time.Second, 24*time.Hour), "load": sexp.Number(&load, 0.001, 100),
		"delay": sexp.Duration(&own.NetworkDelay, 0, time.Minute), "list-delay": sexp.Duration(&own.EndpointListDelay, 0, time.Hour),
		"subjects": sexp.Int(&own.ResourceCount, 1, 100_000_000), "skew": sexp.Number(&own.Skew, 0, 10),
		"servers":  func(n sexp.Node) error { return readServers(n, &own.Servers) },
		"arrivals": func(n sexp.Node) error { return readArrivals(n, &own.Arrival) },
	}
	maps.Copy(once, base)
	err := sexp.ReadForms(forms, once, map[string]func(sexp.Node) error{
		"class":    func(n sexp.Node) error { return readClass(n, &own.Classes) },
		"tenant":   func(n sexp.Node) error { return readTenant(n, &own.Tenants) },
		"gateways": func(n sexp.Node) error { return readGateways(n, &own.Gateways) },
		"incident": func(n sexp.Node) error { return readIncident(n, &own.Incidents) },
	})
	if err != nil {
		return err
	}
	if own.Classes == nil { // lists that are not given are those of the base
		own.Classes = w.Classes
	}
	if own.Tenants == nil {
		own.Tenants = w.Tenants
	}
	if own.Gateways == nil {
		own.Gateways = w.Gateways
	}
	if own.Incidents == nil {
		own.Incidents = w.Incidents
	}
	own.SetLoad(load)
	*w = own
	return nil
}

func readServers(n sexp.Node, s *clustersim.ServerConfig) error {
	hold := func(form sexp.Node) error {
		args := form.Args()
		if len(args) != 2 {
			return sexp.Errorf(form.Pos, "want (hold-kb LEAST MOST)")
		}
		for i, a := range args {
			v, err := a.Float()
			if err != nil {
				return err
			}
			s.RequestKB[i] = v
		}
		return nil
	}
	return sexp.ReadFields(n.Args(), map[string]func(sexp.Node) error{
		"n": sexp.Int(&s.Count, 0, 100_000), "cores": sexp.Int(&s.Cores, 1, 1024), "speed": sexp.Number(&s.Speed, 0.001, 1000),
		"speed-spread": sexp.Number(&s.SpeedCV, 0, 0.4), "thrash": sexp.Number(&s.ThrashFactor, 0, 100), "thrash-at": sexp.Number(&s.ThrashThreshold, 0, 1000),
		"read": sexp.Number(&s.ReadCost, 0, 10), "memory-kb": sexp.Number(&s.MemoryKB, 1, 1e12), "key-kb": sexp.Number(&s.KeyKB, 0, 1e6),
		"hold-kb": hold, "run-factor": sexp.Number(&s.RunningMemoryFactor, 1, 1000), "cold-share": sexp.Number(&s.InitialCapacity, 0.001, 1),
		"cold-for": sexp.Duration(&s.WarmUpTime, 0, time.Hour), "crowd-factor": sexp.Number(&s.MaxConcurrencyFactor, 1, 1e6),
		"drain-grace": sexp.Duration(&s.DrainGracePeriod, 0, time.Minute), "stop": sexp.Duration(&s.DrainTimeout, time.Millisecond, time.Hour),
		"restart": sexp.Duration(&s.RestartDelay, 0, time.Hour), "unread": sexp.Int(&s.BacklogPerCore, 1, 1_000_000),
		"retry-after": sexp.Duration(&s.MaxRetryAfter, 0, time.Hour), "heeded": sexp.Duration(&s.FeedbackTTL, 0, time.Hour),
		"over-worth": sexp.Number(&s.OverQuotaWeight, 0, 1)})
}

func readArrivals(n sexp.Node, a *arrival.Config) error {
	kind, path := string(a.Kind), ""
	err := sexp.ReadFields(n.Args(), map[string]func(sexp.Node) error{
		"kind":  sexp.OneOf(&kind, string(arrival.Poisson), string(arrival.Bursty), string(arrival.Diurnal)),
		"burst": sexp.Number(&a.BurstFactor, 1, 1000), "part": sexp.Number(&a.BurstFraction, 0.001, 0.999), "stay": sexp.Duration(&a.MeanBurst, time.Millisecond, time.Hour),
		"capture": sexp.Text(&path), "factor": sexp.Number(&a.Speed, 0.001, 1000),
		"swing": sexp.Number(&a.Amplitude, 0, 1), "day": sexp.Duration(&a.Period, time.Second, 24*time.Hour)})
	a.Kind = arrival.Kind(kind)
	if err != nil || path == "" {
		return err
	}
	a.Kind = arrival.Replay
	if a.Times, err = capture.ReadArrivals(path); err != nil {
		return sexp.Errorf(n.Pos, "%v", err)
	}
	return nil
}

func readClass(n sexp.Node, to *[]clustersim.Class) (err error) {
	c := clustersim.Class{Share: 1, MeanWork: 100 * time.Millisecond, Distribution: clustersim.LogNormal, CV: 1, LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1}
	if c.Name, err = n.WordAt(1, "the name of a class"); err != nil {
		return err
	}
	dist := string(c.Distribution)
	err = sexp.ReadFields(n.ItemsFrom(2), map[string]func(sexp.Node) error{
		"share": sexp.Number(&c.Share, 0, 1e6), "work": sexp.Duration(&c.MeanWork, time.Microsecond, time.Hour),
		"dist":   sexp.OneOf(&dist, string(clustersim.Constant), string(clustersim.Exponential), string(clustersim.LogNormal), string(clustersim.Pareto)),
		"spread": sexp.Number(&c.CV, 0, 100), "aim": sexp.Duration(&c.LatencyObjective, time.Millisecond, 24*time.Hour),
		"deadline": sexp.Duration(&c.Deadline, time.Millisecond, 24*time.Hour), "worth": sexp.Number(&c.Weight, 0, 1e6),
		"late-worth": sexp.Number(&c.LateWeight, 0, 1), "window": sexp.Duration(&c.KeyWindow, 0, 24*time.Hour)})
	c.Distribution, c.IdempotentByKey = clustersim.Distribution(dist), c.KeyWindow > 0
	*to = append(*to, c)
	return err
}

func readTenant(n sexp.Node, to *[]clustersim.Tenant) (err error) {
	t := clustersim.Tenant{}
	if t.Name, err = n.WordAt(1, "the name of a tenant"); err != nil {
		return err
	}
	err = sexp.ReadFields(n.ItemsFrom(2), map[string]func(sexp.Node) error{"share": sexp.Number(&t.Share, 0, 1e6)})
	*to = append(*to, t)
	return err
}

func readGateways(n sexp.Node, to *[]clustersim.GatewayConfig) error {
	g := clustersim.GatewayConfig{Count: 1, Share: 1, Balancing: clustersim.RoundRobin, Retry: clustersim.RetryBudgeted, MaxAttempts: 3, RetryBudget: 0.2, HonorsFeedback: true}
	choice, again, heeds, checked := string(g.Balancing), string(g.Retry), "yes", "no"
	err := sexp.ReadFields(n.Args(), map[string]func(sexp.Node) error{
		"n": sexp.Int(&g.Count, 1, 10_000), "share": sexp.Number(&g.Share, 0, 1e6), "tries": sexp.Int(&g.MaxAttempts, 1, 1000),
		"choice": sexp.OneOf(&choice, "round", "least", "two", "hash", "fastest", "weight", "random"),
		"again":  sexp.OneOf(&again, "never", "unbounded", "budgeted", "hasty", "copies", "patient"),
		"budget": sexp.Number(&g.RetryBudget, 0, 100), "wait": sexp.Number(&g.AttemptTimeoutFactor, 0, 100), "heeds": sexp.OneOf(&heeds, "yes", "no"),
		"subset": sexp.Int(&g.SubsetSize, 0, 100_000), "checked": sexp.OneOf(&checked, "yes", "no"), "repeats": sexp.Number(&g.ResendShare, 0, 1)})
	g.Balancing, g.Retry, g.HonorsFeedback, g.UsesHealthChecks = clustersim.BalancingPolicy(choice), clustersim.RetryPolicy(again), heeds == "yes", checked == "yes"
	*to = append(*to, g)
	return err
}

func readIncident(n sexp.Node, to *[]clustersim.Incident) error {
	what, err := n.WordAt(1, "a kind of incident")
	if err != nil {
		return err
	}
	i := clustersim.Incident{Kind: clustersim.IncidentKind(what), Start: 10 * time.Second, Duration: 10 * time.Second, Magnitude: 1}
	if !i.IsKnown() {
		return sexp.Errorf(n.Pos, "no incident is called %q, want one of %v", what, clustersim.IncidentKinds())
	}
	err = sexp.ReadFields(n.ItemsFrom(2), map[string]func(sexp.Node) error{
		"from": sexp.Duration(&i.Start, 0, 24*time.Hour), "for": sexp.Duration(&i.Duration, 0, 24*time.Hour),
		"rise": sexp.Duration(&i.RampTime, 0, 24*time.Hour), "part": sexp.Number(&i.ServerShare, 0, 1), "size": sexp.Number(&i.Magnitude, 0, 1e6)})
	*to = append(*to, i)
	return err
}
