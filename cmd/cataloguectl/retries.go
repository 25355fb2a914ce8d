package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/report"
	"tillerusher/internal/retrysim"
)

func poolCommand() *cobra.Command {
	c := &cobra.Command{Use: "pool", Short: "Play bad moments to the decisions of a pool"}
	cfg := retrysim.Defaults()
	var out string
	storm := &cobra.Command{Use: "storm", Short: "Play a retry storm with and without the budget for further tries",
		Long: "storm has every member fail a part of its tries for a while, in virtual time, and tells the load on the members\n" +
			"over what is offered, with the budget and without." + statuses,
		Example: "  cataloguectl pool storm --fails 0.3 --output storm.svg", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Members < 1 || !(cfg.RequestRate > 0) || cfg.FailureShare < 0 || cfg.FailureShare > 1 || cfg.BudgetShare <= 0 {
				return errors.New("members and rate must be more than 0, fails 0 to 1, share more than 0")
			}
			return playPool(newPrinter(cmd), cfg, out)
		}}
	f := storm.Flags()
	f.IntVar(&cfg.Members, "members", cfg.Members, "members of the pool")
	f.Float64Var(&cfg.RequestRate, "rate", cfg.RequestRate, "requests a second")
	f.Float64Var(&cfg.FailureShare, "fails", cfg.FailureShare, "part of the tries that fail in the outage")
	f.Float64Var(&cfg.BudgetShare, "share", cfg.BudgetShare, "further tries over first ones that the budget allows")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all that is drawn")
	f.StringVar(&out, "output", "", "file for a picture (SVG)")
	c.AddCommand(storm)
	return c
}

// playPool plays the storm twice, prints both and draws them.
func playPool(p printer, cfg retrysim.Config, out string) error {
	chart := report.Chart{Title: fmt.Sprintf("%.0f %% of all tries fail", 100*cfg.FailureShare), XLabel: "seconds", YLabel: "load on the members over what is offered",
		From: cfg.OutageStart.Seconds(), To: cfg.OutageEnd.Seconds(), Threshold: 1.2}
	result := map[string][]retrysim.Sample{}
	for _, with := range []bool{true, false} {
		c, name := cfg, "with the budget"
		if !with {
			c.BudgetShare, name = 0, "without"
		}
		points, err := retrysim.Run(c)
		if err != nil {
			return err
		}
		result[name] = points
		line := report.Series{Name: name}
		load, served, n := 0.0, 0.0, 0.0
		for _, at := range points {
			line.Points = append(line.Points, [2]float64{at.EndSeconds, at.LoadFactor})
			if end := time.Duration(at.EndSeconds * float64(time.Second)); end > cfg.OutageStart && end <= cfg.OutageEnd {
				load, served, n = load+at.LoadFactor, served+at.ServedShare, n+1
			}
		}
		chart.Series = append(chart.Series, line)
		p.line("%-16s in the outage: load %.3f of what is offered, %.3f of the requests served", name, load/n, served/n)
	}
	if out != "" {
		if err := create(out, chart.SVG); err != nil {
			return err
		}
	}
	return p.object(result)
}
