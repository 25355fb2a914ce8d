package server

import (
	"fmt"
	"hash/maphash"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// runState is how far the run of a try has come.
type runState uint8

const (
	runPending  runState = iota // never begun
	runInFlight                 // begun, and not over
	runFinished                 // failRun with a result
	runFailed                   // failRun without one
)

// attempt is one request of a gateway, from its reading to the end of its answer and its run.
type attempt struct {
	id              admission.RequestID
	requestID       string // Request-Id, by which the interpreter knows it
	conn            *gatewayConn
	stream          gateway.StreamID
	class           int
	hasKey          bool // retryOf of it can be told by key
	atMostOnce      bool // it must not run twice
	key             idempotencyKey
	arrivedAt       time.Duration // by the module's clock
	receivedAt      time.Time     // Received-At
	body            []byte
	bodyHash        uint64 // values the body, where tries of one request must agree in it
	retryOf         *attempt
	isAnswered      bool // no answer is owed any more
	state           runState
	finishedAt      time.Duration    // done: when, by the module's clock
	isIntentPending bool             // its intent is being written: the run is not asked for yet
	isStopRequested bool             // and it will not be
	result          gateway.Response // restartFields for repeats
	routed          any              // its route, where the server routes: a *routed, which the catalogue server need not know
	hasResult       bool             // result is valid
	isExpired       bool             // no repeat can find it any more
	waiters         []*attempt       // retryOf that wait for its run
}

// The bounds of figures. What is outside is no request of a gateway, and must not reach the module's estimates:
// one time far in the past would look like a backlog, one in the future would keep a key for good.
const (
	minFootprint, maxFootprint = 1e-6, 2000  // KB
	maxWorkEstimate            = 1e5         // ms
	maxSender                  = 1e15        // conns that restart take new numbers for ever
	maxClockSkew               = time.Second // clocks of two machines differ
	maxQueueingDelay           = time.Minute // a request may lie unread while the machine pauses
	maxBudget                  = 1e9         // ms
)

// fieldReader reads the fields of a request and keeps the first complaint.
type fieldReader struct {
	values map[string]string
	err    error
}

// required reads a field that must be there.
func (f *fieldReader) required(name string) string {
	value := f.values[strings.ToLower(name)]
	if value == "" {
		f.reject(name, value)
	}
	return value
}

// reject notes a field that makes no sense.
func (f *fieldReader) reject(name, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s is %.40q", name, value)
	}
}

// lastRequest reads a field within bounds; one that is absent is the default where there is one.
func (f *fieldReader) number(name string, from, under float64, absent ...float64) float64 {
	text := f.values[strings.ToLower(name)]
	if text == "" && len(absent) > 0 {
		return absent[0]
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(value >= from && value < under) {
		f.reject(name, text)
	}
	return value
}

// hex reads a field of so many hex digits.
func (f *fieldReader) hex(name string, digits int) string {
	text := f.required(name)
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			f.reject(name, text)
		}
	}
	if len(text) != digits {
		f.reject(name, text)
	}
	return text
}

// requestParser turns a request of a gateway into a try and what the module is told of it, or into an answer that needs
// neither.
type requestParser func(r gateway.Request, now time.Duration) (*attempt, admission.Request, *gateway.Response, error)

// bodyHash is that of a body, where tries of one request must agree in it.
func (s *Server) hashBody(body []byte) uint64 {
	if s.durable != nil {
		return s.durable.hashBody(body)
	}
	return maphash.Bytes(s.hashSeed, body)
}

// parseRequest is the intake on this platform.
func (s *Server) parseRequest(r gateway.Request, now time.Duration) (*attempt, admission.Request, *gateway.Response, error) {
	f := &fieldReader{values: r.Headers}
	class, known := s.classIndex[strings.TrimPrefix(r.Path, classPath)]
	if !known || !strings.HasPrefix(r.Path, classPath) {
		f.reject("SCRIPT_NAME", r.Path)
	}
	if r.Method != "POST" {
		f.reject("REQUEST_METHOD", r.Method)
	}
	t := &attempt{requestID: f.hex("Request-Id", 16), class: class, body: r.Body}
	unix := s.loop.Now().Round(0)
	t.receivedAt = time.UnixMilli(int64(f.number("Received-At", 1, 1e15)))
	if lain := unix.Sub(t.receivedAt); lain > maxQueueingDelay || lain < -maxClockSkew {
		f.reject("Received-At", r.Headers["received-at"])
	}
	if again := r.Headers["attempt-again"]; again != "" && again != "1" {
		f.reject("Attempt-Again", again)
	}
	q := admission.Request{Class: class, IsRetry: r.Headers["attempt-again"] == "1",
		Caller: int(f.number("Sent-By", 0, maxSender, 0)),
		Work:   time.Duration(f.number("Work-Estimate", 0, maxWorkEstimate, 0) * float64(time.Millisecond)),
		SizeKB: f.number("Footprint-Kb", minFootprint, maxFootprint)}
	f.number("Priority-Rank", 0, 1, 0)
	// Told in milliseconds from Received-At where the site passes deadlines, and no field of a request elsewhere.
	budget, told := time.Duration(0), s.told.Admission.HasDeadlines && r.Headers["budget-ms"] != ""
	if told {
		budget = time.Duration(f.number("Budget-Ms", 0, maxBudget) * float64(time.Millisecond))
	}
	if len(s.tenantIndex) > 0 {
		account := f.required("Account")
		if q.Tenant, known = s.tenantIndex[account]; !known {
			f.reject("Account", account)
		}
	}
	set := s.told.Admission
	switch effect := set.Classes[class].Effect; {
	case effect == admission.IdempotentByKey:
		t.hasKey, t.atMostOnce, t.key = true, true, idempotencyKey{class, strings.ToLower(f.hex("Once-Key", 32))}
		t.bodyHash = s.hashBody(r.Body)
	case effect == admission.NonIdempotent:
		t.atMostOnce = true
	case r.Headers["resource-key"] != "":
		subject, err := strconv.ParseUint(r.Headers["resource-key"], 16, 64)
		if err != nil {
			f.reject("Resource-Key", r.Headers["resource-key"])
		}
		q.ResourceID = subject
		if set.ResultFreshness > 0 && subject != 0 {
			// Reads of one subject that ask for different things have different answers.
			t.hasKey, t.key = true, idempotencyKey{class, fmt.Sprintf("%x %x", subject, s.hashBody(r.Body))}
		}
	}
	if f.err != nil {
		return nil, q, nil, f.err
	}
	// The time that a request lay unread counts: its caller waits since Received-At.
	q.QueueingDelay = max(unix.Sub(t.receivedAt), 0)
	t.arrivedAt = now - q.QueueingDelay
	if told {
		q.RemainingTime = max(budget-q.QueueingDelay, time.Nanosecond) // none would mean that it is not told
	}
	return t, q, nil, nil
}
