package router

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/server"
)

// The HTTP statuses that the router sends itself or handles specially.
const (
	statusMovedPermanently   = 301
	statusBadRequest         = 400
	statusNotFound           = 404
	statusTooManyRequests    = 429
	statusBadGateway         = 502
	statusServiceUnavailable = 503
)

// The estimate of a request's memory use, which is reported to the decision module.
const (
	requestOverheadKB = 1 // in addition to the body
	bytesPerKB        = 1024
)

// safeMethods are the HTTP methods that are essentially read-only (RFC 9110, section 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// Parse implements server.RequestParser. It resolves the request's route and parses the request's fields. If the route has
// no pool, the result is the route's response.
func (b *backend) Parse(r gateway.Request, now time.Duration) (server.ParsedRequest, error) {
	routed, response := b.resolve(r)
	if response != nil {
		return server.ParsedRequest{Response: response}, nil
	}
	return b.parseAttempt(routed, now)
}

// resolve returns the request with its route, or the response of a route without a pool.
func (b *backend) resolve(request gateway.Request) (*routedRequest, *gateway.Response) {
	virtualServer, _ := b.table.FindServer(b.localAddress(request), request.Headers["host"])
	if virtualServer == nil {
		return nil, &gateway.Response{Status: statusNotFound}
	}
	requestedPath := request.Path
	if request.URI != "" {
		requestedPath = request.URI // the gateway may have changed SCRIPT_NAME
	}
	resolution, err := virtualServer.Resolve(requestedPath, request.Query)
	if err != nil {
		return nil, &gateway.Response{Status: statusBadRequest}
	}
	if response := resolvedResponse(resolution); response != nil {
		return nil, response
	}
	routed := &routedRequest{
		backend:       b,
		request:       request,
		server:        virtualServer,
		location:      resolution.Location.Value.(*routeconfig.Location),
		requestedPath: requestedPath,
		path:          resolution.Path,
		query:         resolution.Query,
		isRewritten:   resolution.Rewritten,
	}
	if response := routed.directResponse(resolution.StoppedByBreak); response != nil {
		return nil, response
	}
	return routed, nil
}

// resolvedResponse returns the response of a resolution that is a redirect, a status or has no location. It returns nil
// for a resolution with a location.
func resolvedResponse(resolution route.Resolution) *gateway.Response {
	if resolution.RedirectTrailingSlash {
		resolution.Status, resolution.RedirectURL = statusMovedPermanently, resolution.Path+"/"
		if resolution.Query != "" {
			resolution.RedirectURL += "?" + resolution.Query
		}
	}
	switch {
	case resolution.RedirectURL != "":
		location := gateway.Field{Name: "Location", Value: resolution.RedirectURL}
		return &gateway.Response{Status: resolution.Status, Headers: []gateway.Field{location}}
	case resolution.Status != 0:
		return &gateway.Response{Status: resolution.Status}
	case resolution.Location == nil:
		return &gateway.Response{Status: statusNotFound}
	}
	return nil
}

// localAddress returns the address on which the gateway accepted the client's connection, or the router's listen address if
// the gateway does not send a valid one.
func (b *backend) localAddress(r gateway.Request) netip.AddrPort {
	address, err := netip.ParseAddrPort(net.JoinHostPort(r.Params["SERVER_ADDR"], r.Params["SERVER_PORT"]))
	if err != nil {
		return b.listen
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// parseAttempt parses the fields that are reported to the decision module. The platform's fields are optional, except for
// the idempotency key of a class that requires one.
func (b *backend) parseAttempt(routed *routedRequest, now time.Duration) (server.ParsedRequest, error) {
	request := routed.request
	fields := server.NewFieldReader(request.Headers)
	class := b.classes[routed.location.Class]
	b.lastRequestID++
	parsed := server.ParsedRequest{Request: server.Request{
		RequestID: fmt.Sprintf("%016x", b.lastRequestID),
		HasOwnID:  true,
		Body:      request.Body,
		Runner:    routed,
	}}
	parsed.Class, parsed.AtMostOnce = class.forMethod(request.Method)
	unixNow := b.server.Loop().Now().Round(0)
	parsed.ReceivedAt = unixNow
	if request.Headers["received-at"] != "" {
		parsed.ReceivedAt = fields.ReceivedAt(unixNow)
	}
	parsed.Admission = admission.Request{
		Class:   parsed.Class,
		IsRetry: request.Headers["attempt-again"] == "1",
		Caller:  int(fields.Number("Sent-By", 0, server.MaxSender, 0)),
		SizeKB:  requestOverheadKB + float64(len(request.Body))/bytesPerKB,
	}
	if class.hasKey {
		parsed.HasKey, parsed.Key = true, fields.Required("Once-Key")
		parsed.BodyHash = b.server.HashBody(request.Body)
	}
	if err := fields.Err(); err != nil {
		return server.ParsedRequest{}, err
	}
	parsed.Admission.QueueingDelay = max(unixNow.Sub(parsed.ReceivedAt), 0)
	parsed.ArrivedAt = now - parsed.Admission.QueueingDelay
	return parsed, nil
}

// forMethod returns the decision module's class of a request with the method, and whether the request must not run twice.
func (m classMapping) forMethod(method string) (class int, atMostOnce bool) {
	if !m.atMostOnce || !m.hasKey && slices.Contains(safeMethods, method) {
		return m.safe, m.atMostOnce && m.safe == m.other
	}
	return m.other, m.atMostOnce
}
