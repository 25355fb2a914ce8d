package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"tillerusher/internal/clustersim"
	"tillerusher/internal/experiment"
)

// simulateRunOptions are the flags of simulate run.
type simulateRunOptions struct {
	policies       []string
	seed           uint64
	load           float64
	workloadKind   string // of a generated workload; empty means none
	workloadNumber uint64 // among the generated workloads of that kind
	htmlPath       string
	svgPath        string
	csvPath        string
}

func newSimulateRunCommand() *cobra.Command {
	var opts simulateRunOptions
	cmd := &cobra.Command{
		Use:   "run [FILE]",
		Short: "Simulate one workload and print the results",
		Long: "run simulates the first workload of an experiment file, a generated workload or the default workload, once with each\n" +
			"policy. It prints goodput shares, latencies, outcomes of attempts, violated invariants and whether the cluster\n" +
			"recovered from its incidents." + statusHelp,
		Example: "  cataloguectl simulate run --day storm --number 3 --policy module,codel --html storm.html\n" +
			"  cataloguectl simulate run examples/metastable.sexp --policy module,nolimit --json",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return opts.run(cmd, args) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.policies, "policy", []string{"module"},
		"comma-separated policies, of "+strings.Join(experiment.PolicyNames(), ", "))
	flags.Uint64Var(&opts.seed, "seed", 1, "seed of all random numbers")
	flags.Float64Var(&opts.load, "load", 0, "offered load as a multiple of the cluster's capacity; 0 means the load of the workload")
	flags.StringVar(&opts.workloadKind, "day", "", "kind of a generated workload: quiet, rough, overload, big or storm")
	flags.Uint64Var(&opts.workloadNumber, "number", 1, "number of the generated workload of that kind")
	flags.StringVar(&opts.htmlPath, "html", "", "output file for an HTML page with tables and charts")
	flags.StringVar(&opts.svgPath, "svg", "", "output file for an SVG chart of the goodput share over time")
	flags.StringVar(&opts.csvPath, "csv", "", "output file for a CSV table with the values of each second")
	return cmd
}

func (o *simulateRunOptions) run(cmd *cobra.Command, args []string) error {
	cfg, err := o.clusterConfig(args)
	if err != nil {
		return err
	}
	ctx, stop := interruptibleContext(cmd)
	defer stop()
	results, err := o.simulate(ctx, newPrinter(cmd), cfg)
	if err != nil {
		return err
	}
	if err := o.writeFiles(cfg, results); err != nil {
		return err
	}
	hasViolation := func(r *clustersim.Result) bool { return len(r.ViolationMessages) > 0 }
	return problemFoundIf(slices.ContainsFunc(results, hasViolation))
}

// clusterConfig returns the cluster and workload that the arguments select, or the default.
func (o *simulateRunOptions) clusterConfig(args []string) (clustersim.Config, error) {
	cfg := clustersim.DefaultConfig()
	switch {
	case len(args) == 1 && o.workloadKind != "":
		return cfg, errors.New("FILE and --day both select a workload: want one of them")
	case len(args) == 1:
		e, err := experiment.Load(args[0])
		if err != nil {
			return cfg, inputError{err}
		}
		if cfg, err = e.FirstConfig(); err != nil {
			return cfg, inputError{err}
		}
	case o.workloadKind != "":
		kind := clustersim.WorkloadKind(o.workloadKind)
		if !slices.Contains(clustersim.WorkloadKinds(), kind) {
			return cfg, fmt.Errorf("--day %q is not a kind of workload: want one of %v", o.workloadKind, clustersim.WorkloadKinds())
		}
		cfg = clustersim.GenerateConfig(kind, o.workloadNumber)
	}
	if o.load > 0 {
		cfg.SetLoad(o.load)
	}
	cfg.RecordRejectReasons = true
	return cfg, nil
}

// policyResult is the JSON form of the result with one policy.
type policyResult struct {
	Policy string `json:"policy"`
	*clustersim.Result
}

// simulate runs the cluster once with each policy, and prints each result as soon as its run has ended.
func (o *simulateRunOptions) simulate(ctx context.Context, out printer, cfg clustersim.Config) ([]*clustersim.Result, error) {
	var results []*clustersim.Result
	for _, name := range o.policies {
		policy, err := experiment.LookupPolicy(name)
		if err != nil {
			return nil, err
		}
		result, err := clustersim.Run(ctx, cfg, policy, o.seed)
		if err != nil {
			return nil, inputError{err}
		}
		results = append(results, result)
		printSimulation(out, name, result)
		if err := out.encode(policyResult{name, result}); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// writeFiles writes the page, the table and the chart whose paths are set.
func (o *simulateRunOptions) writeFiles(cfg clustersim.Config, results []*clustersim.Result) error {
	page := simulationPage{cfg, o.policies, results}
	if o.htmlPath != "" {
		if err := writeOutput(o.htmlPath, page.build().HTML); err != nil {
			return err
		}
	}
	if o.csvPath != "" {
		writeTable := func(w io.Writer) error { return writeTimeline(w, o.policies, results) }
		if err := writeOutput(o.csvPath, writeTable); err != nil {
			return err
		}
	}
	if o.svgPath != "" {
		return writeOutput(o.svgPath, page.shareChart().SVG)
	}
	return nil
}

// printSimulation prints a summary of the result with one policy.
func printSimulation(out printer, policy string, result *clustersim.Result) {
	out.linef("%s in %s (seed %d): %d servers, %d requests in %.0f s, load %.2f", policy, result.ConfigName, result.Seed,
		result.Servers, result.Requests, result.Seconds, result.Load)
	out.linef("  goodput share %.4f, worst 10 s %.4f, worst class %.4f, worst tenant %.4f, wasted work %.3f, score %.4f",
		result.GoodputShare, result.WorstWindowShare, result.WorstClassShare, result.WorstTenantShare, result.WastedWork, result.Score)
	out.linef("  latency of served requests: p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms", result.P50, result.P99, result.P999)
	out.linef("  attempts: %d, of which %d retries; %s", result.Attempts, result.Retries, formatCounts(result.AttemptOutcomes))
	if len(result.RejectReasons) > 0 {
		out.linef("  rejection reasons: %s", formatCounts(result.RejectReasons))
	}
	if len(result.Unserved) > 0 {
		out.linef("  unserved requests by the outcome of the last attempt: %s", formatCounts(result.Unserved))
	}
	switch recovery := result.Recovery; {
	case recovery.HadIncidents && recovery.Recovered:
		out.linef("  recovered %.0f s after the last incident: goodput share %.3f before the incidents, %.3f after them",
			recovery.RecoverySeconds, recovery.GoodputShareBefore, recovery.GoodputShareAfter)
	case recovery.HadIncidents:
		out.linef("  did not recover: goodput share %.3f before the incidents, %.3f after them", recovery.GoodputShareBefore,
			recovery.GoodputShareAfter)
	}
	for _, violation := range result.ViolationMessages {
		out.linef("  invariant violated: %s", violation)
	}
}

// formatCounts formats counts by name as a comma-separated list, sorted as text.
func formatCounts(counts map[string]int) string {
	var list []string
	for name, count := range counts {
		list = append(list, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
