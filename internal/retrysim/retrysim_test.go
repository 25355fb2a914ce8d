package retrysim

import (
	"reflect"
	"testing"
)

// highest is the highest load of a storm's stretches, and the part of the requests served in the outage.
func highest(points []Sample, c Config) (load, served float64) {
	n := 0.0
	for _, p := range points {
		load = max(load, p.LoadFactor)
		if p.EndSeconds > c.OutageStart.Seconds()+0.5 && p.EndSeconds <= c.OutageEnd.Seconds() {
			served += p.ServedShare
			n++
		}
	}
	return load, served / n
}

// TestStorm keeps the load on the members under 1.2 of what is offered with the budget, and plays the same twice.
func TestStorm(t *testing.T) {
	c := Defaults()
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
	a, _ := highest(with, c)
	b, _ := highest(worse, c)
	free, _ := highest(without, c)
	t.Logf("highest load in half a second: %.3f at 30 %% of failures, %.3f at 90 %%, %.3f there without a budget", a, b, free)
	if free < 3 {
		t.Errorf("without a budget the load is %.3f only", free)
	}
	if a >= 1.2 || b >= 1.2 {
		t.Errorf("with the budget the load is %.3f and %.3f of what is offered in half a second", a, b)
	}
}
