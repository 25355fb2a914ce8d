package main

import (
	"os/exec"
	"strings"
	"testing"
)

// TestDependencies checks that the catalogue server does not link the packages of the operators' tools and of the router,
// nor the libraries that these use.
func TestDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dep := range strings.Fields(string(out)) {
		for _, forbidden := range []string{"tillerusher/internal/replay", "tillerusher/internal/loadtest", "tillerusher/internal/fake",
			"tillerusher/internal/invariant", "spf13", "HdrHistogram", "progressbar", "compress/zstd", "cbor",
			"prometheus", "tillerusher/internal/nginx", "tillerusher/internal/metrics", "tillerusher/internal/router",
			"tillerusher/internal/forward", "tillerusher/internal/pool", "tillerusher/internal/route", "tillerusher/internal/clustersim",
			"tillerusher/internal/scenario", "tillerusher/internal/simnet", "tillerusher/internal/report", "gonum.org"} {
			if strings.Contains(dep, forbidden) {
				t.Errorf("catalogue-server links %s", dep)
			}
		}
	}
}
