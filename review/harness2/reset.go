package main

import (
	"fmt"
	"time"

	"tillerusher/internal/fake"
)

// The traffic of the case: each read takes readTime at its member. A few callers send reads at once, wait for the answers
// and pause.
const (
	readTime      = 50 * time.Millisecond
	warmUpRounds  = 30
	roundReads    = 4
	judgedRounds  = 20
	roundInterval = time.Second
)

// runReset plays a small deployment of the router: four sound members and callers that send a few reads a second. One
// caller's connection is reset once, just as an answer arrives, while another read is open on it. The rule is broken if the
// router then serves none of the reads of the last half of the judged time, although all members are idle and sound.
func runReset(e *environment) (broken string, err error) {
	members, list, err := startMembers(4, readTime)
	if err != nil {
		return "", err
	}
	defer stopMembers(members)
	r, err := e.startRouter("(capacity 16)\n" +
		"(class lookup (aim 1400ms) (deadline 3700ms) (effect safe))\n" +
		"(pool app" + list + " (keepalive 8))\n" +
		"(server (listen LISTEN) (location prefix / (pool app) (class lookup)))\n")
	if err != nil {
		return "", err
	}
	served := 0
	for range warmUpRounds {
		served += e.askTogether(r.addr, "warm-up", roundReads)
	}
	e.printf("warm-up: %d of %d reads served", served, warmUpRounds*roundReads)
	if served < warmUpRounds*roundReads*9/10 {
		return "", fmt.Errorf("only %d reads of the warm-up were served", served)
	}
	if err := e.resetAtAnswer(r.addr); err != nil {
		return "", err
	}
	servedLate, runsBefore := 0, 0
	for round := range judgedRounds {
		time.Sleep(roundInterval)
		if round == judgedRounds/2 {
			runsBefore = runs(members)
		}
		n := e.askTogether(r.addr, fmt.Sprint("round ", round+1), roundReads)
		if round >= judgedRounds/2 {
			servedLate += n
		}
	}
	runsLate := runs(members) - runsBefore
	e.printf("last %d rounds: %d of %d reads served, %d run by the members", judgedRounds/2, servedLate, judgedRounds/2*roundReads, runsLate)
	if servedLate == 0 && runsLate == 0 {
		return "the router runs and serves nothing any more, although all members are idle", nil
	}
	return "", nil
}

// resetAtAnswer sends two reads on one connection, the second one half a read later, and waits for the answer of the first.
// Then it resets the connection, with the second read open on it. Without the disruption it waits for the second answer and
// closes the connection.
func (e *environment) resetAtAnswer(addr string) error {
	client, err := fake.Dial(addr)
	if err != nil {
		return err
	}
	if err := client.Write(get("/first").Encode(1)); err != nil {
		return err
	}
	time.Sleep(readTime / 2)
	if err := client.Write(get("/second").Encode(2)); err != nil {
		return err
	}
	answer, err := client.ReadResponse(1, time.Now().Add(answerTimeout))
	if err != nil {
		return err
	}
	e.printf("caller: answer %d to the first of two reads", answer.Status)
	if e.trouble {
		reset(client)
		e.printf("caller: connection reset with the second read open")
		return nil
	}
	if answer, err = client.ReadResponse(2, time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	e.printf("caller: answer %d to the second read", answer.Status)
	client.Close()
	return nil
}

// askTogether sends n reads at once, each on its own connection, and returns how many were served.
func (e *environment) askTogether(addr, name string, n int) (served int) {
	statuses := make(chan int)
	for i := range n {
		go func() { statuses <- e.ask(addr, fmt.Sprintf("%s, read %d", name, i+1), get("/part")) }()
	}
	for range n {
		if <-statuses == 200 {
			served++
		}
	}
	return served
}

// startMembers starts n sound members that take the time for each request, and returns them with their forms for a pool.
func startMembers(n int, perRequest time.Duration) (members []*fake.Member, list string, err error) {
	for i := range n {
		member, err := fake.NewMember(fmt.Sprint("member", i+1))
		if err != nil {
			stopMembers(members)
			return nil, "", err
		}
		member.SetBehavior(fake.Healthy, perRequest)
		members = append(members, member)
		list += " (member " + member.Addr() + ")"
	}
	return members, list, nil
}

// stopMembers stops members.
func stopMembers(members []*fake.Member) {
	for _, m := range members {
		m.Stop()
	}
}

// runs returns how many requests the members have received.
func runs(members []*fake.Member) (total int) {
	for _, m := range members {
		total += len(m.ReceivedParams())
	}
	return total
}
