package loadtest

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"tillerusher/internal/fake"
)

// SaturationConfig configures a saturating load: each connection always keeps OpenRequests requests open. Runs end as soon as
// they start, so that only the daemon's own work is measured.
type SaturationConfig struct {
	Daemon        string             // program of the daemon
	Gateways      int                // connections
	OpenRequests  int                // requests that each connection keeps open
	RoundDuration time.Duration      // length of each round
	Rounds        int                // comparisons, each with one round of every compared variant
	PinnedCore    int                // the only core that the daemon may use
	Progress      func(done, of int) // called after each round; may be nil
}

// Throughput is the performance of a daemon in one round under a saturating load. Latencies are in milliseconds.
type Throughput struct {
	Capturing   bool    `json:"capture"`
	Rate        float64 `json:"rate"` // answers per second
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
	CPUMicros   float64 `json:"cpu_us"` // processor time of the daemon per answer, in microseconds
	LostRecords float64 `json:"lost"`   // capture records that were lost
}

// setLatencies sets the rate and the percentiles from the latencies that were measured in a period.
func (t *Throughput) setLatencies(l latencies, period time.Duration) {
	t.Rate = float64(l.count()) / period.Seconds()
	t.P50, t.P99, t.P999 = l.percentiles()
}

// ratiosTo returns the ratio of each figure to the same figure of base, by name.
func (t *Throughput) ratiosTo(base *Throughput) map[string]float64 {
	return map[string]float64{
		"rate": t.Rate / base.Rate,
		"p50":  t.P50 / base.P50,
		"p99":  t.P99 / base.P99,
		"p999": t.P999 / base.P999,
		"cpu":  t.CPUMicros / base.CPUMicros,
	}
}

// median returns the median of a list, which must not be empty. It sorts the list.
func median(list []float64) float64 {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// requestBody is the body of all requests of a saturating load.
const requestBody = "a body of a usual length, say"

// round is one round: a daemon under a saturating load until end.
type round struct {
	config SaturationConfig
	target *target
	end    time.Time

	callers   sync.WaitGroup
	mu        sync.Mutex // guards the fields below
	latencies latencies
	errs      []error
}

// additionalCaller sends requests to a target until end, in addition to those of a round's connections.
type additionalCaller func(t *target, end time.Time) error

// runRound runs one round with a daemon that is started with the arguments. additional may be nil. runRound also returns the
// target, whose daemon has exited.
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
		return nil, nil, fmt.Errorf("loadtest: %w", round.errs[0])
	}
	throughput, err := round.stop()
	if err != nil {
		return nil, nil, err
	}
	return throughput, target, nil
}

// startCaller calls a function on a new goroutine and collects its error.
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

// call sends load over one connection until the end of the round and collects the latencies.
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

// stop drains the daemon and returns its throughput. It is an error if the exit status is not 0 or the daemon does not exit
// in time.
func (r *round) stop() (*Throughput, error) {
	r.target.process.Signal(syscall.SIGTERM) // if this fails, the daemon exits with another status or not at all
	exitStatus := -1
	state, err := r.target.wait()
	if err == nil {
		exitStatus = state.ExitCode()
	}
	if exitStatus != 0 {
		return nil, fmt.Errorf("loadtest: the daemon exited with status %d: %w", exitStatus, err)
	}
	answers := max(r.latencies.count(), 1)
	throughput := &Throughput{CPUMicros: float64(cpuTime(state).Microseconds()) / float64(answers)}
	throughput.setLatencies(r.latencies, r.config.RoundDuration)
	if entry := r.target.log.Last("capture", nil); entry != nil {
		throughput.LostRecords, _ = entry["lost"].(float64)
	}
	return throughput, nil
}

// keepOpen keeps openRequests requests open on one connection until end, then waits for the remaining answers, and returns
// the latency of each request.
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
