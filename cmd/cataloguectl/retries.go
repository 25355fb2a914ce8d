package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/report"
	"tillerusher/internal/retrysim"
)

// maxLoadFactor is the threshold in the chart. A retry budget should keep the load below this multiple of the offered load.
const maxLoadFactor = 1.2

func newRetriesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "retries",
		Aliases: []string{"pool"},
		Short:   "Simulate the retries in a pool of servers",
	}
	cmd.AddCommand(newRetriesSimulateCommand())
	return cmd
}

// retriesOptions are the flags of retries simulate.
type retriesOptions struct {
	config  retrysim.Config
	svgPath string
}

func newRetriesSimulateCommand() *cobra.Command {
	opts := retriesOptions{config: retrysim.DefaultConfig()}
	cmd := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"storm"},
		Short:   "Simulate a retry storm with and without the retry budget",
		Long: "simulate runs an outage in virtual time, in which every member of a pool fails a share of its attempts. It prints the\n" +
			"load on the members relative to the offered load, with the retry budget and without." + statusHelp,
		Example: "  cataloguectl retries simulate --fails 0.3 --output retries.svg",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(newPrinter(cmd)) },
	}
	flags := cmd.Flags()
	flags.IntVar(&opts.config.Members, "members", opts.config.Members, "number of members of the pool")
	flags.Float64Var(&opts.config.RequestRate, "rate", opts.config.RequestRate, "requests per second")
	flags.Float64Var(&opts.config.FailureShare, "fails", opts.config.FailureShare, "share of the attempts that fail during the outage")
	flags.Float64Var(&opts.config.BudgetShare, "share", opts.config.BudgetShare,
		"retries that the budget allows per first attempt")
	flags.Uint64Var(&opts.config.Seed, "seed", opts.config.Seed, "seed of all random numbers")
	flags.StringVar(&opts.svgPath, "output", "", "output file for an SVG chart")
	return cmd
}

// run simulates the outage with the budget and without, prints the results and writes the chart.
func (o *retriesOptions) run(out printer) error {
	cfg := o.config
	if cfg.Members < 1 || !(cfg.RequestRate > 0) || cfg.FailureShare < 0 || cfg.FailureShare > 1 || cfg.BudgetShare <= 0 {
		return errors.New("--members, --rate and --share must be more than 0, and --fails must be 0 to 1")
	}
	withoutBudget := cfg
	withoutBudget.BudgetShare = 0
	chart := report.Chart{
		Title:     fmt.Sprintf("Outage in which %.0f %% of all attempts fail", 100*cfg.FailureShare),
		XLabel:    "seconds",
		YLabel:    "load on the members relative to the offered load",
		Shaded:    []report.Span{{From: cfg.OutageStart.Seconds(), To: cfg.OutageEnd.Seconds()}},
		Threshold: maxLoadFactor,
	}
	result := map[string][]retrysim.Sample{}
	for _, variant := range []struct {
		name   string
		config retrysim.Config
	}{
		{"with the budget", cfg},
		{"without", withoutBudget},
	} {
		samples, err := retrysim.Run(variant.config)
		if err != nil {
			return err
		}
		result[variant.name] = samples
		chart.Series = append(chart.Series, loadSeries(variant.name, samples))
		printOutage(out, variant.name, samples, cfg)
	}
	if o.svgPath != "" {
		if err := writeOutput(o.svgPath, chart.SVG); err != nil {
			return err
		}
	}
	return out.encode(result)
}

// loadSeries returns the relative load over time.
func loadSeries(name string, samples []retrysim.Sample) report.Series {
	series := report.Series{Name: name}
	for _, s := range samples {
		series.Points = append(series.Points, report.Point{X: s.EndSeconds, Y: s.LoadFactor})
	}
	return series
}

// printOutage prints the mean load and the mean served share over the samples of the outage.
func printOutage(out printer, name string, samples []retrysim.Sample, cfg retrysim.Config) {
	load, served, count := 0.0, 0.0, 0.0
	for _, s := range samples {
		end := time.Duration(s.EndSeconds * float64(time.Second))
		if end > cfg.OutageStart && end <= cfg.OutageEnd {
			load += s.LoadFactor
			served += s.ServedShare
			count++
		}
	}
	out.linef("%-16s during the outage: load %.3f times the offered load, served share of requests %.3f", name, load/count, served/count)
}
