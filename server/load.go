package server

import (
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/loadreport"
)

const (
	// endpointExpiry is how long after its last report the platform takes a server off the endpoint list.
	endpointExpiry = 3 * time.Second
	// loadReportInterval is short against endpointExpiry: reports are datagrams, and where a quarter of them is lost,
	// three in a row often are.
	loadReportInterval = 250 * time.Millisecond
	// loadDigits is how many decimal digits the advertised load has.
	loadDigits = 4
)

// loadState is the load feedback to callers, and the load reports to the platform.
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

// reportAccepting sends a report that the server accepts requests.
func (l *loadState) reportAccepting() { l.report(true) }

// reportDraining sends a report that the server accepts no more requests.
func (l *loadState) reportDraining() { l.report(false) }

// report sends one report.
func (l *loadState) report(isAccepting bool) {
	if l.reporter == nil {
		return
	}
	l.reports++
	if err := l.reporter.Report(isAccepting); err != nil {
		l.errors++ // the next report is due soon
	}
}

// reportLoad reports at intervals that this server accepts requests, until it drains.
func (s *Server) reportLoad() {
	if s.isDraining {
		return
	}
	s.load.reportAccepting()
	s.loop.AfterFunc(loadReportInterval, s.reportLoad)
}
