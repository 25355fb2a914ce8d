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
	workloadKind   string // of a generated workload
	workloadNumber uint64 // of that kind
	htmlPath       string
	svgPath        string
	csvPath        string
}

func newSimulateRunCommand() *cobra.Command {
	var opts simulateRunOptions
	cmd := &cobra.Command{
		Use:   "run [FILE]",
		Short: "Simulate one workload and print the result",
		Long: "run simulates the workload of an experiment's file, or a generated one of a kind, once with each policy, and prints\n" +
			"served shares, latencies, outcomes of attempts, violated invariants and whether the cluster recovered from its incidents." + statusHelp,
		Example: "  cataloguectl simulate run --day storm --number 3 --policy module,codel --html storm.html\n" +
			"  cataloguectl simulate run examples/metastable.sexp --policy module,nolimit --json",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return opts.run(cmd, args) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.policies, "policy", []string{"module"}, "policies, of "+strings.Join(experiment.PolicyNames(), ", "))
	flags.Uint64Var(&opts.seed, "seed", 1, "seed of all random numbers")
	flags.Float64Var(&opts.load, "load", 0, "offered load as a share of the cluster's capacity; the workload's own if 0")
	flags.StringVar(&opts.workloadKind, "day", "", "kind of a generated workload: quiet, rough, overload, big or storm")
	flags.Uint64Var(&opts.workloadNumber, "number", 1, "which workload of that kind")
	flags.StringVar(&opts.htmlPath, "html", "", "file for a page with pictures")
	flags.StringVar(&opts.svgPath, "svg", "", "file for a picture of the served share over time")
	flags.StringVar(&opts.csvPath, "csv", "", "file for the figures of each second")
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

// clusterConfig returns the cluster and workload that the arguments name, or the default.
func (o *simulateRunOptions) clusterConfig(args []string) (clustersim.Config, error) {
	cfg := clustersim.DefaultConfig()
	switch {
	case len(args) == 1 && o.workloadKind != "":
		return cfg, errors.New("a file and --day are two worlds: want one of them")
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
			return cfg, fmt.Errorf("no kind of day is called %q, want one of %v", o.workloadKind, clustersim.WorkloadKinds())
		}
		cfg = clustersim.GenerateConfig(kind, o.workloadNumber)
	}
	if o.load > 0 {
		cfg.SetLoad(o.load)
	}
	cfg.RecordRejectReasons = true
	return cfg, nil
}

// policyResult is one line of JSON.
type policyResult struct {
	Policy string `json:"policy"`
	*clustersim.Result
}

// simulate runs the cluster once with each policy, and prints each result when it is there.
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

// writeFiles writes the page, the table and the picture that are wanted.
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

// printSimulation prints the summary of a simulation.
func printSimulation(out printer, policy string, result *clustersim.Result) {
	out.linef("%s in %s (seed %d): %d servers, %d requests in %.0f s, load %.2f", policy, result.ConfigName, result.Seed,
		result.Servers, result.Requests, result.Seconds, result.Load)
	out.linef("  share %.4f, worst 10 s %.4f, worst class %.4f, worst tenant %.4f, waste %.3f, score %.4f", result.GoodputShare,
		result.WorstWindowShare, result.WorstClassShare, result.WorstTenantShare, result.WastedWork, result.Score)
	out.linef("  latency of the served: p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms", result.P50, result.P99, result.P999)
	out.linef("  tries: %d, of them further ones %d; %s", result.Attempts, result.Retries, formatCounts(result.AttemptOutcomes))
	if len(result.RejectReasons) > 0 {
		out.linef("  refused because: %s", formatCounts(result.RejectReasons))
	}
	if len(result.Unserved) > 0 {
		out.linef("  requests not served: %s", formatCounts(result.Unserved))
	}
	switch recovery := result.Recovery; {
	case recovery.HadIncidents && recovery.Recovered:
		out.linef("  recovered %.0f s after the last incident: share before %.3f, behind it %.3f", recovery.RecoverySeconds, recovery.ShareBefore,
			recovery.ShareAfter)
	case recovery.HadIncidents:
		out.linef("  did not recover: share before the incidents %.3f, behind them %.3f", recovery.ShareBefore, recovery.ShareAfter)
	}
	for _, violation := range result.ViolationMessages {
		out.linef("  broken rule: %s", violation)
	}
}

// formatCounts formats counts by name, in the order of the resulting texts.
func formatCounts(counts map[string]int) string {
	var list []string
	for name, count := range counts {
		list = append(list, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
