package server

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
	"tillerusher/internal/settings"
)

// classPathPrefix precedes the class name in the path of a request.
const classPathPrefix = "/v1/"

// catalogueParser parses the requests of the platform's gateways.
type catalogueParser struct {
	server      *Server
	site        *settings.Site
	runner      Runner
	classIndex  map[string]int
	tenantIndex map[string]int
}

// newCatalogueParser returns the parser of a server. It sets the runner in each request.
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
	// The caller has been waiting since Received-At, so the time in the socket buffer counts.
	waited := max(unixNow.Sub(parsed.ReceivedAt), 0)
	parsed.Admission.QueueingDelay = waited
	parsed.ArrivedAt = now - waited
	if hasBudget {
		parsed.Admission.RemainingTime = max(budget-waited, time.Nanosecond) // zero would mean unknown
	}
	return parsed, nil
}

// class returns the index of the class that the path names, and checks the method.
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

// admissionRequest returns the request in the form that the module gets.
func (p *catalogueParser) admissionRequest(fields *FieldReader, request gateway.Request, class int) admission.Request {
	retry := request.Headers["attempt-again"]
	if retry != "" && retry != "1" {
		fields.Reject("Attempt-Again", retry, "1 or nothing")
	}
	reported := admission.Request{
		Class:   class,
		IsRetry: retry == "1",
		Caller:  int(fields.Number("Sent-By", 0, MaxSender, 0)),
		Work:    milliseconds(fields.Number("Work-Estimate", 0, maxWorkEstimateMS, 0)),
		SizeKB:  fields.Number("Footprint-Kb", minFootprintKB, maxFootprintKB),
	}
	fields.Number("Priority-Rank", 0, 1, 0) // unused, but no gateway sends an invalid one
	return reported
}

// budget returns how long after Received-At the caller waits, at sites whose requests have deadlines. Other sites ignore
// the field.
func (p *catalogueParser) budget(fields *FieldReader, request gateway.Request) (budget time.Duration, ok bool) {
	if !p.site.Admission.HasDeadlines || request.Headers["budget-ms"] == "" {
		return 0, false
	}
	return milliseconds(fields.Number("Budget-Ms", 0, maxBudgetMS)), true
}

// tenant reads the tenant, at sites that have tenants.
func (p *catalogueParser) tenant(fields *FieldReader, reported *admission.Request) {
	if len(p.tenantIndex) == 0 {
		return
	}
	account := fields.Required("Account")
	tenant, isKnown := p.tenantIndex[account]
	if !isKnown {
		fields.Reject("Account", account, "a tenant of the site")
	}
	reported.Tenant = tenant
}

// key reads the idempotency key or, for a read, the resource. The result of a read may answer other reads of the
// resource.
func (p *catalogueParser) key(fields *FieldReader, request gateway.Request, parsed *ParsedRequest) {
	moduleSettings := &p.site.Admission
	switch effect := moduleSettings.Classes[parsed.Class].Effect; {
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
		if moduleSettings.ResultFreshness > 0 && resource != 0 {
			// The body is part of the key, because reads of one resource with different bodies have different answers.
			parsed.HasKey = true
			parsed.Key = fmt.Sprintf("%x %x", resource, p.server.HashBody(request.Body))
		}
	}
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
