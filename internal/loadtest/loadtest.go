package loadtest

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/internal/arrival"
	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
)

const (
	// answerSlack is how much later than its due time an answer may be seen here.
	answerSlack = 150 * time.Millisecond
	// drainTail is how long tries go on after SIGTERM, well within the grace of the settings.
	drainTail = 120 * time.Millisecond
	// longest is the longest latency that is told apart.
	longest = time.Minute
)

// Result is what came of a storm. Latencies are in milliseconds, of served requests from the moment at which their
// first try was meant to be sent.
type Result struct {
	Seed             uint64         `json:"seed"`
	Requests         int            `json:"requests"` // first tries sent
	Attempts         int            `json:"tries"`    // all tries sent
	Unsent           int            `json:"unsent"`   // no connection had room
	Served           int            `json:"served"`   // tries
	Rejected         int            `json:"refused"`
	Failed           int            `json:"failed"`
	Lost             int            `json:"lost"`    // tries whose connection ended
	ServedShare      float64        `json:"share"`   // of the first tries' requests, served by any of their tries
	Repeats          int            `json:"repeats"` // of keyed requests that were served before
	LinkCount        int            `json:"links"`   // connections that the interpreter saw
	Seconds          float64        `json:"seconds"`
	Rate             float64        `json:"rate"` // tries answered a second
	P50              float64        `json:"p50_ms"`
	P99              float64        `json:"p99_ms"`
	P999             float64        `json:"p999_ms"`
	ExitStatus       int            `json:"exit"` // the daemon's status
	Violations       []string       `json:"breaches"`
	Counters         map[string]any `json:"counters"` // the daemon's own, at its end
	RestartSeconds   float64        `json:"restart_at_s,omitempty"`
	Series           []SeriesPoint  `json:"shares,omitempty"` // over steps of time, where the daemon was restarted
	Capture          map[string]any `json:"capture,omitempty"`
	DaemonCPUSeconds float64        `json:"daemon_cpu_s"`
	DaemonPeakKB     int64          `json:"daemon_peak_kb"`
}

// request is what a caller wants.
type request struct {
	number int
	key    string // of a keyed one
	tenant string
	body   []byte
	first  time.Time
	served bool
	tries  int
}

// storm is one under way.
type storm struct {
	cfg      Config
	daemon   *daemon
	observer *invariant.Checker
	gateways []*gateway
	readers  sync.WaitGroup
	turn     int

	mu      sync.Mutex
	rng     *rand.Rand
	later   tries // further tries, by their time
	result  Result
	latency *hdrhistogram.Histogram
	served  int // requests
	ended   bool

	begun     time.Time
	restarted chan error // nil until a restart
}

// SeriesStep is the time that each figure of Result.Shares is over.
const SeriesStep = 250 * time.Millisecond

// ServedShare is how many requests were first meant to be sent in a step, and how many of them were served by any of their tries.
type SeriesPoint struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
}

// step is that of a time, with the lock held.
func (s *storm) step(at time.Time) *SeriesPoint {
	n := max(int(at.Sub(s.begun)/SeriesStep), 0)
	for len(s.result.Series) <= n {
		s.result.Series = append(s.result.Series, SeriesPoint{})
	}
	return &s.result.Series[n]
}

// tries is a heap by the time at which they are meant to be sent.
type tries []*try

func (h tries) Len() int           { return len(h) }
func (h tries) Less(i, j int) bool { return h[i].intended.Before(h[j].intended) }
func (h tries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *tries) Push(x any)        { *h = append(*h, x.(*try)) }
func (h *tries) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newLatencies is an empty histogram of times, and record adds one to it.
func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Microseconds(), 3) }

func record(h *hdrhistogram.Histogram, took time.Duration) {
	h.RecordValue(min(max(took.Microseconds(), 1), longest.Microseconds())) // it has room for all of these
}

// Run plays a storm to its end, or until the context ends it sooner; the daemon is drained either way.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	d, err := start(c)
	if err != nil {
		return nil, err
	}
	defer d.kill()
	s := &storm{cfg: c, daemon: d, observer: invariant.New(fake.IdempotencyWindow), rng: rand.New(rand.NewPCG(c.Seed, 0)),
		latency: newLatencies()}
	s.result.Seed = c.Seed
	d.interpreter.OnRun(func(a fake.RunCommand) { s.observer.RecordRun(a.ID) })
	for range c.Gateways {
		s.gateways = append(s.gateways, newGateway(s))
	}
	s.begun = time.Now()
	over := make(chan struct{})
	defer close(over)
	go watchPauses(s.observer.ExcusePause, over)
	err = s.play(ctx)
	if s.restarted != nil {
		err = errors.Join(err, <-s.restarted)
	}
	if err == nil {
		err = s.drain()
	}
	if err != nil {
		return nil, err
	}
	return s.finish(s.begun)
}

// play sends all first tries, and what comes of them meanwhile.
func (s *storm) play(ctx context.Context) error {
	arrivals, err := arrival.New(*s.cfg.arrivals(), arrivalStream(s.cfg.Seed))
	if err != nil {
		return fmt.Errorf("storm: %w", err)
	}
	for n := range s.cfg.Requests {
		at, more := arrivals.Next()
		if !more {
			return nil
		}
		next := s.begun.Add(at)
		s.mu.Lock()
		t := s.first(n, next)
		s.mu.Unlock()
		s.until(next)
		if ctx.Err() != nil {
			return nil
		}
		s.send(t)
		if s.cfg.Progress != nil {
			s.cfg.Progress(n+1, s.cfg.Requests)
		}
		if err := s.incident(n); err != nil {
			return err
		}
	}
	return nil
}

// incident has happen what belongs behind the first try of the number.
func (s *storm) incident(n int) error {
	if s.cfg.CutLink && (n+1)%max(s.cfg.Requests/4, 1) == 0 && n+1 < s.cfg.Requests {
		s.daemon.interpreter.CutLink()
	}
	if s.cfg.Reload && n == s.cfg.Requests/2 {
		return s.daemon.reload()
	}
	if s.cfg.Restart && n == s.cfg.Requests/2 {
		s.mu.Lock()
		s.result.RestartSeconds = time.Since(s.begun).Seconds()
		s.mu.Unlock()
		s.restarted = make(chan error, 1)
		go func() { s.restarted <- s.daemon.restart(s.cfg) }() // requests come meanwhile
	}
	return nil
}

// until sends the further tries that come before the time, and waits for it.
func (s *storm) until(end time.Time) {
	for {
		s.mu.Lock()
		var t *try
		if len(s.later) > 0 && !s.later[0].intended.After(end) {
			t = heap.Pop(&s.later).(*try)
		}
		s.mu.Unlock()
		if t == nil {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(t.intended))
		s.send(t)
	}
}

// first makes the first try of a new request, with the lock held.
func (s *storm) first(n int, at time.Time) *try {
	r := &request{number: n, tenant: "central", first: at}
	if s.cfg.Restart {
		s.step(at).Requests++
	}
	if s.rng.Float64() < 0.3 {
		r.tenant = "northern"
	}
	if s.rng.Float64() < s.cfg.IdempotentShare {
		r.key = fmt.Sprintf("%016x%016x", s.rng.Uint64(), n)
	}
	r.body = fake.WorkBody(strconv.Itoa(n), time.Duration(s.rng.ExpFloat64()*float64(s.cfg.MeanWork)))
	return s.again(r, at)
}

// again makes the next try of a request, with the lock held.
func (s *storm) again(r *request, at time.Time) *try {
	r.tries++
	return &try{id: fmt.Sprintf("%016x", s.rng.Uint64()), request: r, number: r.tries, intended: at}
}

// send writes a try on the next connection with room.
func (s *storm) send(t *try) {
	for range s.gateways {
		s.turn = (s.turn + 1) % len(s.gateways)
		if s.gateways[s.turn].send(t) {
			s.mu.Lock()
			s.result.Attempts++
			if t.number == 1 {
				s.result.Requests++
			}
			s.mu.Unlock()
			return
		}
	}
	s.mu.Lock()
	s.result.Unsent++
	s.mu.Unlock()
}

// records is a try as it is written.
func (s *storm) records(t *try, id uint16) []byte {
	r := fake.NewAttempt(t.id, t.request.key, t.received, t.request.body)
	r.Headers["Account"] = t.request.tenant
	if t.number > 1 {
		r.Headers["Attempt-Again"] = "1"
	}
	return r.Encode(id)
}

// told is a try as the observer is told of it.
func (s *storm) told(t *try) invariant.Attempt {
	keyed := t.request.key != ""
	return invariant.Attempt{ID: t.id, Key: t.request.key, AtMostOnce: keyed, Received: t.received, ExpectedBody: string(fake.WorkResult(t.request.body)),
		Deadline: t.received.Add(fake.Deadline(keyed) + answerSlack)}
}

// answered takes in an answer and decides whether a further try follows.
func (s *storm) answered(t *try, a fake.Response, now time.Time) {
	kind := a.Outcome()
	s.observer.RecordAnswer(t.id, kind, string(a.Body), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := t.request
	switch kind {
	case invariant.Served:
		s.result.Served++
		if !r.served {
			r.served = true
			s.served++
			if s.cfg.Restart {
				s.step(r.first).Served++
			}
			record(s.latency, now.Sub(r.first))
		}
		if r.key != "" && s.rng.Float64() < s.cfg.RepeatShare && !s.ended {
			s.result.Repeats++
			wait := time.Duration(s.rng.Float64() * float64(2*time.Second))
			heap.Push(&s.later, s.again(r, now.Add(wait)))
		}
	case invariant.Rejected:
		s.result.Rejected++
		if r.tries < s.cfg.MaxAttempts && a.Header.Get("Final-Refusal") == "" && !s.ended {
			ms, err := strconv.Atoi(a.Header.Get("Back-Off-Ms"))
			if err != nil {
				ms = 50
			}
			wait := time.Duration(float64(ms)*(1+s.rng.Float64())) * time.Millisecond
			heap.Push(&s.later, s.again(r, now.Add(wait)))
		}
	default:
		s.result.Failed++
	}
}

// lost takes in that the connection of a try ended.
func (s *storm) lost(t *try) {
	if s.cfg.Restart {
		s.observer.RecordLost(t.id) // no answer can be owed by a daemon that was killed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Lost++
}

// drain has the daemon leave under load, and waits for all answers and for its end.
func (s *storm) drain() error {
	if err := s.daemon.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("storm: %w", err)
	}
	s.mu.Lock()
	s.ended = true // no tries are made beyond those that were meant before
	for i := range s.cfg.DrainRequests {
		at := time.Now().Add(drainTail * time.Duration(i) / time.Duration(s.cfg.DrainRequests))
		heap.Push(&s.later, s.first(s.cfg.Requests+i, at))
	}
	s.mu.Unlock()
	s.until(time.Now().Add(drainTail))
	code, err := s.daemon.wait()
	s.result.ExitStatus = code
	if err != nil {
		return err
	}
	for _, g := range s.gateways {
		g.hangUp()
	}
	s.readers.Wait()
	return nil
}

// finish puts the result together.
func (s *storm) finish(begun time.Time) (*Result, error) {
	r := &s.result
	r.Seconds = time.Since(begun).Seconds()
	r.Rate = float64(r.Served+r.Rejected+r.Failed) / r.Seconds
	r.ServedShare = float64(s.served) / float64(max(r.Requests, 1))
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P99, r.P999 = ms(50), ms(99), ms(99.9)
	r.LinkCount = s.daemon.interpreter.LinkCount()
	r.Violations = s.observer.Violations(time.Now().Add(fake.ReserveDeadline + time.Second))
	if r.ExitStatus != 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("the daemon ended with status %d", r.ExitStatus))
	}
	state := s.daemon.cmd.ProcessState
	r.DaemonCPUSeconds = (state.UserTime() + state.SystemTime()).Seconds()
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		r.DaemonPeakKB = usage.Maxrss
	}
	r.Counters, r.Capture = s.daemon.logged("counters"), s.daemon.logged("capture")
	return r, nil
}
