package server

import (
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/loadreport"
)

const (
	// endpointExpiry is how long after its last report the platform takes a server off the endpoint list.
	endpointExpiry = 3 * time.Second
	// loadReportInterval sends many reports in that time: they are datagrams, and where a quarter is lost, three in a
	// row often are.
	loadReportInterval = 250 * time.Millisecond
	// loadDigits is how many decimal digits the advertised load has.
	loadDigits = 4
)

// loadState is what callers and the platform hear of the server's load.
type loadState struct {
	advertised string               // sent with each answer; empty means not yet set
	reporter   *loadreport.Reporter // nil where there is no service to report to
	reports    uint64
	errors     uint64
}

// connect opens the reporter, where the configuration has a service to report to.
func (l *loadState) connect(system eventloop.System, cfg *Config) error {
	if !cfg.LoadReports.IsValid() {
		return nil
	}
	reporter, err := loadreport.New(system, cfg.LoadReports, cfg.Name)
	if err != nil {
		return err
	}
	l.reporter = reporter
	return nil
}

// close closes the reporter.
func (l *loadState) close() {
	if l.reporter != nil {
		l.reporter.Close()
	}
}

// send sends one report.
func (l *loadState) send(isAccepting bool) {
	if l.reporter == nil {
		return
	}
	l.reports++
	if err := l.reporter.Report(isAccepting); err != nil {
		l.errors++ // the next report is due soon
	}
}

// reportLoad reports that this server takes requests, until it drains.
func (s *Server) reportLoad() {
	if s.isDraining {
		return
	}
	s.load.send(true)
	s.loop.AfterFunc(loadReportInterval, s.reportLoad)
}
