package main

import (
	"fmt"
	"time"

	"tillerusher/internal/fake"
)

// refusalTime is how long the first member holds a request before it refuses it.
const refusalTime = 2 * time.Second

// runRemoved plays a move of all traffic from two old members to a new one: the operator replaces the pool in the file of
// routes and sends SIGHUP. A write that was sent to the first old member before is refused by it afterwards, as draining
// servers do. The rule is broken if the second old member then runs the write: it was removed a second before.
func runRemoved(e *environment) (broken string, err error) {
	oldMembers, oldList, err := startMembers(2, 0)
	if err != nil {
		return "", err
	}
	defer stopMembers(oldMembers)
	newMembers, newList, err := startMembers(1, 0)
	if err != nil {
		return "", err
	}
	defer stopMembers(newMembers)
	routes := func(pool, list string) string {
		return "(capacity 16)\n" +
			"(class reserve (aim 2400ms) (deadline 6100ms) (effect keyed) (window 18354ms))\n" +
			"(pool " + pool + list + " (keepalive 8))\n" +
			"(server (listen LISTEN) (location prefix / (pool " + pool + ") (class reserve)))\n"
	}
	r, err := e.startRouter(routes("blue", oldList))
	if err != nil {
		return "", err
	}
	if status := e.ask(r.addr, "write before", write(1)); status != 200 { // goes to the first old member
		return "", fmt.Errorf("the write before was answered with %d", status)
	}
	if status := e.ask(r.addr, "write before", write(2)); status != 200 { // goes to the second one
		return "", fmt.Errorf("the write before was answered with %d", status)
	}
	oldMembers[0].SetBehavior(fake.Overloaded, refusalTime)
	runsBefore := len(oldMembers[1].ReceivedParams())
	answered := make(chan int)
	go func() { answered <- e.ask(r.addr, "write during the move", write(3)) }()
	if err := waitFor("the write at the first old member", func() bool { return len(oldMembers[0].ReceivedParams()) == 2 }); err != nil {
		return "", err
	}
	if e.trouble {
		if err := e.move(r, routes("green", newList)); err != nil {
			return "", err
		}
	}
	status := <-answered
	time.Sleep(100 * time.Millisecond)
	runsAtRemoved := len(oldMembers[1].ReceivedParams()) - runsBefore
	e.printf("write during the move: answer %d; run %d times by the second old member, %d times by the new one", status, runsAtRemoved,
		len(newMembers[0].ReceivedParams()))
	if e.trouble && runsAtRemoved > 0 {
		return "a member that was removed before has been sent a request and has run it", nil
	}
	return "", nil
}

// move replaces the routes and waits until the router has them in force: it has logged so, and the new member has served a
// write of another caller.
func (e *environment) move(r router, routes string) error {
	if err := e.reload(r, routes); err != nil {
		return err
	}
	if status := e.ask(r.addr, "write of another caller after the move", write(4)); status != 200 {
		return fmt.Errorf("the write after the move was answered with %d", status)
	}
	return nil
}

// write returns the write with the number, under its own key.
func write(number int) fake.Request {
	return fake.Request{Method: "POST", Path: "/reserve", Body: fmt.Appendf(nil, "slip %d", number),
		Headers: map[string]string{"Once-Key": fmt.Sprintf("%032x", number)}}
}
