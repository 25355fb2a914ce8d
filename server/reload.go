package server

import (
	"reflect"

	"go.uber.org/zap"

	"tillerusher/internal/loadreport"
)

// Reload applies a configuration that was read again; any goroutine may call it. The addresses of the interpreter and
// of the load report service and the stop timeout change; all else needs a restart.
func (s *Server) Reload(cfg *Config) { s.loop.Post(func() { s.reload(cfg) }) }

// reload switches to the new addresses at once. A configuration that can't be applied as a whole changes nothing.
func (s *Server) reload(cfg *Config) {
	if err := validateSettings(cfg); err != nil {
		s.log.Error("configuration not reloaded", zap.Error(err))
		return
	}
	if err := s.moveLoadReports(cfg); err != nil {
		s.log.Error("configuration not reloaded", zap.NamedError("announce", err))
		return
	}
	s.backend.Reconfigure(cfg)
	next := *s.cfg // the caller keeps what it gave to New
	next.Interpreter, next.LoadReports, next.StopTimeout = cfg.Interpreter, cfg.LoadReports, cfg.StopTimeout
	s.counters.reloads++
	s.log.Info("configuration reloaded",
		zap.Stringer("vm", next.Interpreter),
		zap.Stringer("announce", next.LoadReports),
		zap.Duration("stop_ms", next.StopTimeout),
		zap.Strings("restart", restartFields(&next, cfg)))
	s.cfg = &next
	s.Annotate("configuration reloaded: vm %v, announce %v", next.Interpreter, next.LoadReports)
}

// moveLoadReports switches the load reports to the address of the new configuration, where it differs.
func (s *Server) moveLoadReports(cfg *Config) error {
	if cfg.LoadReports == s.cfg.LoadReports {
		return nil
	}
	reporter, err := loadreport.New(s.loop.System(), cfg.LoadReports, s.cfg.Name)
	if err != nil {
		return err
	}
	s.load.close()
	s.load.reporter = reporter
	if s.module.events != nil && !s.isDraining {
		s.load.reportAccepting() // the endpoint list must not wait for the next report
	}
	return nil
}

// restartFields returns the names of the fields that differ and need a restart.
func restartFields(current, read *Config) []string {
	fields := []string{}
	for field, isSame := range map[string]bool{
		"name":     current.Name == read.Name,
		"listen":   current.Listen == read.Listen,
		"limits":   current.Limits == read.Limits,
		"capture":  reflect.DeepEqual(current.Capture, read.Capture),
		"settings": reflect.DeepEqual(current.Settings, read.Settings),
	} {
		if !isSame {
			fields = append(fields, field)
		}
	}
	return fields
}

// CountReload counts a configuration that a backend applied by itself.
func (s *Server) CountReload() { s.counters.reloads++ }
