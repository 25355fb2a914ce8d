package retrysim

import (
	"reflect"
	"testing"
)

// peakAndServed returns the highest load factor of the samples, and the served share of the requests in the outage.
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

// TestRetryBudgetBoundsLoad keeps the load on the members under 1.2 of what is offered with the budget, and expects the same
// samples of the same seed.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	c := DefaultConfig()
	with, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Run(c)
	if !reflect.DeepEqual(with, again) {
		t.Error("one seed gives two storms")
	}
	c.FailureShare = 0.9
	worse, _ := Run(c)
	c.BudgetShare = 0
	without, _ := Run(c)
	peak, _ := peakAndServed(with, c)
	worsePeak, _ := peakAndServed(worse, c)
	withoutPeak, _ := peakAndServed(without, c)
	t.Logf("highest load in half a second: %.3f at 30 %% of failures, %.3f at 90 %%, %.3f there without a budget", peak, worsePeak,
		withoutPeak)
	if withoutPeak < 3 {
		t.Errorf("without a budget the load is %.3f only", withoutPeak)
	}
	if peak >= 1.2 || worsePeak >= 1.2 {
		t.Errorf("with the budget the load is %.3f and %.3f of what is offered in half a second", peak, worsePeak)
	}
}
