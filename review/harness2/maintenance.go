package main

import (
	"fmt"
	"time"

	"tillerusher/internal/fake"
)

// The traffic of the case.
const (
	writes       = 10
	writeTime    = 300 * time.Millisecond // of one write at a member
	hastyTimeout = 100 * time.Millisecond // after which the gateway stops waiting for a try
	firstSlip    = 100
)

// forms are the locations that the reload brings, by what the operator does.
var forms = []struct{ purpose, location string }{
	{"maintenance: the location answers 503", "(return 503)"},
	{"the location uses another class with the same effect and window", "(pool app) (class book)"},
}

// runMaintenance plays two routers of one deployment and a hasty gateway, which stops waiting for ten writes while they run at the
// first router. After the writes have run, the operator changes their location at the first router, and SIGHUP applies the
// change. The gateway tries its writes again at the same router. A refusal proves to it that nothing ran, so it then goes on to
// the second router. The rule is broken if a write is run twice. The case plays each form of the change with new routers.
func runMaintenance(e *environment) (broken string, err error) {
	for _, form := range forms {
		e.printf("form: %s", form.purpose)
		result, err := e.playReload(form.location)
		if err != nil {
			return "", err
		}
		if result != "" {
			e.printf("broken in this form: %s", result)
			broken += form.purpose + ": " + result + "; "
		}
	}
	return broken, nil
}

// playReload plays the case with the location that the reload brings.
func (e *environment) playReload(reloaded string) (broken string, err error) {
	members, list, err := startMembers(2, writeTime)
	if err != nil {
		return "", err
	}
	defer stopMembers(members)
	routes := func(location string) string {
		return "(capacity 16)\n" +
			"(class reserve (aim 2400ms) (deadline 6100ms) (effect keyed) (window 18354ms))\n" +
			"(class book (aim 1400ms) (deadline 3700ms) (effect keyed) (window 18354ms))\n" +
			"(pool app" + list + " (keepalive 8))\n" +
			"(server (listen LISTEN) (location prefix / " + location + "))\n"
	}
	var routers []router
	for range 2 {
		r, err := e.startRouter(routes("(pool app) (class reserve)"))
		if err != nil {
			return "", err
		}
		routers = append(routers, r)
	}
	if err := e.sendAndStopWaiting(routers[0].addr); err != nil {
		return "", err
	}
	if err := waitFor("the writes at the members", func() bool { return runs(members) == writes }); err != nil {
		return "", err
	}
	time.Sleep(2 * writeTime)
	if e.trouble {
		if err := e.reload(routers[0], routes(reloaded)); err != nil {
			return "", err
		}
	}
	for n := range writes {
		again := write(firstSlip+n).WithHeader("Attempt-Again", "1")
		if status := e.ask(routers[0].addr, fmt.Sprintf("write %d again at the first router", n+1), again); status != 503 && status != 429 {
			continue
		}
		e.ask(routers[1].addr, fmt.Sprintf("write %d at the second router, after a refusal", n+1), again)
	}
	twice := 0
	for key, n := range runsByKey(members) {
		e.printf("key %s ran %d times", key, n)
		if n > 1 {
			twice++
		}
	}
	if twice > 0 {
		return fmt.Sprintf("%d of %d writes that had run were run a second time", twice, writes), nil
	}
	return "", nil
}

// sendAndStopWaiting sends the writes on one connection and stops waiting for them, without a sign to the router. The connection
// stays open and unread until the program ends.
func (e *environment) sendAndStopWaiting(addr string) error {
	gateway, err := fake.Dial(addr)
	if err != nil {
		return err
	}
	for n := range writes {
		if err := gateway.Write(write(firstSlip + n).Encode(uint16(n + 1))); err != nil {
			return err
		}
	}
	time.Sleep(hastyTimeout)
	e.printf("the gateway sent %d writes to the first router and does not wait for them any longer", writes)
	return nil
}

// runsByKey returns how often the members ran the write of each key.
func runsByKey(members []*fake.Member) map[string]int {
	counts := map[string]int{}
	for _, m := range members {
		for _, params := range m.ReceivedParams() {
			counts[params["HTTP_ONCE_KEY"]]++
		}
	}
	return counts
}
