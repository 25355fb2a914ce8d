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

// routedRequest is a request and its route. It implements server.Runner.
type routedRequest struct {
	backend  *backend
	request  gateway.Request
	server   *route.Server
	location *routeconfig.Location
	// requestedPath is the path that the client sent. path is normalized; rewrites are applied to path and query.
	requestedPath string
	path          string
	query         string
	isRewritten   bool
	// isFallback is set if location is a fallback. The response then gets fallbackStatus, or keeps its own status if
	// fallbackStatus is 0.
	isFallback     bool
	fallbackStatus int
	// attempt is the server's record of the request; nil until Run is called.
	attempt *server.Request
}

// Run implements server.Runner. It submits the request to the pool of its location.
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

// directResponse returns the response of a route without a pool, or nil if the request goes to a pool. A status without a
// text may have a fallback location, which then replaces the location of the route. stoppedByBreak reports that a rewrite
// with the flag break ended the location's directives; the location's return is then ignored.
func (q *routedRequest) directResponse(stoppedByBreak bool) *gateway.Response {
	location := q.location
	if location.Pool != "" && (location.ReturnStatus == 0 || stoppedByBreak) {
		return nil
	}
	response := &gateway.Response{Status: statusNotFound}
	if location.ReturnStatus != 0 && !stoppedByBreak {
		response = returnResponse(location)
		if location.ReturnText != "" {
			return response
		}
	}
	if !q.applyFallback(response.Status) {
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

// applyFallback replaces the location by its fallback for a status, and returns false if there is none. As in nginx, a
// request uses at most one fallback, whatever the status of the fallback's response.
func (q *routedRequest) applyFallback(status int) bool {
	if q.isFallback {
		return false
	}
	for _, fallback := range q.location.Fallbacks {
		if !slices.Contains(fallback.Statuses, status) {
			continue
		}
		named := q.server.NamedLocation(fallback.Location)
		if named == nil {
			return false // unexpected: the configuration was validated
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

// finalStatus returns the status to send to the client, given the status of the location's response.
func (q *routedRequest) finalStatus(status int) int {
	if q.fallbackStatus != 0 {
		return q.fallbackStatus
	}
	return status
}

// returnResponse returns the response of a location with a return directive.
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

// hashKey returns the key that the hash methods of the location's pool use to choose a member. It is nil if the pool has
// none.
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

// requestedURI returns the path and query that the client sent.
func (q *routedRequest) requestedURI() string {
	if q.request.Query == "" {
		return q.requestedPath
	}
	return q.requestedPath + "?" + q.request.Query
}

// clientAddress returns the bytes of the client's IP address, or of 127.0.0.1 if REMOTE_ADDR can't be parsed.
func (q *routedRequest) clientAddress() []byte {
	if address, err := netip.ParseAddr(q.request.Params["REMOTE_ADDR"]); err == nil {
		return address.Unmap().AsSlice()
	}
	return []byte{127, 0, 0, 1}
}

// memberParams returns the parameters for a member: the location's parameters, then the gateway's parameters that the
// location does not set. Rewrites do not change REQUEST_URI, which is the URI that the client sent.
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

// rewrittenParam returns the value of a gateway's parameter after a rewrite.
func (q *routedRequest) rewrittenParam(name, value string) string {
	switch name {
	case "SCRIPT_NAME", "DOCUMENT_URI":
		return q.path
	case "QUERY_STRING":
		return q.query
	}
	return value
}
