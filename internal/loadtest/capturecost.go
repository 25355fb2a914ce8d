package loadtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
)

// CaptureCost compares the throughput of a daemon with the capture on and off, measured in alternating rounds.
type CaptureCost struct {
	Rounds []Throughput `json:"rounds"`
	// Ratio has the median over the pairs of the ratio of a figure with the capture on to the same figure with it off, by
	// figure.
	Ratio map[string]float64 `json:"ratio"`
}

// MeasureCaptureCost measures the throughput of a daemon on one core under a saturating load, in pairs of rounds with the
// capture on and off.
func MeasureCaptureCost(ctx context.Context, config SaturationConfig) (*CaptureCost, error) {
	dir, err := os.MkdirTemp("", "tillerusher-cost")
	if err != nil {
		return nil, fmt.Errorf("loadtest: %w", err)
	}
	defer os.RemoveAll(dir)
	cost := &CaptureCost{Ratio: map[string]float64{}}
	ratios := map[string][]float64{}
	for n := range 2 * config.Rounds {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		// The order alternates between pairs, so that a machine that slows down favours neither on nor off.
		isCapturing := (n+n/2)%2 == 0
		args := []string{"serve"}
		if isCapturing {
			args = append(args, "--capture", filepath.Join(dir, fmt.Sprint(n)))
		}
		throughput, _, err := runRound(config, args, nil)
		if err != nil {
			return nil, err
		}
		throughput.Capturing = isCapturing
		cost.Rounds = append(cost.Rounds, *throughput)
		if isPairDone := n%2 == 1; isPairDone {
			on, off := &cost.Rounds[n], &cost.Rounds[n-1]
			if !on.Capturing {
				on, off = off, on
			}
			for name, ratio := range on.ratiosTo(off) {
				ratios[name] = append(ratios[name], ratio)
			}
		}
		if config.Progress != nil {
			config.Progress(n+1, 2*config.Rounds)
		}
	}
	for name, list := range ratios {
		cost.Ratio[name] = median(list)
	}
	return cost, nil
}
