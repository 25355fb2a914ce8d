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

// Disk is the disk on which a server keeps its state in a comparison.
type Disk string

// The disks that are compared.
const (
	NoDisk      Disk = "none"     // no state is kept
	HealthyDisk Disk = "sound"    // the disk of the machine's temporary directory
	FaultyDisk  Disk = "stalling" // the same disk, which stalls periodically
)

// The names of the classes of requests in StateCost.Ratio.
const (
	LookupClass     = "lookups"
	IdempotentClass = "keyed"
)

// StateCostConfig configures a measurement of the cost of keeping state. Daemon must be a program with the command line of
// `cataloguectl state serve`, so that one program covers all disks.
type StateCostConfig struct {
	SaturationConfig
	IdempotentRate float64 // requests with an idempotency key per second, on a separate connection
	FaultProfile   faultfs.Profile
}

// StateThroughput is the result of one round on one disk. Lookups are sent as fast as they are answered, and requests with an
// idempotency key at their configured rate. The latency of the latter is measured from the time at which they were due to be
// sent.
type StateThroughput struct {
	Disk       Disk       `json:"disk"`
	Lookups    Throughput `json:"lookups"`
	Idempotent Throughput `json:"keyed"`
	Rejected   int        `json:"refused"` // requests with an idempotency key that were not served
	Syncs      float64    `json:"syncs"`   // per served request with an idempotency key
}

// StateCost compares the disks, which were measured in alternating rounds.
type StateCost struct {
	Rounds []StateThroughput `json:"rounds"`
	// Ratio has the median over the comparisons of the ratio of a figure to the same figure without a disk, by disk, class and
	// figure.
	Ratio map[Disk]map[string]map[string]float64 `json:"ratio"`
}

// MeasureStateCost measures how many lookups a daemon on one core answers while it also receives requests with an idempotency
// key at a fixed rate. Each comparison has one round on each disk.
func MeasureStateCost(ctx context.Context, config StateCostConfig) (*StateCost, error) {
	dir, err := os.MkdirTemp("", "catalogue-server-durable")
	if err != nil {
		return nil, fmt.Errorf("loadtest: %w", err)
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
			// The order rotates from one comparison to the next, so that a machine that slows down favours no disk.
			disk := disks[(i+n)%len(disks)]
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

// stateRatios has the ratios of all comparisons, by disk, class and figure.
type stateRatios map[Disk]map[string]map[string][]float64

// add adds the ratios of a class's figures on a disk to those of base.
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

// medians returns the median of each figure's ratios.
func (r stateRatios) medians() map[Disk]map[string]map[string]float64 {
	medians := map[Disk]map[string]map[string]float64{}
	for disk, classes := range r {
		medians[disk] = map[string]map[string]float64{}
		for class, figures := range classes {
			medians[disk][class] = map[string]float64{}
			for figure, list := range figures {
				if figure == "cpu" && class == IdempotentClass {
					continue // Lookups.CPUMicros has the daemon's processor time for both classes
				}
				medians[disk][class][figure] = median(list)
			}
		}
	}
	return medians
}

// runStateRound runs one round on a disk, which keeps its state in dir.
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

// pacedSender sends requests with an idempotency key at a fixed rate on one connection.
type pacedSender struct {
	rate    float64
	end     time.Time
	conn    *fake.Gateway
	freeIDs chan uint16
	readErr chan error

	mu        sync.Mutex           // guards the fields below
	intended  map[uint16]time.Time // when the open requests were due to be sent, by FastCGI request ID
	latencies latencies
	served    int
}

// run sends requests until end and waits for all responses.
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
	for range MaxOpenRequests { // once all IDs are free, all requests are answered
		if _, err := s.takeID(); err != nil {
			return err
		}
	}
	return nil
}

// sendAll sends requests at the rate until end. It waits when all request IDs are in use.
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

// takeID waits for a free FastCGI request ID and returns it, or returns the reader's error.
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
