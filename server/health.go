package server

import (
	"net/url"

	"tillerusher/internal/gateway"
)

// healthPath is the path of health checks.
const healthPath = "/healthz"

// healthState is how health checks are answered, as the module set it.
type healthState struct {
	isHealthy bool
	// isFixed says that deep checks are answered from isHealthy, too, without asking the backend.
	isFixed        bool
	checks, failed uint64
}

// checkHealth answers a health check: from the module's setting, or, where the gateway asks for a deep check and the
// setting alone may not answer it, by whether the backend can do work.
func (s *Server) checkHealth(conn *gatewayConn, stream gateway.StreamID, request gateway.Request) {
	s.health.checks++
	conn.validRequests++
	query, _ := url.ParseQuery(request.Query) // stored query that can't be parsed is not a deep check
	isDeep := query.Get("full") == "1"
	if !isDeep || s.health.isFixed || !s.health.isHealthy {
		s.answerHealthCheck(conn, stream, s.health.isHealthy)
		return
	}
	conn.healthChecks[stream] = true
	s.backend.CheckHealth(s.loop.Now(), func(ok bool) {
		if conn.healthChecks[stream] {
			delete(conn.healthChecks, stream)
			s.answerHealthCheck(conn, stream, ok && s.health.isHealthy)
		}
	})
}

// answerHealthCheck sends the outcome of a health check.
func (s *Server) answerHealthCheck(g *gatewayConn, stream gateway.StreamID, isHealthy bool) {
	status := statusOK
	if !isHealthy {
		s.health.failed++
		status = statusUnavailable
	}
	g.respond(stream, gateway.Response{Status: status})
}
