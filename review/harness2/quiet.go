package main

import (
	"fmt"
	"time"
)

// The traffic of the case: reads that take longReadTime at their member, before and after a quiet time.
const (
	longReadTime  = time.Second
	busyRounds    = 8
	busyReads     = 4
	quietTime     = 75 * time.Second
	readsAfter    = 16
	pauseBetween  = 200 * time.Millisecond
	minServedBusy = busyRounds * busyReads * 9 / 10
)

// runQuiet plays a small deployment of the router whose reads take a second each. After some traffic nobody sends anything
// for a while, and then one caller sends reads one after the other. The rule is broken if none of them is served, although
// the members are sound and idle before and after the quiet time and answer in the same time as before.
func runQuiet(e *environment) (broken string, err error) {
	members, list, err := startMembers(4, longReadTime)
	if err != nil {
		return "", err
	}
	defer stopMembers(members)
	r, err := e.startRouter("(capacity 8)\n" +
		"(class lookup (aim 2400ms) (deadline 6100ms) (effect safe))\n" +
		"(pool app" + list + " (keepalive 8))\n" +
		"(server (listen LISTEN) (location prefix / (pool app) (class lookup)))\n")
	if err != nil {
		return "", err
	}
	served := 0
	for round := range busyRounds {
		served += e.askTogether(r.addr, fmt.Sprint("before, round ", round+1), busyReads)
	}
	e.printf("before the quiet time: %d of %d reads served", served, busyRounds*busyReads)
	if served < minServedBusy {
		return "", fmt.Errorf("only %d reads before the quiet time were served", served)
	}
	if e.trouble {
		e.printf("quiet for %v", quietTime)
		time.Sleep(quietTime)
	}
	servedAfter, runsBefore := 0, runs(members)
	for i := range readsAfter {
		if e.ask(r.addr, fmt.Sprint("after, read ", i+1), get("/part")) == 200 {
			servedAfter++
		}
		time.Sleep(pauseBetween)
	}
	e.printf("after the quiet time: %d of %d reads served, %d reached a member", servedAfter, readsAfter, runs(members)-runsBefore)
	if servedAfter == 0 {
		return "after the quiet time the router serves nothing any more, although the members are sound", nil
	}
	return "", nil
}
