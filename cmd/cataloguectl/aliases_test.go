package main

import (
	"strings"
	"testing"
)

// TestOldVerbs checks that the commands and their subcommands are found by the names of earlier versions, which scripts use.
func TestOldVerbs(t *testing.T) {
	root := newRootCommand()
	for old, want := range map[string]string{
		"storm":                  "load",
		"storm cost":             "load cost",
		"rehearse":               "scenario",
		"rehearse list":          "scenario list",
		"rehearse run jump":      "scenario run",
		"rehearse hunt":          "scenario explore",
		"rehearse replay 7":      "scenario replay",
		"rehearse shrink 7":      "scenario shrink",
		"model":                  "simulate",
		"model run":              "simulate run",
		"model sweep x.sexp":     "simulate sweep",
		"model show x.results":   "simulate show",
		"model compare x":        "simulate compare",
		"model plot x.results":   "simulate plot",
		"model worst x.sexp":     "simulate search",
		"model hold":             "simulate calibrate",
		"pool":                   "retries",
		"pool storm":             "retries simulate",
		"scenario hunt":          "scenario explore",
		"simulate hold":          "simulate calibrate",
		"capture cat x.capture":  "capture cat",
		"state recovery --pairs": "state recovery",
	} {
		cmd, _, err := root.Find(strings.Fields(old))
		if err != nil {
			t.Errorf("%s: %v", old, err)
			continue
		}
		if path := strings.TrimPrefix(cmd.CommandPath(), "cataloguectl "); path != want {
			t.Errorf("%s: found %q, want %q", old, path, want)
		}
	}
}
