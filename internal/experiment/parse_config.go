package experiment

import (
	"maps"
	"math"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/capture"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/sexp"
)

// maxDuration is the longest duration that a file may give.
const maxDuration = 24 * time.Hour

// readConfig reads the forms of a configuration and sets the fields that they give. If (day KIND) is among the forms, at
// any position, the generated workload replaces the configuration before the other forms are applied.
func readConfig(forms []sexp.Node, config *clustersim.Config) error {
	kind, number := "", firstWorkload
	base := fields{"day": sexp.Text(&kind), "number": sexp.Int(&number, 0, math.MaxInt32)}
	for _, form := range forms {
		read := base[form.Name()]
		if read == nil {
			continue
		}
		if err := read(form); err != nil {
			return err
		}
		if form.Name() == "day" && !isWorkloadKind(clustersim.WorkloadKind(kind)) {
			return sexp.Errorf(form.Pos, "no kind of day is called %q, want one of %v", kind, clustersim.WorkloadKinds())
		}
	}
	if kind != "" {
		*config = clustersim.GenerateConfig(clustersim.WorkloadKind(kind), uint64(number))
	}
	return readConfigForms(forms, base, config)
}

// readConfigForms reads all forms of a configuration. The forms in base have been read before; they are read again, so that
// a form that is given twice is an error. Lists that are not given keep their values, and the load, unless it is given,
// stays the same relative to the capacity.
func readConfigForms(forms []sexp.Node, base fields, config *clustersim.Config) error {
	load := config.Arrival.Rate / config.Capacity()
	changed := *config
	changed.Classes = nil
	changed.Tenants = nil
	changed.Gateways = nil
	changed.Incidents = nil
	once := fields{
		"name":       sexp.Text(&changed.Name),
		"for":        sexp.Duration(&changed.Duration, time.Second, maxDuration),
		"load":       sexp.Number(&load, 0.001, 100),
		"delay":      sexp.Duration(&changed.NetworkDelay, 0, time.Minute),
		"list-delay": sexp.Duration(&changed.EndpointListDelay, 0, time.Hour),
		"subjects":   sexp.Int(&changed.ResourceCount, 1, 100_000_000),
		"skew":       sexp.Number(&changed.ZipfExponent, 0, 10),
		"servers":    func(n sexp.Node) error { return readServers(n, &changed.Servers) },
		"arrivals":   func(n sexp.Node) error { return readArrivals(n, &changed.Arrival) },
	}
	maps.Copy(once, base)
	err := sexp.ReadForms(forms, once, fields{
		"class":    func(n sexp.Node) error { return readClass(n, &changed.Classes) },
		"tenant":   func(n sexp.Node) error { return readTenant(n, &changed.Tenants) },
		"gateways": func(n sexp.Node) error { return readGateways(n, &changed.Gateways) },
		"incident": func(n sexp.Node) error { return readIncident(n, &changed.Incidents) },
	})
	if err != nil {
		return err
	}
	keepIfNil(&changed.Classes, config.Classes)
	keepIfNil(&changed.Tenants, config.Tenants)
	keepIfNil(&changed.Gateways, config.Gateways)
	keepIfNil(&changed.Incidents, config.Incidents)
	changed.SetLoad(load)
	*config = changed
	return nil
}

// keepIfNil sets a list that was not given to the base's list.
func keepIfNil[T any](list *[]T, base []T) {
	if *list == nil {
		*list = base
	}
}

// readServers reads (servers ...).
func readServers(n sexp.Node, servers *clustersim.ServerConfig) error {
	return sexp.ReadFields(n.Args(), fields{
		"n":            sexp.Int(&servers.Count, 0, 100_000),
		"cores":        sexp.Int(&servers.Cores, 1, 1024),
		"speed":        sexp.Number(&servers.Speed, 0.001, 1000),
		"speed-spread": sexp.Number(&servers.SpeedCV, 0, 0.4),
		"thrash":       sexp.Number(&servers.ThrashFactor, 0, 100),
		"thrash-at":    sexp.Number(&servers.ThrashThreshold, 0, 1000),
		"read":         sexp.Number(&servers.ReadCost, 0, 10),
		"memory-kb":    sexp.Number(&servers.MemoryKB, 1, 1e12),
		"key-kb":       sexp.Number(&servers.KeyKB, 0, 1e6),
		"hold-kb":      func(form sexp.Node) error { return readRequestKB(form, &servers.RequestKB) },
		"run-factor":   sexp.Number(&servers.RunningMemoryFactor, 1, 1000),
		"cold-share":   sexp.Number(&servers.InitialCapacity, 0.001, 1),
		"cold-for":     sexp.Duration(&servers.WarmUpTime, 0, time.Hour),
		"crowd-factor": sexp.Number(&servers.MaxConcurrencyFactor, 1, 1e6),
		"drain-grace":  sexp.Duration(&servers.DrainGracePeriod, 0, time.Minute),
		"stop":         sexp.Duration(&servers.DrainTimeout, time.Millisecond, time.Hour),
		"restart":      sexp.Duration(&servers.RestartDelay, 0, time.Hour),
		"unread":       sexp.Int(&servers.BacklogPerCore, 1, 1_000_000),
		"retry-after":  sexp.Duration(&servers.MaxRetryAfter, 0, time.Hour),
		"heeded":       sexp.Duration(&servers.FeedbackTTL, 0, time.Hour),
		"over-worth":   sexp.Number(&servers.OverQuotaWeight, 0, 1),
	})
}

// readRequestKB reads (hold-kb LEAST MOST).
func readRequestKB(form sexp.Node, to *[2]float64) error {
	args := form.Args()
	if len(args) != len(to) {
		return sexp.Errorf(form.Pos, "want (hold-kb LEAST MOST)")
	}
	for i, arg := range args {
		v, err := arg.Float()
		if err != nil {
			return err
		}
		to[i] = v
	}
	return nil
}

// readArrivals reads (arrivals ...). With (capture PATH) the arrivals are replayed from the capture, whatever the kind.
func readArrivals(n sexp.Node, arrivals *arrival.Config) error {
	kind, path := string(arrivals.Kind), ""
	err := sexp.ReadFields(n.Args(), fields{
		"kind":    sexp.OneOf(&kind, string(arrival.Poisson), string(arrival.Bursty), string(arrival.Diurnal)),
		"burst":   sexp.Number(&arrivals.BurstFactor, 1, 1000),
		"part":    sexp.Number(&arrivals.BurstFraction, 0.001, 0.999),
		"stay":    sexp.Duration(&arrivals.MeanBurst, time.Millisecond, time.Hour),
		"capture": sexp.Text(&path),
		"factor":  sexp.Number(&arrivals.Speed, 0.001, 1000),
		"swing":   sexp.Number(&arrivals.Amplitude, 0, 1),
		"day":     sexp.Duration(&arrivals.Period, time.Second, maxDuration),
	})
	arrivals.Kind = arrival.Kind(kind)
	if err != nil || path == "" {
		return err
	}
	arrivals.Kind = arrival.Replay
	if arrivals.Times, err = capture.ReadArrivals(path); err != nil {
		return sexp.Errorf(n.Pos, "%v", err)
	}
	return nil
}

// readClass reads (class NAME ...).
func readClass(n sexp.Node, to *[]clustersim.Class) (err error) {
	class := clustersim.Class{
		Share:            1,
		MeanWork:         100 * time.Millisecond,
		Distribution:     clustersim.LogNormal,
		CV:               1,
		LatencyObjective: time.Second,
		Deadline:         4 * time.Second,
		Weight:           1,
	}
	if class.Name, err = n.WordAt(1, "the name of a class"); err != nil {
		return err
	}
	distribution := string(class.Distribution)
	err = sexp.ReadFields(n.ItemsFrom(2), fields{
		"share":      sexp.Number(&class.Share, 0, 1e6),
		"work":       sexp.Duration(&class.MeanWork, time.Microsecond, time.Hour),
		"dist":       sexp.OneOf(&distribution, toWords(clustersim.Distributions())...),
		"spread":     sexp.Number(&class.CV, 0, 100),
		"aim":        sexp.Duration(&class.LatencyObjective, time.Millisecond, maxDuration),
		"deadline":   sexp.Duration(&class.Deadline, time.Millisecond, maxDuration),
		"worth":      sexp.Number(&class.Weight, 0, 1e6),
		"late-worth": sexp.Number(&class.LateWeight, 0, 1),
		"window":     sexp.Duration(&class.KeyWindow, 0, maxDuration),
	})
	class.Distribution = clustersim.Distribution(distribution)
	class.IdempotentByKey = class.KeyWindow > 0
	*to = append(*to, class)
	return err
}

// readTenant reads (tenant NAME ...).
func readTenant(n sexp.Node, to *[]clustersim.Tenant) (err error) {
	tenant := clustersim.Tenant{}
	if tenant.Name, err = n.WordAt(1, "the name of a tenant"); err != nil {
		return err
	}
	err = sexp.ReadFields(n.ItemsFrom(2), fields{"share": sexp.Number(&tenant.Share, 0, 1e6)})
	*to = append(*to, tenant)
	return err
}

// The words for true and false.
const (
	wordYes = "yes"
	wordNo  = "no"
)

// toWords converts named values to the words that stand for them in a configuration.
func toWords[T ~string](values []T) []string {
	words := make([]string, len(values))
	for i, value := range values {
		words[i] = string(value)
	}
	return words
}

// readGateways reads (gateways ...).
func readGateways(n sexp.Node, to *[]clustersim.GatewayConfig) error {
	gateways := clustersim.GatewayConfig{Count: 1, Share: 1, MaxAttempts: 3, RetryBudget: 0.2}
	balancing, retry := string(clustersim.RoundRobin), string(clustersim.RetryBudgeted)
	honorsFeedback, usesHealthChecks := wordYes, wordNo
	err := sexp.ReadFields(n.Args(), fields{
		"n":       sexp.Int(&gateways.Count, 1, 10_000),
		"share":   sexp.Number(&gateways.Share, 0, 1e6),
		"tries":   sexp.Int(&gateways.MaxAttempts, 1, 1000),
		"choice":  sexp.OneOf(&balancing, toWords(clustersim.BalancingPolicies())...),
		"again":   sexp.OneOf(&retry, toWords(clustersim.RetryPolicies())...),
		"budget":  sexp.Number(&gateways.RetryBudget, 0, 100),
		"wait":    sexp.Number(&gateways.AttemptTimeoutFactor, 0, 100),
		"heeds":   sexp.OneOf(&honorsFeedback, wordYes, wordNo),
		"subset":  sexp.Int(&gateways.SubsetSize, 0, 100_000),
		"checked": sexp.OneOf(&usesHealthChecks, wordYes, wordNo),
		"repeats": sexp.Number(&gateways.ResendShare, 0, 1),
	})
	gateways.Balancing = clustersim.BalancingPolicy(balancing)
	gateways.Retry = clustersim.RetryPolicy(retry)
	gateways.HonorsFeedback = honorsFeedback == wordYes
	gateways.UsesHealthChecks = usesHealthChecks == wordYes
	*to = append(*to, gateways)
	return err
}

// readIncident reads (incident KIND ...).
func readIncident(n sexp.Node, to *[]clustersim.Incident) error {
	kind, err := n.WordAt(1, "a kind of incident")
	if err != nil {
		return err
	}
	incident := clustersim.Incident{Kind: clustersim.IncidentKind(kind), Start: 10 * time.Second, Duration: 10 * time.Second, Magnitude: 1}
	if !incident.IsKnown() {
		return sexp.Errorf(n.Pos, "unknown incident kind %q, want one of %v", kind, clustersim.IncidentKinds())
	}
	err = sexp.ReadFields(n.ItemsFrom(2), fields{
		"from": sexp.Duration(&incident.Start, 0, maxDuration),
		"for":  sexp.Duration(&incident.Duration, 0, maxDuration),
		"rise": sexp.Duration(&incident.RampTime, 0, maxDuration),
		"part": sexp.Number(&incident.ServerShare, 0, 1),
		"size": sexp.Number(&incident.Magnitude, 0, 1e6),
	})
	*to = append(*to, incident)
	return err
}
