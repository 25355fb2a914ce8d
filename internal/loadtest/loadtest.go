package loadtest

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
)

const (
	// answerTolerance is how long after its deadline an answer may arrive here and still count as in time.
	answerTolerance = 150 * time.Millisecond
	// maxRepeatDelay is the maximum delay before a served request with a key is sent again.
	maxRepeatDelay = 2 * time.Second
	// defaultBackOffMS is the back-off before a retry, in milliseconds, if the answer advises none.
	defaultBackOffMS = 50
	// secondTenantShare is the share of the requests that come from secondTenant.
	secondTenantShare = 0.3
	// linkCutParts is the number of equal parts into which the link cuts divide the load.
	linkCutParts = 4
)

// The tenants of fake.SiteSettings.
const (
	firstTenant  = "central"
	secondTenant = "northern"
)

// loadTest is a running load test. One goroutine sends all attempts, and each connection has a goroutine that reads.
type loadTest struct {
	config      Config
	target      *target
	checker     *invariant.Checker
	gateways    []*gateway
	lastGateway int            // index of the gateway tried last; used only by the sending goroutine
	readers     sync.WaitGroup // the reading goroutines
	begin       time.Time
	restarted   chan error // receives the result of the restart; nil until a restart begins

	mu             sync.Mutex // guards the fields below
	rng            *rand.Rand
	queue          attemptQueue // retries and repeats to be sent
	isDraining     bool         // no further retries and repeats are queued
	result         Result
	latencies      latencies
	servedRequests int
}

// Run runs a load test until all requests are sent or ctx is canceled. In both cases it drains the daemon and returns the
// result of the requests that were sent. On an error it kills the daemon.
func Run(ctx context.Context, config Config) (*Result, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	target, err := startTarget(config)
	if err != nil {
		return nil, err
	}
	defer target.kill()
	test := &loadTest{
		config:    config,
		target:    target,
		checker:   invariant.New(fake.IdempotencyWindow),
		rng:       rand.New(rand.NewPCG(config.Seed, 0)),
		latencies: newLatencies(),
	}
	test.result.Seed = config.Seed
	target.interpreter.OnRun(func(command fake.RunCommand) { test.checker.RecordRun(command.ID) })
	for range config.Gateways {
		test.gateways = append(test.gateways, newGateway(test))
	}
	test.begin = time.Now()
	done := make(chan struct{})
	defer close(done)
	go watchPauses(test.checker.ExcusePause, done)
	err = test.sendAll(ctx)
	if test.restarted != nil {
		err = errors.Join(err, <-test.restarted)
	}
	if err == nil {
		err = test.drain()
	}
	if err != nil {
		return nil, err
	}
	return test.summarize(), nil
}

// sendAll sends all first attempts, and the retries and repeats that become due in the meantime. It returns nil if ctx is
// canceled.
func (l *loadTest) sendAll(ctx context.Context) error {
	arrivals, err := arrival.New(*l.config.arrivals(), newArrivalRand(l.config.Seed))
	if err != nil {
		return fmt.Errorf("loadtest: %w", err)
	}
	for n := range l.config.Requests {
		at, more := arrivals.Next()
		if !more {
			return nil
		}
		intended := l.begin.Add(at)
		l.mu.Lock()
		first := l.newRequest(n, intended)
		l.mu.Unlock()
		l.sendQueuedUntil(intended)
		if ctx.Err() != nil {
			return nil
		}
		l.send(first)
		if l.config.Progress != nil {
			l.config.Progress(n+1, l.config.Requests)
		}
		if err := l.causeIncident(n); err != nil {
			return err
		}
	}
	return nil
}

// causeIncident causes the incidents that are configured to follow the first attempt of the n-th request.
func (l *loadTest) causeIncident(n int) error {
	isHalfWay := n == l.config.Requests/2
	isLast := n+1 >= l.config.Requests
	if l.config.CutLink && (n+1)%max(l.config.Requests/linkCutParts, 1) == 0 && !isLast {
		l.target.interpreter.CutLink()
	}
	if l.config.Reload && isHalfWay {
		return l.target.reload()
	}
	if l.config.Restart && isHalfWay {
		l.mu.Lock()
		l.result.RestartSeconds = time.Since(l.begin).Seconds()
		l.mu.Unlock()
		l.restarted = make(chan error, 1)
		go func() { l.restarted <- l.target.restart(l.config) }() // requests are sent during the restart
	}
	return nil
}

// sendQueuedUntil sends the queued attempts that are due by end, each at its time, and returns at end.
func (l *loadTest) sendQueuedUntil(end time.Time) {
	for {
		l.mu.Lock()
		var next *attempt
		if len(l.queue) > 0 && !l.queue[0].intended.After(end) {
			next = heap.Pop(&l.queue).(*attempt)
		}
		l.mu.Unlock()
		if next == nil {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(next.intended))
		l.send(next)
	}
}

// newRequest returns the first attempt of the n-th request. The caller holds the lock.
func (l *loadTest) newRequest(n int, intended time.Time) *attempt {
	request := &request{tenant: firstTenant, firstIntended: intended}
	if l.config.Restart {
		l.seriesPoint(intended).Requests++
	}
	if l.rng.Float64() < secondTenantShare {
		request.tenant = secondTenant
	}
	if l.rng.Float64() < l.config.IdempotentShare {
		request.key = fmt.Sprintf("%016x%016x", l.rng.Uint64(), n)
	}
	work := time.Duration(l.rng.ExpFloat64() * float64(l.config.MeanWork))
	request.body = fake.WorkBody(strconv.Itoa(n), work)
	return l.newAttempt(request, intended)
}

// newAttempt returns the next attempt of a request. The caller holds the lock.
func (l *loadTest) newAttempt(request *request, intended time.Time) *attempt {
	request.attempts++
	return &attempt{id: fmt.Sprintf("%016x", l.rng.Uint64()), request: request, number: request.attempts, intended: intended}
}

// seriesPoint returns the point of the series that covers a time; it extends the series if necessary. The caller holds the
// lock.
func (l *loadTest) seriesPoint(at time.Time) *SeriesPoint {
	n := max(int(at.Sub(l.begin)/SeriesStep), 0)
	for len(l.result.Series) <= n {
		l.result.Series = append(l.result.Series, SeriesPoint{})
	}
	return &l.result.Series[n]
}

// send writes an attempt to the next connection that accepts it, or counts it as unsent if none does.
func (l *loadTest) send(attempt *attempt) {
	for range l.gateways {
		l.lastGateway = (l.lastGateway + 1) % len(l.gateways)
		if l.gateways[l.lastGateway].send(attempt) {
			l.mu.Lock()
			l.result.Attempts++
			if attempt.number == 1 {
				l.result.Requests++
			}
			l.mu.Unlock()
			return
		}
	}
	l.mu.Lock()
	l.result.Unsent++
	l.mu.Unlock()
}

// encode returns the FastCGI records of an attempt with the FastCGI request ID.
func (l *loadTest) encode(attempt *attempt, id uint16) []byte {
	message := fake.NewAttempt(attempt.id, attempt.request.key, attempt.received, attempt.request.body)
	message.Headers["Account"] = attempt.request.tenant
	if attempt.number > 1 {
		message.Headers["Attempt-Again"] = "1"
	}
	return message.Encode(id)
}

// recordSent reports an attempt to the checker.
func (l *loadTest) recordSent(attempt *attempt) {
	hasKey := attempt.request.key != ""
	l.checker.RecordSent(invariant.Attempt{
		ID:           attempt.id,
		Key:          attempt.request.key,
		AtMostOnce:   hasKey,
		ExpectedBody: string(fake.WorkResult(attempt.request.body)),
		Received:     attempt.received,
		Deadline:     attempt.received.Add(fake.Deadline(hasKey) + answerTolerance),
	})
}

// handleResponse records a response and queues the repeat or retry that follows from it, if any.
func (l *loadTest) handleResponse(attempt *attempt, response fake.Response, now time.Time) {
	outcome := response.Outcome()
	l.checker.RecordAnswer(attempt.id, outcome, string(response.Body), now)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case invariant.Served:
		l.result.Served++
		l.handleServed(attempt.request, now)
	case invariant.Rejected:
		l.result.Rejected++
		l.handleRejected(attempt.request, response, now)
	default:
		l.result.Failed++
	}
}

// handleServed counts a request the first time that it is served. With the probability RepeatShare it queues a repeat of a
// request with a key, unless the daemon is draining. The caller holds the lock.
func (l *loadTest) handleServed(request *request, now time.Time) {
	if !request.wasServed {
		request.wasServed = true
		l.servedRequests++
		if l.config.Restart {
			l.seriesPoint(request.firstIntended).Served++
		}
		l.latencies.record(now.Sub(request.firstIntended))
	}
	if request.key != "" && l.rng.Float64() < l.config.RepeatShare && !l.isDraining {
		l.result.Repeats++
		wait := time.Duration(l.rng.Float64() * float64(maxRepeatDelay))
		heap.Push(&l.queue, l.newAttempt(request, now.Add(wait)))
	}
}

// handleRejected queues a retry after the advised back-off, with jitter. It does not if the request has used all its
// attempts, the answer advises against retries or the daemon is draining. The caller holds the lock.
func (l *loadTest) handleRejected(request *request, response fake.Response, now time.Time) {
	if request.attempts >= l.config.MaxAttempts || response.Header.Get("Final-Refusal") != "" || l.isDraining {
		return
	}
	backOffMS, err := strconv.Atoi(response.Header.Get("Back-Off-Ms"))
	if err != nil {
		backOffMS = defaultBackOffMS
	}
	wait := time.Duration(float64(backOffMS)*(1+l.rng.Float64())) * time.Millisecond
	heap.Push(&l.queue, l.newAttempt(request, now.Add(wait)))
}

// handleLost counts an attempt whose connection ended before its answer.
func (l *loadTest) handleLost(attempt *attempt) {
	if l.config.Restart {
		l.checker.RecordLost(attempt.id) // a killed daemon is not expected to answer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Lost++
}
