package server

import (
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/loadreport"
)

const (
	// endpointExpiry is how long after its last report the platform removes a server from the endpoint list.
	endpointExpiry = 3 * time.Second
	// loadReportInterval is short compared with endpointExpiry, because reports are datagrams: if a quarter of them is
	// lost, three in a row are often lost.
	loadReportInterval = 250 * time.Millisecond
	// loadDecimals is the number of digits of the advertised load after the decimal point.
	loadDecimals = 4
)

// loadState is the state of the load feedback to callers and of the load reports to the platform.
type loadState struct {
	advertised string               // sent with each answer; empty until the module sets it
	reporter   *loadreport.Reporter // nil if no load report service is configured
	reports    uint64
	errors     uint64
}

// connect opens the reporter if the configuration has a load report service.
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

// reportAccepting reports that the server accepts requests.
func (l *loadState) reportAccepting() { l.report(true) }

// reportDraining reports that the server accepts no more requests.
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

// reportLoad reports every loadReportInterval that this server accepts requests, until it drains.
func (s *Server) reportLoad() {
	if s.isDraining {
		return
	}
	s.load.reportAccepting()
	s.loop.AfterFunc(loadReportInterval, s.reportLoad)
}
