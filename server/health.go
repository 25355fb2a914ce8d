package server

import (
	"net/url"

	"tillerusher/internal/gateway"
)

// healthPath is the path of health checks.
const healthPath = "/healthz"

// healthState is the module's setting for the answers to health checks, and the counts of the checks.
type healthState struct {
	isHealthy bool
	// isFixed is set if deep checks are also answered from isHealthy, without asking the backend.
	isFixed        bool
	checks, failed uint64
}

// checkHealth answers a health check from the module's setting. If the gateway asks for a deep check, the answer also
// depends on whether the backend can do work, unless isFixed is set or the setting is unhealthy.
func (s *Server) checkHealth(conn *gatewayConn, stream gateway.StreamID, request gateway.Request) {
	s.health.checks++
	conn.validRequests++
	query, _ := url.ParseQuery(request.Query) // a query that can't be parsed is not a deep check
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

// answerHealthCheck sends the answer to a health check.
func (s *Server) answerHealthCheck(g *gatewayConn, stream gateway.StreamID, isHealthy bool) {
	status := statusOK
	if !isHealthy {
		s.health.failed++
		status = statusUnavailable
	}
	g.respond(stream, gateway.Response{Status: status})
}
