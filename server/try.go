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

// progress is how far the run of a try has come.
type progress uint8

const (
	unrun   progress = iota // never begun
	running                 // begun, and not over
	done                    // over with a result
	broken                  // over without one
)

// try is one request of a gateway, from its reading to the end of its answer and its run.
type try struct {
	id       admission.RequestID
	wire     string // Request-Id, by which the interpreter knows it
	from     *gatewayConn
	stream   gateway.Stream
	class    int
	keyed    bool // repeats of it can be told by key
	once     bool // it must not run twice
	key      keyID
	arrived  time.Duration // by the module's clock
	stamp    time.Time     // Received-At
	body     []byte
	sum      uint64 // of the body, where tries of one request must agree in it
	repeats  *try
	answered bool // no answer is owed any more
	state    progress
	ended    time.Duration  // done: when, by the module's clock
	awaits   bool           // its intent is being written: the run is not asked for yet
	halted   bool           // and it will not be
	result   gateway.Answer // kept for repeats
	routed   any            // its route, where the server routes: a *routed, which the catalogue server need not know
	stored   bool           // result is valid
	expired  bool           // no repeat can find it any more
	waiters  []*try         // repeats that wait for its run
}

// The bounds of figures. What is outside is no request of a gateway, and must not reach the module's estimates:
// one time far in the past would look like a backlog, one in the future would keep a key for good.
const (
	leastFootprint, maxFootprint = 1e-6, 2000  // KB
	maxWork                      = 1e5         // ms
	maxSender                    = 1e15        // gateways that restart take new numbers for ever
	maxAhead                     = time.Second // clocks of two machines differ
	maxUnread                    = time.Minute // a request may lie unread while the machine pauses
	maxBudget                    = 1e9         // ms
)

// fields reads the fields of a request and keeps the first complaint.
type fields struct {
	of  map[string]string
	err error
}

// text reads a field that must be there.
func (f *fields) text(name string) string {
	value := f.of[strings.ToLower(name)]
	if value == "" {
		f.fail(name, value)
	}
	return value
}

// fail notes a field that makes no sense.
func (f *fields) fail(name, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s is %.40q", name, value)
	}
}

// number reads a field within bounds; one that is absent is the default where there is one.
func (f *fields) number(name string, from, under float64, absent ...float64) float64 {
	text := f.of[strings.ToLower(name)]
	if text == "" && len(absent) > 0 {
		return absent[0]
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(value >= from && value < under) {
		f.fail(name, text)
	}
	return value
}

// hex reads a field of so many hex digits.
func (f *fields) hex(name string, digits int) string {
	text := f.text(name)
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			f.fail(name, text)
		}
	}
	if len(text) != digits {
		f.fail(name, text)
	}
	return text
}

// intake turns a request of a gateway into a try and what the module is told of it, or into an answer that needs
// neither.
type intake func(r gateway.Request, now time.Duration) (*try, admission.Request, *gateway.Answer, error)

// sum is that of a body, where tries of one request must agree in it.
func (s *Server) sum(body []byte) uint64 {
	if s.journal != nil {
		return s.journal.sumOf(body)
	}
	return maphash.Bytes(s.sums, body)
}

// read is the intake on this platform.
func (s *Server) read(r gateway.Request, now time.Duration) (*try, admission.Request, *gateway.Answer, error) {
	f := &fields{of: r.Fields}
	class, known := s.classes[strings.TrimPrefix(r.Path, classPath)]
	if !known || !strings.HasPrefix(r.Path, classPath) {
		f.fail("SCRIPT_NAME", r.Path)
	}
	if r.Method != "POST" {
		f.fail("REQUEST_METHOD", r.Method)
	}
	t := &try{wire: f.hex("Request-Id", 16), class: class, body: r.Body}
	unix := s.loop.Now().Round(0)
	t.stamp = time.UnixMilli(int64(f.number("Received-At", 1, 1e15)))
	if lain := unix.Sub(t.stamp); lain > maxUnread || lain < -maxAhead {
		f.fail("Received-At", r.Fields["received-at"])
	}
	if again := r.Fields["attempt-again"]; again != "" && again != "1" {
		f.fail("Attempt-Again", again)
	}
	q := admission.Request{Class: class, Retry: r.Fields["attempt-again"] == "1",
		Caller: int(f.number("Sent-By", 0, maxSender, 0)),
		Work:   time.Duration(f.number("Work-Estimate", 0, maxWork, 0) * float64(time.Millisecond)),
		SizeKB: f.number("Footprint-Kb", leastFootprint, maxFootprint)}
	f.number("Priority-Rank", 0, 1, 0)
	// Told in milliseconds from Received-At where the site passes deadlines, and no field of a request elsewhere.
	budget, told := time.Duration(0), s.told.Module.Deadlines && r.Fields["budget-ms"] != ""
	if told {
		budget = time.Duration(f.number("Budget-Ms", 0, maxBudget) * float64(time.Millisecond))
	}
	if len(s.tenants) > 0 {
		account := f.text("Account")
		if q.Tenant, known = s.tenants[account]; !known {
			f.fail("Account", account)
		}
	}
	set := s.told.Module
	switch effect := set.Classes[class].Effect; {
	case effect == admission.Keyed:
		t.keyed, t.once, t.key = true, true, keyID{class, strings.ToLower(f.hex("Once-Key", 32))}
		t.sum = s.sum(r.Body)
	case effect == admission.Unsafe:
		t.once = true
	case r.Fields["resource-key"] != "":
		subject, err := strconv.ParseUint(r.Fields["resource-key"], 16, 64)
		if err != nil {
			f.fail("Resource-Key", r.Fields["resource-key"])
		}
		q.Subject = subject
		if set.Fresh > 0 && subject != 0 {
			// Reads of one subject that ask for different things have different answers.
			t.keyed, t.key = true, keyID{class, fmt.Sprintf("%x %x", subject, s.sum(r.Body))}
		}
	}
	if f.err != nil {
		return nil, q, nil, f.err
	}
	// The time that a request lay unread counts: its caller waits since Received-At.
	q.Waited = max(unix.Sub(t.stamp), 0)
	t.arrived = now - q.Waited
	if told {
		q.Budget = max(budget-q.Waited, time.Nanosecond) // none would mean that it is not told
	}
	return t, q, nil, nil
}
