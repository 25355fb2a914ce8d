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

// kills is the number of times that TestKills kills a server. docs/design/capture.md has the results of 200 kills.
var kills = flag.Int("kills", 4, "how often TestKills kills a server")

// maxKills is the maximum number of kills in TestKills, which continues until a kill leaves a record. Early kills leave none.
const maxKills = 50

// TestKills kills recording servers with SIGKILL at random times under load. Each capture must be readable up to its last
// complete block, a start in the same directory must not overwrite records, and the replay must make the same decisions.
func TestKills(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	dir := t.TempDir()
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	records, torn, unreadable, killedEarly := uint64(0), 0, 0, 0
	kill := 0
	for ; kill < *kills || records == 0 && kill < maxKills; kill++ {
		server := servertest.Start(t, serverCommand+" serve --capture "+dir, interpreter, nil)
		server.WaitHealthy()
		var responses atomic.Int64
		killAfter := rng.Int64N(3000) // number of responses before the kill
		ended := make(chan bool)
		go func() {
			defer close(ended)
			sendContinuously(server.Addr, &responses)
		}()
		servertest.WaitFor(t, "responses", func() bool { return responses.Load() >= killAfter })
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond) // at a random time between two responses
		server.Signal(syscall.SIGKILL)
		server.WaitExit()
		<-ended
		segments, bad, err := capture.Open(dir)
		if records == 0 && len(segments) == 0 && (err == nil || errors.Is(err, capture.ErrNotCapture)) {
			killedEarly++ // killed before the first segment's snapshot was written, so there is nothing to read
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
			t.Fatalf("kill %d after %d responses: difference %v, %d events skipped", kill, responses.Load(), r.FirstDifference, r.Skipped)
		}
		if r.Records < records {
			t.Fatalf("kill %d: %d records, want at least the %d before it", kill, r.Records, records)
		}
		records = r.Records
		last := segments[len(segments)-1]
		if len(last.Damage) > 1 {
			t.Errorf("kill %d: damage at more than the end of the segment: %v", kill, last.Damage)
		}
		if last.Complete {
			t.Errorf("kill %d: the segment is marked as complete", kill)
		}
		torn += len(last.Damage)
		unreadable += len(bad)
	}
	if records == 0 {
		t.Errorf("%d kills left no record", kill)
	}
	t.Logf("%d kills: %d records read, %d segments with a torn last block, %d too short to be read, %d kills before the first segment",
		kill, records, torn, unreadable, killedEarly)
}

// sendContinuously keeps 16 requests of both classes open on one connection until the connection ends, and counts the
// responses.
func sendContinuously(addr string, responses *atomic.Int64) {
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
		responses.Add(1)
	}
}
