package router

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"tillerusher/internal/forward"
	"tillerusher/internal/gateway"
	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/server"
)

// routedRequest is a request with its route.
type routedRequest struct {
	backend  *backend
	request  gateway.Request
	server   *route.Server
	location *routeconfig.Location
	// requestedPath is the path that the caller sent; path and query are normalized and rewritten.
	requestedPath string
	path          string
	query         string
	isRewritten   bool
	// isFallback says that location is a fallback. Its answer gets fallbackStatus, or, where that is 0, keeps its own.
	isFallback     bool
	fallbackStatus int
	// attempt is the request in the core; nil until it runs.
	attempt *server.Request
}

// Run implements server.Runner: the request goes to the pool of its location.
func (q *routedRequest) Run(r *server.Request) {
	q.attempt = r
	q.backend.inFlight[r.RequestID] = q
	q.backend.forwarder.Submit(forward.Request{
		ID:            r.RequestID,
		Pool:          q.location.Pool,
		HashKey:       q.hashKey(),
		NonIdempotent: r.AtMostOnce,
		Params:        q.memberParams(),
		Body:          q.request.Body,
	})
}

// directAnswer returns the answer of a route without a pool, or nil where the request goes to one. A status without a
// text of its own may lead to a fallback location, which then replaces the route. hasBreak says that a rewrite with the
// flag break ended the location's directives: its return is then ignored.
func (q *routedRequest) directAnswer(hasBreak bool) *gateway.Response {
	location := q.location
	if location.Pool != "" && (location.ReturnStatus == 0 || hasBreak) {
		return nil
	}
	response := &gateway.Response{Status: statusNotFound}
	if location.ReturnStatus != 0 && !hasBreak {
		response = returnResponse(location)
		if location.ReturnText != "" {
			return response
		}
	}
	if !q.takeFallback(response.Status) {
		return response
	}
	if q.location.Pool != "" {
		return nil
	}
	final := *response
	if q.location.ReturnStatus != 0 {
		final = *returnResponse(q.location)
	}
	final.Status = q.finalStatus(final.Status)
	return &final
}

// takeFallback replaces the route by the location's fallback for a status, and returns false where there is none. As in
// nginx, a request takes one fallback at most, whatever the status of that one.
func (q *routedRequest) takeFallback(status int) bool {
	if q.isFallback {
		return false
	}
	for _, fallback := range q.location.Fallbacks {
		if !slices.Contains(fallback.Statuses, status) {
			continue
		}
		named := q.server.NamedLocation(fallback.Location)
		if named == nil {
			return false // should not happen: the configuration was validated
		}
		q.location, q.isFallback = named.Value.(*routeconfig.Location), true
		q.fallbackStatus = fallback.ResponseStatus
		if fallback.ResponseStatus == routeconfig.KeepStatus {
			q.fallbackStatus = status
		}
		return true
	}
	return false
}

// finalStatus returns the status of the caller's answer, given that of the location's answer.
func (q *routedRequest) finalStatus(status int) int {
	if q.fallbackStatus != 0 {
		return q.fallbackStatus
	}
	return status
}

// returnResponse returns the answer of a location with a return directive.
func returnResponse(location *routeconfig.Location) *gateway.Response {
	response := &gateway.Response{Status: location.ReturnStatus}
	isRedirect := location.ReturnStatus >= 300 && location.ReturnStatus < 400
	switch {
	case location.ReturnText == "":
	case isRedirect:
		response.Headers = []gateway.Field{{Name: "Location", Value: location.ReturnText}}
	default:
		response.Headers = []gateway.Field{{Name: "Content-Type", Value: "text/plain"}}
		response.Body = []byte(location.ReturnText)
	}
	return response
}

// hashKey returns the key by which the hash methods of the location's pool choose a member.
func (q *routedRequest) hashKey() []byte {
	target := q.backend.pools[q.location.Pool]
	if target == nil {
		return nil
	}
	if target.BalancingPolicy == pool.IPHash {
		return q.clientAddress()
	}
	if header, ok := strings.CutPrefix(target.HashKey, routeconfig.HashByHeaderPrefix); ok {
		return []byte(q.request.Headers[strings.ToLower(header)])
	}
	switch target.HashKey {
	case routeconfig.HashByURI:
		return []byte(q.requestedURI())
	case routeconfig.HashByPath:
		return []byte(q.path)
	case routeconfig.HashByQuery:
		return []byte(q.query)
	case routeconfig.HashByHost:
		return []byte(q.request.Headers["host"])
	case routeconfig.HashByClient:
		return q.clientAddress()
	default:
		return nil
	}
}

// requestedURI returns the path and query that the caller sent.
func (q *routedRequest) requestedURI() string {
	if q.request.Query == "" {
		return q.requestedPath
	}
	return q.requestedPath + "?" + q.request.Query
}

// clientAddress returns the address of the gateway's caller, or that of loopback where it can't be parsed.
func (q *routedRequest) clientAddress() []byte {
	if address, err := netip.ParseAddr(q.request.Params["REMOTE_ADDR"]); err == nil {
		return address.Unmap().AsSlice()
	}
	return []byte{127, 0, 0, 1}
}

// memberParams returns the parameters for a member: the location's, and those of the gateway that the location does
// not set. REQUEST_URI stays as the caller sent it, whatever was rewritten.
func (q *routedRequest) memberParams() []gateway.Field {
	params := make([]gateway.Field, 0, len(q.request.Params)+len(q.location.Params))
	isSet := map[string]bool{}
	for _, p := range q.location.Params {
		isSet[p.Name] = true
		params = append(params, gateway.Field{Name: p.Name, Value: p.Value})
	}
	for _, name := range slices.Sorted(maps.Keys(q.request.Params)) {
		if isSet[name] {
			continue
		}
		value := q.request.Params[name]
		if q.isRewritten {
			value = q.rewrittenParam(name, value)
		}
		params = append(params, gateway.Field{Name: name, Value: value})
	}
	return params
}

// rewrittenParam returns the value of a parameter after a rewrite.
func (q *routedRequest) rewrittenParam(name, value string) string {
	switch name {
	case "SCRIPT_NAME", "DOCUMENT_URI":
		return q.path
	case "QUERY_STRING":
		return q.query
	}
	return value
}
