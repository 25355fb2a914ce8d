package loadtest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/faultfs"
)

// Disk is what a server keeps its state on in a comparison.
type Disk string

// The disks that are compared.
const (
	NoDisk      Disk = "none"     // no state is kept
	HealthyDisk Disk = "sound"    // the machine's own
	FaultyDisk  Disk = "stalling" // one that stalls now and then
)

// The classes of requests, as they are named in StateCost.Ratio.
const (
	LookupClass     = "lookups"
	IdempotentClass = "keyed"
)

// StateCostConfig is the measurement of what keeping state costs. The daemon is a program with the command line of
// `cataloguectl state serve`, so that one program plays all disks.
type StateCostConfig struct {
	SaturationConfig
	IdempotentRate float64 // requests with an idempotency key per second, on a connection of their own
	FaultProfile   faultfs.Profile
}

// StateThroughput is a round on one disk. Lookups come as fast as they are answered, requests with an idempotency key at
// their rate; the latency of these counts from the time at which they were meant to be sent.
type StateThroughput struct {
	Disk       Disk       `json:"disk"`
	Lookups    Throughput `json:"lookups"`
	Idempotent Throughput `json:"keyed"`
	Rejected   int        `json:"refused"` // requests with a key that were not served
	Syncs      float64    `json:"syncs"`   // per request with a key that was served
}

// StateCost compares disks that were measured in turn.
type StateCost struct {
	Rounds []StateThroughput `json:"rounds"`
	// Ratio has the medians over the rounds of a disk's figures over those without a disk, by disk, class and figure.
	Ratio map[Disk]map[string]map[string]float64 `json:"ratio"`
}

// MeasureStateCost measures how many lookups a daemon on one core answers beside requests with an idempotency key at a rate,
// on each disk in turn.
func MeasureStateCost(ctx context.Context, config StateCostConfig) (*StateCost, error) {
	dir, err := os.MkdirTemp("", "catalogue-server-durable")
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	defer os.RemoveAll(dir)
	disks := []Disk{NoDisk, HealthyDisk, FaultyDisk}
	cost := &StateCost{}
	ratios := stateRatios{}
	for n := range config.Rounds {
		byDisk := map[Disk]*StateThroughput{}
		for i := range disks {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			disk := disks[(i+n)%len(disks)] // each comes first as often, so that a machine that slows down favours none
			throughput, err := runStateRound(config, disk, filepath.Join(dir, fmt.Sprint(n, disk)))
			if err != nil {
				return nil, err
			}
			byDisk[disk] = throughput
			cost.Rounds = append(cost.Rounds, *throughput)
			if config.Progress != nil {
				config.Progress(len(cost.Rounds), len(disks)*config.Rounds)
			}
		}
		for _, disk := range disks[1:] {
			ratios.add(disk, LookupClass, &byDisk[disk].Lookups, &byDisk[NoDisk].Lookups)
			ratios.add(disk, IdempotentClass, &byDisk[disk].Idempotent, &byDisk[NoDisk].Idempotent)
		}
	}
	cost.Ratio = ratios.medians()
	return cost, nil
}

// stateRatios collects ratios by disk, class and figure.
type stateRatios map[Disk]map[string]map[string][]float64

// add adds the ratios of a class's figures on a disk.
func (r stateRatios) add(disk Disk, class string, t, base *Throughput) {
	if r[disk] == nil {
		r[disk] = map[string]map[string][]float64{}
	}
	if r[disk][class] == nil {
		r[disk][class] = map[string][]float64{}
	}
	for figure, ratio := range t.ratiosTo(base) {
		r[disk][class][figure] = append(r[disk][class][figure], ratio)
	}
}

// medians returns the median of each figure.
func (r stateRatios) medians() map[Disk]map[string]map[string]float64 {
	medians := map[Disk]map[string]map[string]float64{}
	for disk, classes := range r {
		medians[disk] = map[string]map[string]float64{}
		for class, figures := range classes {
			medians[disk][class] = map[string]float64{}
			for figure, list := range figures {
				if figure == "cpu" && class == IdempotentClass {
					continue // the daemon's processor time is counted with the lookups
				}
				medians[disk][class][figure] = median(list)
			}
		}
	}
	return medians
}

// runStateRound runs one round on a disk.
func runStateRound(config StateCostConfig, disk Disk, dir string) (*StateThroughput, error) {
	args := []string{"state", "serve"}
	if disk != NoDisk {
		args = append(args, "--dir", dir)
	}
	if disk == FaultyDisk {
		args = append(args, "--stall", config.FaultProfile.StallTime.String(), "--every", config.FaultProfile.StallInterval.String())
	}
	throughput := &StateThroughput{Disk: disk}
	served := 0
	lookups, target, err := runRound(config.SaturationConfig, args, func(target *target, end time.Time) error {
		sender := pacedSender{rate: config.IdempotentRate, end: end, latencies: newLatencies()}
		err := sender.run(target.addr)
		throughput.Idempotent.setLatencies(sender.latencies, config.RoundDuration)
		served = sender.served
		throughput.Rejected = int(sender.latencies.count()) - served
		return err
	})
	if err != nil {
		return nil, err
	}
	throughput.Lookups = *lookups
	if entry := target.log.Last("state", nil); entry != nil {
		if syncs, ok := entry["syncs"].(float64); ok && served > 0 {
			throughput.Syncs = syncs / float64(served)
		}
	}
	return throughput, nil
}

// pacedSender sends requests with an idempotency key at a rate on one connection.
type pacedSender struct {
	rate    float64
	end     time.Time
	conn    *fake.Gateway
	freeIDs chan uint16
	readErr chan error

	mu        sync.Mutex           // guards all that follows
	intended  map[uint16]time.Time // by FastCGI request ID
	latencies latencies
	served    int
}

// run sends until the end and waits for all responses.
func (s *pacedSender) run(addr string) error {
	conn, err := fake.Dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	s.conn = conn
	s.intended = map[uint16]time.Time{}
	s.freeIDs = make(chan uint16, MaxOpenRequests)
	s.readErr = make(chan error, 1)
	for id := uint16(1); id <= MaxOpenRequests; id++ {
		s.freeIDs <- id
	}
	go s.read()
	if err := s.sendAll(); err != nil {
		return err
	}
	for range MaxOpenRequests { // once all are free, all are answered
		if _, err := s.takeID(); err != nil {
			return err
		}
	}
	return nil
}

// sendAll sends requests at the rate until the end.
func (s *pacedSender) sendAll() error {
	interval := time.Duration(float64(time.Second) / s.rate)
	n := 0
	for next := time.Now(); next.Before(s.end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		id, err := s.takeID()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.intended[id] = next
		s.mu.Unlock()
		if err := s.conn.Write(fake.NewReserve(n, requestBody).Encode(id)); err != nil {
			return err
		}
		n++
	}
	return nil
}

// takeID waits for a request ID that is free, or for the reader's error.
func (s *pacedSender) takeID() (uint16, error) {
	select {
	case err := <-s.readErr:
		return 0, err
	case id := <-s.freeIDs:
		return id, nil
	}
}

// read records the responses until the connection ends.
func (s *pacedSender) read() {
	for {
		response, err := s.conn.ReadResponse(0, s.end.Add(daemonTimeout))
		now := time.Now()
		if err != nil {
			s.readErr <- err
			return
		}
		s.mu.Lock()
		s.latencies.record(now.Sub(s.intended[response.ID]))
		if response.Status == http.StatusOK {
			s.served++
		}
		s.mu.Unlock()
		s.freeIDs <- response.ID
	}
}
