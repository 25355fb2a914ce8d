package server

import (
	"net/url"
	"time"

	"tillerusher/internal/gateway"
)

// healthPath is where health checks arrive.
const healthPath = "/healthz"

// checkHealth answers a health check: from the module's setting, or, where the gateway asks whether work gets done
// and the setting alone may not answer, by the outcome of a deep check.
func (s *Server) checkHealth(g *gatewayConn, id gateway.StreamID, r gateway.Request) {
	s.counters.healthChecks++
	g.validRequests++
	query, _ := url.ParseQuery(r.Query) // what is not understood asks for nothing
	if query.Get("full") != "1" || s.healthFromStore || !s.isHealthy {
		s.answerHealthCheck(g, id, s.isHealthy)
		return
	}
	g.healthChecks[id] = true
	s.backend.CheckHealth(s.loop.Now(), func(ok bool) {
		if g.healthChecks[id] {
			delete(g.healthChecks, id)
			s.answerHealthCheck(g, id, ok && s.isHealthy)
		}
	})
}

// answerHealthCheck sends the outcome of a health check.
func (s *Server) answerHealthCheck(g *gatewayConn, id gateway.StreamID, good bool) {
	status := statusOK
	if !good {
		s.counters.healthChecksFailed++
		status = statusUnavailable
	}
	g.sendAnswer(id, gateway.Response{Status: status})
}

const (
	// endpointExpiry is how long after its last report a server leaves the list.
	endpointExpiry = 3 * time.Second
	// loadReportInterval sends many reports in that time: they are datagrams, and where a quarter is lost, three in a
	// row often are.
	loadReportInterval = 250 * time.Millisecond
)

// reportLoad reports that this server takes requests, until it drains.
func (s *Server) reportLoad() {
	if s.isDraining {
		return
	}
	s.sendLoadReport(true)
	s.loop.AfterFunc(loadReportInterval, s.reportLoad)
}

// sendLoadReport sends one report.
func (s *Server) sendLoadReport(accepting bool) {
	if s.reporter == nil {
		return
	}
	s.counters.reports++
	if err := s.reporter.Report(accepting); err != nil {
		s.counters.reportErrors++ // the next report is due soon
	}
}
