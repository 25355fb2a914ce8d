package main

import (
	"os/exec"
	"strings"
	"testing"
)

// TestDependencies keeps the operators' kit, routing and their libraries out of the daemon.
func TestDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dep := range strings.Fields(string(out)) {
		for _, not := range []string{"tillerusher/internal/replay", "tillerusher/internal/loadtest", "tillerusher/internal/fake",
			"tillerusher/internal/invariant", "spf13", "HdrHistogram", "progressbar", "compress/zstd", "cbor",
			"prometheus", "tillerusher/internal/nginx", "tillerusher/internal/metrics", "tillerusher/internal/router",
			"tillerusher/internal/forward", "tillerusher/internal/pool", "tillerusher/internal/route", "tillerusher/internal/clustersim",
			"tillerusher/internal/scenario", "tillerusher/internal/simnet", "tillerusher/internal/report", "gonum.org"} {
			if strings.Contains(dep, not) {
				t.Errorf("the daemon links %s", dep)
			}
		}
	}
}
