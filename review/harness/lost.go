//go:build review

package main

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tillerusher/internal/fake"
)

// The load of the case: gateways that together send as many first tries as the site has, to one server whose interpreter
// can do nine tenths of them.
const (
	lostGateways      = 3
	lostRate          = 160.0 // first tries per second
	lostCores         = 6
	lostMeanWork      = 41 * time.Millisecond // on one core
	lostSpread        = 1.0                   // of the logarithm of the work
	lostReserves      = 0.35                  // share of the keyed class
	lostBody          = 2000                  // bytes; the limit is 2 KiB
	lostTries         = 3                     // further tries of a request
	lostLength        = 20 * time.Second
	lostFirstCrowd    = 3 * time.Second
	lostCrowdInterval = 1300 * time.Millisecond
	lostCrowdStay     = 400 * time.Millisecond
	lostBound         = 3.0 / 1000 // share of requests without a final answer that breaks the rule
)

// lost plays gateways that load one server, while crowds of clients connect and halt half way. It reports whether more
// requests than the pages allow got no final answer in time.
func lost(r *record, dir string, trouble bool) (bool, error) {
	s, err := startServer(r, dir, "n1", limits{memoryMB: 64, sockets: 512}, 1)
	if err != nil {
		return false, err
	}
	s.interpreter.SimulateWork(lostCores, fake.ParseWork)
	gateways := make([]*gateway, lostGateways)
	for i := range gateways {
		gateways[i] = &gateway{r: r, name: fmt.Sprintf("g%d", i+1), addr: s.addr}
	}
	start := time.Now()
	if trouble {
		go playCrowds(r, s.addr, start)
	}
	random := rand.New(rand.NewPCG(2, 2))
	sent := 0
	for at := 0.0; at < lostLength.Seconds(); at += random.ExpFloat64() / lostRate {
		time.Sleep(time.Until(start.Add(time.Duration(at * float64(time.Second)))))
		sent++
		work := float64(lostMeanWork) * math.Exp(lostSpread*random.NormFloat64()-lostSpread*lostSpread/2)
		body := append(fake.WorkBody(fmt.Sprintf("slip %d", sent), time.Duration(work)), ' ')
		body = append(body, bytes.Repeat([]byte("."), lostBody-len(body))...)
		request, deadline := fake.NewLookup(string(body)), fake.LookupDeadline
		if random.Float64() < lostReserves {
			request, deadline = fake.NewReserve(sent, string(body)), fake.ReserveDeadline
		}
		request = request.WithHeader("Account", tenant(random))
		gateways[sent%lostGateways].send(request, deadline, lostTries)
	}
	time.Sleep(fake.ReserveDeadline + answerSlack + 500*time.Millisecond)
	return judgeLost(r, s, gateways), nil
}

// tenant returns a random tenant, each as often as its share in the settings.
func tenant(random *rand.Rand) string {
	switch x := random.Float64(); {
	case x < 0.34:
		return "central"
	case x < 0.68:
		return "southern"
	case x < 0.84:
		return "northern"
	}
	return "east-coast"
}

// playCrowds plays one crowd after the other. Of a crowd of 400 clients, 100 halt half way in eight requests each, which
// have 16 KB at most, and 300 halt in one request, which has the size of a gateway's at most.
func playCrowds(r *record, addr string, start time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	for at := lostFirstCrowd; at < lostLength-lostCrowdInterval; at += lostCrowdInterval {
		time.Sleep(time.Until(start.Add(at)))
		c := &crowd{addr: addr, stay: lostCrowdStay}
		r.add("a crowd of 400 clients connects, and halts half way in 1,100 requests")
		c.start(random, 100, 8, 8<<10, 16000)
		c.start(random, 300, 1, 20, 2500)
		c.wg.Wait()
		r.add("the crowd has left: %d times part of a request sent, %d times turned away", c.sent.Load(), c.rejected.Load())
	}
}

// judgeLost records all tries and reports whether the share without a final answer in time breaks the rule.
func judgeLost(r *record, s *server, gateways []*gateway) bool {
	counts := map[string]int{}
	tries, missing := 0, 0
	for _, g := range gateways {
		for _, t := range g.stop() {
			tries++
			fate := t.fate()
			counts[fate]++
			if fate == fateLost || fate == fateLate {
				missing++
			}
			t.record(r, g.name)
		}
	}
	share := float64(missing) / float64(tries)
	r.add("%s: %d runs; peak memory %s", s.name, len(s.interpreter.StartedRuns()), s.peakMemory())
	r.add("%d tries by their fate: %v", tries, counts)
	r.add("%d without a final answer in time: %.1f in 1,000; from 3 in 1,000 on the rule is broken", missing, 1000*share)
	return share >= lostBound
}
