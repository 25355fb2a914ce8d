package loadtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/internal/fake"
	"tillerusher/internal/faultfs"
)

// Disk is what a server keeps its state on in a comparison.
type Disk string

// The disks: none at all, a sound one, and one that stands still now and then.
const (
	NoDisk      Disk = "none"
	HealthyDisk Disk = "sound"
	FaultyDisk  Disk = "stalling"
)

// StateCostConfig is what the cost of keeping state is measured with. The daemon is a program with the command line of
// `cataloguectl state serve`, so that one program plays all disks.
type StateCostConfig struct {
	SaturationConfig
	IdempotentRate float64 // keyed requests a second, on a connection of their own
	FaultProfile   faultfs.Profile
}

// StateThroughput is a round: what lookups and keyed requests got on a disk. Lookups come as fast as they are answered, keyed ones at
// their rate, and a keyed one's latency counts from when it was meant to be sent.
type StateThroughput struct {
	Disk       Disk       `json:"disk"`
	Lookups    Throughput `json:"lookups"`
	Idempotent Throughput `json:"keyed"`
	Rejected   int        `json:"refused"` // keyed requests that were not served
	Syncs      float64    `json:"syncs"`   // for each keyed request that was
}

// StateCost compares disks that were taken in turn.
type StateCost struct {
	Rounds []StateThroughput `json:"rounds"`
	// Ratio has the medians over the rounds of a disk's figures over those with none, by disk, class and figure.
	Ratio map[Disk]map[string]map[string]float64 `json:"ratio"`
}

// MeasureStateCost has a daemon on one core answer as many lookups as it can beside keyed requests at a rate, on each disk in
// turn.
func MeasureStateCost(ctx context.Context, c StateCostConfig) (*StateCost, error) {
	dir, err := os.MkdirTemp("", "catalogue-server-durable")
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	defer os.RemoveAll(dir)
	disks := []Disk{NoDisk, HealthyDisk, FaultyDisk}
	cost := &StateCost{Ratio: map[Disk]map[string]map[string]float64{}}
	of := map[Disk]map[string]map[string][]float64{}
	for round := range c.Rounds {
		loads := map[Disk]*StateThroughput{}
		for n := range disks {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			disk := disks[(n+round)%len(disks)] // each comes first as often, so that a machine that slows down favours none
			l, err := holdState(c, disk, filepath.Join(dir, fmt.Sprint(round, disk)))
			if err != nil {
				return nil, err
			}
			loads[disk] = l
			cost.Rounds = append(cost.Rounds, *l)
			if c.Progress != nil {
				c.Progress(len(cost.Rounds), len(disks)*c.Rounds)
			}
		}
		for _, disk := range disks[1:] {
			if of[disk] == nil {
				of[disk] = map[string]map[string][]float64{"lookups": {}, "keyed": {}}
			}
			for class, pair := range map[string][2]*Throughput{"lookups": {&loads[disk].Lookups, &loads[NoDisk].Lookups},
				"keyed": {&loads[disk].Idempotent, &loads[NoDisk].Idempotent}} {
				for name, v := range ratios(pair[0], pair[1]) {
					of[disk][class][name] = append(of[disk][class][name], v)
				}
			}
		}
	}
	for disk, classes := range of {
		cost.Ratio[disk] = map[string]map[string]float64{}
		for class, figures := range classes {
			cost.Ratio[disk][class] = map[string]float64{}
			for name, list := range figures {
				if name == "cpu" && class == "keyed" {
					continue // the daemon's is counted with the lookups
				}
				cost.Ratio[disk][class][name] = median(list)
			}
		}
	}
	return cost, nil
}

// holdState runs one round.
func holdState(c StateCostConfig, disk Disk, dir string) (*StateThroughput, error) {
	args := []string{"state", "serve"}
	if disk != NoDisk {
		args = append(args, "--dir", dir)
	}
	if disk == FaultyDisk {
		args = append(args, "--stall", c.FaultProfile.StallTime.String(), "--every", c.FaultProfile.StallInterval.String())
	}
	out := &StateThroughput{Disk: disk}
	served := 0
	lookups, d, err := hold(c.SaturationConfig, args, func(d *daemon, end time.Time) error {
		k := paced{rate: c.IdempotentRate, h: newLatencies()}
		err := k.run(d.addr, end)
		out.Idempotent.fill(k.h, c.RoundDuration)
		served, out.Rejected = k.served, int(k.h.TotalCount())-k.served
		return err
	})
	if err != nil {
		return nil, err
	}
	out.Lookups = *lookups
	if m := d.logged("state"); m != nil {
		if syncs, ok := m["syncs"].(float64); ok && served > 0 {
			out.Syncs = syncs / float64(served)
		}
	}
	return out, nil
}

// paced sends keyed requests at a rate on one connection.
type paced struct {
	rate   float64
	h      *hdrhistogram.Histogram
	served int
}

// run sends until the end and waits for all answers.
func (p *paced) run(addr string, end time.Time) error {
	g, err := fake.Dial(addr)
	if err != nil {
		return err
	}
	defer g.Close()
	var mu sync.Mutex
	intended := map[uint16]time.Time{}
	free := make(chan uint16, maxOpen)
	for id := uint16(1); id <= maxOpen; id++ {
		free <- id
	}
	read := make(chan error, 1)
	go func() {
		for {
			a, err := g.ReadResponse(0, end.Add(patience))
			now := time.Now()
			if err != nil {
				read <- err
				return
			}
			mu.Lock()
			record(p.h, now.Sub(intended[a.ID]))
			if a.Status == 200 {
				p.served++
			}
			mu.Unlock()
			free <- a.ID
		}
	}()
	each := time.Duration(float64(time.Second) / p.rate)
	for next, n := time.Now(), 0; next.Before(end); next, n = next.Add(each), n+1 {
		time.Sleep(time.Until(next))
		select {
		case err := <-read:
			return err
		case id := <-free:
			mu.Lock()
			intended[id] = next
			mu.Unlock()
			if err := g.Write(fake.NewReserve(n, "a body of a usual length, say").Encode(id)); err != nil {
				return err
			}
		}
	}
	for range maxOpen { // all are free again
		select {
		case err := <-read:
			return err
		case <-free:
		}
	}
	return nil
}
