//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

// cases are the cases by name. A case returns whether the rule was broken, or an error if it could not run.
var cases = map[string]func(r *record, dir string, trouble bool) (bool, error){
	"refusal": refusal,
	"lost":    lost,
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name and returns the exit status.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return notRun
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		r.add("not run: %v", err)
		return notRun
	}
	defer os.RemoveAll(dir)
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble: %t", os.Args[1], trouble)
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
			r.add("not run: stopped by a signal")
		case <-time.After(timeLimit):
			r.add("not run: the case takes too long")
		}
		stopServers()
		os.Exit(notRun)
	}()
	defer stopServers()
	broken, err := cases[os.Args[1]](r, dir, trouble)
	if err == nil {
		err = checkAlive()
	}
	switch {
	case err != nil:
		r.add("not run: %v", err)
		return notRun
	case broken:
		r.add("the rule was broken")
		return ruleBroken
	}
	r.add("the rule held")
	return ruleHeld
}
