// Command harness2 runs one case of the second independent review. It starts the project's program as a separate process
// with the run command of deploy/balancer.toml, plays its clients and members with the stand-ins of internal/fake, writes
// what was sent, answered and run to record.txt, and judges the rule of the case.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment, the case does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is the longest time that a case may take. A case that takes longer ends as one that could not run.
const maxDuration = 110 * time.Second

// cases are the cases by the name that the scripts pass.
var cases = map[string]func(e *environment) (broken string, err error){
	"reset":       runReset,
	"maintenance": runMaintenance,
	"quiet":       runQuiet,
	"removed":     runRemoved,
	"reload":      runReload,
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names, with the folder of the case as the second argument.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		return exitNotRun
	}
	e, err := newEnvironment(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	type verdict struct {
		broken string
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		done <- verdict{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case signal := <-interrupted:
		e.printf("NOT RUN: %v", signal)
		return exitNotRun
	case v := <-done:
		switch {
		case v.err != nil:
			e.printf("NOT RUN: %v", v.err)
			return exitNotRun
		case v.broken != "":
			e.printf("BROKEN: %s", v.broken)
			return exitBroken
		}
		e.printf("HELD")
		return exitHeld
	case <-time.After(maxDuration):
		e.printf("NOT RUN: the case took longer than %v", maxDuration)
		return exitNotRun
	}
}
