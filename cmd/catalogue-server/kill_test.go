package main

import (
	"errors"
	"flag"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/capture"
	"tillerusher/internal/fake"
	"tillerusher/internal/replay"
	"tillerusher/internal/servertest"
)

// kills is how often TestKills kills a server; docs/design/capture.md has the figures of 200.
var kills = flag.Int("kills", 4, "how often TestKills kills a server")

// maxKills bounds the kills of TestKills, which goes on until one leaves a record: early kills leave none.
const maxKills = 50

// TestKills kills recording servers with SIGKILL at random points of a load: each capture is read up to its last complete
// block, a start in the same directory overwrites nothing, and the replay makes the same decisions.
func TestKills(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	records, torn, unanswered, killedEarly := uint64(0), 0, 0, 0
	kill := 0
	for ; kill < *kills || records == 0 && kill < maxKills; kill++ {
		server := servertest.Start(t, program+" serve --capture "+dir, interpreter, nil)
		server.WaitHealthy()
		var answers atomic.Int64
		killAfter := rng.Int64N(3000) // answers before the kill
		ended := make(chan bool)
		go func() {
			defer close(ended)
			sendContinuously(server.Addr, &answers)
		}()
		servertest.WaitFor(t, "answers", func() bool { return answers.Load() >= killAfter })
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond) // at a random time between two answers
		server.Signal(syscall.SIGKILL)
		server.WaitExit()
		<-ended
		segments, bad, err := capture.Open(dir)
		if records == 0 && len(segments) == 0 && (err == nil || errors.Is(err, capture.ErrNotCapture)) {
			killedEarly++ // before the first state of a segment was written: nothing can be read yet
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		r, err := replay.Run(segments, kill%2 == 1, replay.Visitor{})
		if err != nil {
			t.Fatal(err)
		}
		if r.FirstDifference != nil || r.Skipped > 0 {
			t.Fatalf("kill %d after %d answers: %v, %d events skipped", kill, answers.Load(), r.FirstDifference, r.Skipped)
		}
		if r.Records < records {
			t.Fatalf("kill %d: %d records are left of %d", kill, r.Records, records)
		}
		records = r.Records
		last := segments[len(segments)-1]
		if len(last.Damage) > 1 {
			t.Errorf("kill %d: more than the end is torn: %v", kill, last.Damage)
		}
		if last.Complete {
			t.Errorf("kill %d: the segment looks as if it was ended in order", kill)
		}
		torn += len(last.Damage)
		unanswered += len(bad)
	}
	if records == 0 {
		t.Errorf("%d kills left no record", kill)
	}
	t.Logf("%d kills: %d records are read, %d segments end in a torn block, %d are too short to be read, %d kills came before the first segment",
		kill, records, torn, unanswered, killedEarly)
}

// sendContinuously keeps requests of all kinds open on one connection until that ends.
func sendContinuously(addr string, answers *atomic.Int64) {
	g, err := fake.Dial(addr)
	if err != nil {
		return
	}
	defer g.Close()
	send := func(id uint16) error {
		if id%3 == 0 {
			return g.Write(fake.NewReserve(rand.IntN(100), "x").Encode(id))
		}
		return g.Write(fake.NewLookup("x").Encode(id))
	}
	for id := range uint16(16) {
		if send(id+1) != nil {
			return
		}
	}
	for {
		a, err := g.ReadResponse(0, time.Time{})
		if err != nil || send(a.ID) != nil {
			return
		}
		answers.Add(1)
	}
}
