//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tillerusher/internal/fake"
)

// The course of the case, in time since its requests are sent first.
const (
	refusalRequests = 10
	refusalPatience = 250 * time.Millisecond // after which the gateway no longer waits for a first try
	refusalRun      = 400 * time.Millisecond // duration of a run
	refusalCrowd    = 500 * time.Millisecond // when the crowd connects
	refusalRetry    = 900 * time.Millisecond // when the gateway tries again
)

// refusal plays a gateway that waits briefly and tries keyed requests again at the same server after their runs have ended,
// while a crowd of clients halts half way. After a refusal the gateway goes on to the next server of its list. refusal
// reports whether a request was turned away by the server that had run it.
func refusal(r *record, dir string, trouble bool) (bool, error) {
	var servers []*server
	for _, name := range []string{"n1", "n2"} {
		s, err := startServer(r, dir, name, limits{memoryMB: 64, sockets: 512}, 2)
		if err != nil {
			return false, err
		}
		s.interpreter.OnRun(func(run fake.RunCommand) {
			r.add("%s: interpreter runs %s %q", name, run.ID, run.Body)
			time.AfterFunc(refusalRun, func() { s.interpreter.EndRun(run.ID, "OK", []byte("held by "+name)) })
		})
		servers = append(servers, s)
	}
	first, next := &gateway{r: r, name: "g1 to n1", addr: servers[0].addr}, &gateway{r: r, name: "g1 to n2", addr: servers[1].addr}
	start := time.Now()
	body := func(slip int) string { return fmt.Sprintf("slip %d: hold 2 of part 4711", slip) }
	for slip := range refusalRequests {
		first.send(fake.NewReserve(slip, body(slip)), fake.ReserveDeadline, 0)
	}
	time.Sleep(time.Until(start.Add(refusalPatience)))
	r.add("the gateway no longer waits for the first tries")
	time.Sleep(time.Until(start.Add(refusalCrowd)))
	if trouble {
		c := &crowd{addr: servers[0].addr, stay: 1500 * time.Millisecond}
		r.add("a crowd of 400 clients connects to n1, and halts half way in 1,100 requests")
		random := rand.New(rand.NewPCG(1, 1))
		c.start(random, 100, 8, 8<<10, 16000)
		c.start(random, 300, 1, 20, 2500)
		defer func() {
			c.wg.Wait()
			r.add("the crowd has left: %d times part of a request sent, %d times turned away", c.sent.Load(), c.rejected.Load())
		}()
	}
	time.Sleep(time.Until(start.Add(refusalRetry)))
	var further []*try
	for slip := range refusalRequests {
		request := fake.NewReserve(slip, body(slip)).WithHeader("Attempt-Again", "1")
		further = append(further, first.send(request, fake.ReserveDeadline, 0))
	}
	time.Sleep(200 * time.Millisecond)
	for slip, t := range further {
		if first.fate(t) == fateRefused {
			request := fake.NewReserve(slip, body(slip)).WithHeader("Attempt-Again", "1")
			next.send(request, fake.ReserveDeadline, 0)
		}
	}
	time.Sleep(refusalRun + 500*time.Millisecond)
	return judgeRefusal(r, servers, first, next), nil
}

// judgeRefusal records all tries, and reports whether a request was turned away by the server that had run it.
func judgeRefusal(r *record, servers []*server, first, next *gateway) bool {
	for _, g := range []*gateway{first, next} {
		for _, t := range g.stop() {
			t.record(r, g.name)
		}
	}
	r.add("n1: peak memory %s", servers[0].peakMemory())
	runs := make([][]string, len(servers)) // bodies of the runs of each server
	for i, s := range servers {
		for _, run := range s.interpreter.StartedRuns() {
			runs[i] = append(runs[i], string(run.Body))
		}
	}
	refused, twice := 0, 0
	for _, t := range first.tries {
		if t.fate() == fateRefused && slices.Contains(runs[0], string(t.request.Body)) {
			refused++
		}
	}
	for _, body := range runs[1] {
		if slices.Contains(runs[0], body) {
			twice++
		}
	}
	r.add("%d requests ran at n1; %d further tries of them were then refused by n1, and %d requests ran at n2 too",
		len(runs[0]), refused, twice)
	return refused > 0
}
