package loadtest

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"tillerusher/internal/fake"
)

// SaturationConfig is a load whose callers always have as many requests open as they may. Runs take no time, so that the
// daemon's own work is all there is to measure.
type SaturationConfig struct {
	Daemon        string
	Gateways      int           // connections
	OpenRequests  int           // that each connection keeps open
	RoundDuration time.Duration // of each round
	Rounds        int           // comparisons, each of which takes a round of everything that is compared
	PinnedCore    int           // the daemon's only core
	Progress      func(done, of int)
}

// Throughput is what a daemon did under a saturating load. Latencies are in milliseconds.
type Throughput struct {
	Capturing   bool    `json:"capture"`
	Rate        float64 `json:"rate"` // answers per second
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
	CPUMicros   float64 `json:"cpu_us"` // processor time of the daemon per answer
	LostRecords float64 `json:"lost"`   // that were not captured
}

// setLatencies fills in the rate and the percentiles of latencies that were measured over a time.
func (t *Throughput) setLatencies(l latencies, over time.Duration) {
	t.Rate = float64(l.count()) / over.Seconds()
	t.P50, t.P99, t.P999 = l.percentiles()
}

// ratiosTo returns each figure over that of another throughput.
func (t *Throughput) ratiosTo(base *Throughput) map[string]float64 {
	return map[string]float64{
		"rate": t.Rate / base.Rate,
		"p50":  t.P50 / base.P50,
		"p99":  t.P99 / base.P99,
		"p999": t.P999 / base.P999,
		"cpu":  t.CPUMicros / base.CPUMicros,
	}
}

// median returns the middle of a list, which it sorts.
func median(list []float64) float64 {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// requestBody is the body of all requests of a saturating load.
const requestBody = "a body of a usual length, say"

// round is one run of a daemon under a saturating load.
type round struct {
	config SaturationConfig
	target *target
	end    time.Time

	callers   sync.WaitGroup
	mu        sync.Mutex // guards all that follows
	latencies latencies
	errs      []error
}

// additionalCaller loads a target beside the connections of a round, until the end.
type additionalCaller func(t *target, end time.Time) error

// runRound runs one round with a daemon that is started with the arguments. The additional caller may be nil. It returns the
// target as well, whose daemon has ended.
func runRound(config SaturationConfig, args []string, additional additionalCaller) (*Throughput, *target, error) {
	targetConfig := DefaultConfig()
	targetConfig.Daemon = config.Daemon
	targetConfig.Args = args
	targetConfig.PinnedCore = config.PinnedCore
	target, err := startTarget(targetConfig)
	if err != nil {
		return nil, nil, err
	}
	defer target.kill()
	target.interpreter.StopSimulatingWork()
	round := &round{config: config, target: target, end: time.Now().Add(config.RoundDuration), latencies: newLatencies()}
	for range config.Gateways {
		round.startCaller(round.call)
	}
	if additional != nil {
		round.startCaller(func() error { return additional(target, round.end) })
	}
	round.callers.Wait()
	if len(round.errs) > 0 {
		return nil, nil, fmt.Errorf("storm: %w", round.errs[0])
	}
	throughput, err := round.stop()
	if err != nil {
		return nil, nil, err
	}
	return throughput, target, nil
}

// startCaller starts a goroutine and collects its error.
func (r *round) startCaller(call func() error) {
	r.callers.Add(1)
	go func() {
		defer r.callers.Done()
		if err := call(); err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.errs = append(r.errs, err)
		}
	}()
}

// call loads the daemon over one connection and collects the latencies.
func (r *round) call() error {
	l, err := keepOpen(r.target.addr, r.config.OpenRequests, r.end)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies.merge(l)
	return nil
}

// stop drains the daemon and returns what it did.
func (r *round) stop() (*Throughput, error) {
	r.target.process.Signal(syscall.SIGTERM) // the exit status shows whether it came
	exitStatus := -1
	state, err := r.target.wait()
	if err == nil {
		exitStatus = state.ExitCode()
	}
	if exitStatus != 0 {
		return nil, fmt.Errorf("storm: the daemon ended with status %d: %w", exitStatus, err)
	}
	answers := max(r.latencies.count(), 1)
	throughput := &Throughput{CPUMicros: float64(cpuTime(state).Microseconds()) / float64(answers)}
	throughput.setLatencies(r.latencies, r.config.RoundDuration)
	if entry := r.target.log.Last("capture", nil); entry != nil {
		throughput.LostRecords, _ = entry["lost"].(float64)
	}
	return throughput, nil
}

// keepOpen keeps so many requests open on one connection until the end, and returns how long each took.
func keepOpen(addr string, openRequests int, end time.Time) (latencies, error) {
	conn, err := fake.Dial(addr)
	if err != nil {
		return latencies{}, err
	}
	defer conn.Close()
	measured := newLatencies()
	sent := make([]time.Time, openRequests+1) // by FastCGI request ID
	send := func(id uint16) error {
		sent[id] = time.Now()
		return conn.Write(fake.NewLookup(requestBody).Encode(id))
	}
	for id := range openRequests {
		if err := send(uint16(id + 1)); err != nil {
			return latencies{}, err
		}
	}
	for open := openRequests; open > 0; {
		response, err := conn.ReadResponse(0, end.Add(daemonTimeout))
		if err != nil {
			return latencies{}, err
		}
		now := time.Now()
		measured.record(now.Sub(sent[response.ID]))
		if !now.Before(end) {
			open--
			continue
		}
		if err := send(response.ID); err != nil {
			return latencies{}, err
		}
	}
	return measured, nil
}
