package retrysim

import (
	"reflect"
	"testing"
)

// peakAndServed returns the highest load factor of the samples, and the mean served share of the intervals in the outage
// after the first one.
func peakAndServed(samples []Sample, c Config) (peak, served float64) {
	n := 0.0
	for _, s := range samples {
		peak = max(peak, s.LoadFactor)
		if s.EndSeconds > c.OutageStart.Seconds()+0.5 && s.EndSeconds <= c.OutageEnd.Seconds() {
			served += s.ServedShare
			n++
		}
	}
	return peak, served / n
}

// TestRetryBudgetBoundsLoad checks that with a retry budget the load on the members stays below 1.2 times the offered load
// in every interval, whether 30 % or 90 % of the attempts fail in the outage. Without a budget and with 90 % of failures
// the load must reach 3 times the offered load. The same seed must give the same samples.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	c := DefaultConfig()
	withBudget, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Run(c)
	if !reflect.DeepEqual(withBudget, again) {
		t.Error("two runs with the same seed gave different samples")
	}
	c.FailureShare = 0.9
	worse, _ := Run(c)
	c.BudgetShare = 0
	withoutBudget, _ := Run(c)
	peak, _ := peakAndServed(withBudget, c)
	worsePeak, _ := peakAndServed(worse, c)
	withoutBudgetPeak, _ := peakAndServed(withoutBudget, c)
	t.Logf("highest load factor: %.3f with 30 %% of failures, %.3f with 90 %%, %.3f with as many and no budget", peak, worsePeak,
		withoutBudgetPeak)
	if withoutBudgetPeak < 3 {
		t.Errorf("without a budget the highest load factor is %.3f, want at least 3", withoutBudgetPeak)
	}
	if peak >= 1.2 || worsePeak >= 1.2 {
		t.Errorf("with a budget the highest load factors are %.3f and %.3f, want less than 1.2", peak, worsePeak)
	}
}
