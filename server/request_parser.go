package server

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
	"tillerusher/internal/settings"
)

// Request is what the server knows of one attempt of a caller, as a RequestParser understood it.
type Request struct {
	// RequestID names the attempt to the backend, in hexadecimal.
	RequestID string
	// Class is the index of the request's class among those of the site.
	Class int
	// Key tells retries from other requests, together with the class, where HasKey is set: by it they are answered
	// from the first attempt's run.
	Key string
	// BodyHash is that of the body, where attempts with one key must agree in it.
	BodyHash uint64
	// ReceivedAt is when the gateway received the request, by the Unix clock, and ArrivedAt the same by the
	// module's clock.
	ReceivedAt time.Time
	ArrivedAt  time.Duration
	Body       []byte
	// Runner starts the request's run.
	Runner Runner
	HasKey bool
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
	// HasOwnID says that this process made the RequestID, so that it can't be that of another attempt.
	HasOwnID bool
}

// ParsedRequest is the outcome of parsing: a Response that answers the request at once, or all else.
type ParsedRequest struct {
	Request
	// Admission is what the module is told. The server fills in the ID and what the request is a retry of.
	Admission admission.Request
	// Response, where it is not nil, is the answer to a request that needs neither the module nor a run.
	Response *gateway.Response
}

// RequestParser understands the requests of gateways.
type RequestParser interface {
	// Parse understands a request that was read at a time of the module's clock. What an error says is the body of
	// the answer, with status 400.
	Parse(r gateway.Request, now time.Duration) (ParsedRequest, error)
}

// FieldError says that a field of a request makes no sense.
type FieldError struct {
	Field  string // as in the platform's documents
	Value  string
	Wanted string // what the field should have been
}

// Error implements error. What was wanted is left out: gateways log the text as it always was.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s is %.40q", e.Field, e.Value) }

var (
	errDuplicateRequestID = errors.New("field Request-Id is that of another try")
	errKeyOfOtherBody     = errors.New("field Once-Key is that of a request with another body")
)

// The bounds of numbers in requests. What is outside is no request of a gateway, and must not reach the module's
// estimates: one time far in the past would look like a backlog, one in the future would keep a key for good.
const (
	minFootprintKB, maxFootprintKB = 1e-6, 2000
	maxWorkEstimateMS              = 1e5
	maxBudgetMS                    = 1e9
	// MaxSender bounds the numbers of gateways, which take new ones whenever they restart.
	MaxSender = 1e15
	// maxUnixMS bounds times in milliseconds since 1970.
	maxUnixMS       = 1e15
	maxClockSkew    = time.Second // between two machines
	maxQueueingTime = time.Minute // a request may lie unread while the machine pauses
)

// The numbers of digits of fields in hexadecimal.
const (
	requestIDDigits      = 16
	idempotencyKeyDigits = 32
)

// FieldReader reads the fields of a request and keeps the first error.
type FieldReader struct {
	fields map[string]string // by their names in lower case
	err    error
}

// NewFieldReader returns a reader of fields that have their names in lower case.
func NewFieldReader(fields map[string]string) *FieldReader { return &FieldReader{fields: fields} }

// Err is the first error, or nil.
func (f *FieldReader) Err() error { return f.err }

// Reject notes that a field makes no sense.
func (f *FieldReader) Reject(name, value, wanted string) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Value: value, Wanted: wanted}
	}
}

// Required returns a field that must be there.
func (f *FieldReader) Required(name string) string {
	value := f.fields[strings.ToLower(name)]
	if value == "" {
		f.Reject(name, value, "a value")
	}
	return value
}

// Number returns a number from low to below high. Where the field is absent, it returns the default, if there is one.
func (f *FieldReader) Number(name string, low, high float64, absent ...float64) float64 {
	text := f.fields[strings.ToLower(name)]
	if text == "" && len(absent) > 0 {
		return absent[0]
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(value >= low && value < high) {
		f.Reject(name, text, "a number within its bounds")
	}
	return value
}

// Hex returns a field of so many hexadecimal digits.
func (f *FieldReader) Hex(name string, digits int) string {
	text := f.Required(name)
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			f.Reject(name, text, "hexadecimal digits")
		}
	}
	if len(text) != digits {
		f.Reject(name, text, "hexadecimal digits")
	}
	return text
}

// ReceivedAt returns the time at which the gateway received the request, which is near the time of now.
func (f *FieldReader) ReceivedAt(now time.Time) time.Time {
	received := time.UnixMilli(int64(f.Number("Received-At", 1, maxUnixMS)))
	if waited := now.Sub(received); waited > maxQueueingTime || waited < -maxClockSkew {
		f.Reject("Received-At", f.fields["received-at"], "a time near the server's")
	}
	return received
}

// classPathPrefix is what the name of the class follows in the path.
const classPathPrefix = "/v1/"

// catalogueParser understands requests as the platform's gateways send them.
type catalogueParser struct {
	server      *Server
	site        *settings.Site
	runner      Runner
	classIndex  map[string]int
	tenantIndex map[string]int
}

// newCatalogueParser returns the parser of a server, whose requests the runner runs.
func newCatalogueParser(s *Server, runner Runner) *catalogueParser {
	return &catalogueParser{
		server:      s,
		site:        s.site,
		runner:      runner,
		classIndex:  indexByName(s.site.ClassNames),
		tenantIndex: indexByName(s.site.TenantNames),
	}
}

// Parse implements RequestParser.
func (p *catalogueParser) Parse(request gateway.Request, now time.Duration) (ParsedRequest, error) {
	fields := NewFieldReader(request.Headers)
	unixNow := p.server.loop.Now().Round(0)
	parsed := ParsedRequest{Request: Request{Class: p.class(fields, request), Body: request.Body, Runner: p.runner}}
	parsed.RequestID = fields.Hex("Request-Id", requestIDDigits)
	parsed.ReceivedAt = fields.ReceivedAt(unixNow)
	parsed.Admission = p.admissionRequest(fields, request, parsed.Class)
	budget, hasBudget := p.budget(fields, request)
	p.tenant(fields, &parsed.Admission)
	p.key(fields, request, &parsed)
	if fields.err != nil {
		return ParsedRequest{}, fields.err
	}
	// The time that a request lay unread counts: its caller waits since Received-At.
	waited := max(unixNow.Sub(parsed.ReceivedAt), 0)
	parsed.Admission.QueueingDelay = waited
	parsed.ArrivedAt = now - waited
	if hasBudget {
		parsed.Admission.RemainingTime = max(budget-waited, time.Nanosecond) // zero would mean that it is not known
	}
	return parsed, nil
}

// class returns the index of the class that the path names.
func (p *catalogueParser) class(fields *FieldReader, request gateway.Request) int {
	class, isKnown := p.classIndex[strings.TrimPrefix(request.Path, classPathPrefix)]
	if !isKnown || !strings.HasPrefix(request.Path, classPathPrefix) {
		fields.Reject("SCRIPT_NAME", request.Path, classPathPrefix+" and a class of the site")
	}
	if request.Method != "POST" {
		fields.Reject("REQUEST_METHOD", request.Method, "POST")
	}
	return class
}

// admissionRequest returns what the module is told of a request.
func (p *catalogueParser) admissionRequest(fields *FieldReader, request gateway.Request, class int) admission.Request {
	retry := request.Headers["attempt-again"]
	if retry != "" && retry != "1" {
		fields.Reject("Attempt-Again", retry, "1 or nothing")
	}
	q := admission.Request{
		Class:   class,
		IsRetry: retry == "1",
		Caller:  int(fields.Number("Sent-By", 0, MaxSender, 0)),
		Work:    milliseconds(fields.Number("Work-Estimate", 0, maxWorkEstimateMS, 0)),
		SizeKB:  fields.Number("Footprint-Kb", minFootprintKB, maxFootprintKB),
	}
	fields.Number("Priority-Rank", 0, 1, 0) // not used, but one that makes no sense is no gateway's
	return q
}

// budget returns how long after Received-At the caller waits, at sites where gateways tell it. The field is no field
// of a request elsewhere.
func (p *catalogueParser) budget(fields *FieldReader, request gateway.Request) (budget time.Duration, ok bool) {
	if !p.site.Admission.HasDeadlines || request.Headers["budget-ms"] == "" {
		return 0, false
	}
	return milliseconds(fields.Number("Budget-Ms", 0, maxBudgetMS)), true
}

// tenant reads the tenant, at sites that have any.
func (p *catalogueParser) tenant(fields *FieldReader, q *admission.Request) {
	if len(p.tenantIndex) == 0 {
		return
	}
	account := fields.Required("Account")
	tenant, isKnown := p.tenantIndex[account]
	if !isKnown {
		fields.Reject("Account", account, "a tenant of the site")
	}
	q.Tenant = tenant
}

// key reads what tells retries of a request, or reads of one resource, from others.
func (p *catalogueParser) key(fields *FieldReader, request gateway.Request, parsed *ParsedRequest) {
	set := &p.site.Admission
	switch effect := set.Classes[parsed.Class].Effect; {
	case effect == admission.IdempotentByKey:
		parsed.HasKey, parsed.AtMostOnce = true, true
		parsed.Key = strings.ToLower(fields.Hex("Once-Key", idempotencyKeyDigits))
		parsed.BodyHash = p.server.HashBody(request.Body)
	case effect == admission.NonIdempotent:
		parsed.AtMostOnce = true
	case request.Headers["resource-key"] != "":
		resource, err := strconv.ParseUint(request.Headers["resource-key"], 16, 64)
		if err != nil {
			fields.Reject("Resource-Key", request.Headers["resource-key"], "a hexadecimal number")
		}
		parsed.Admission.ResourceID = resource
		if set.ResultFreshness > 0 && resource != 0 {
			// Reads of one resource that ask for different things have different answers.
			parsed.HasKey = true
			parsed.Key = fmt.Sprintf("%x %x", resource, p.server.HashBody(request.Body))
		}
	}
}

// milliseconds converts a number of milliseconds.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
