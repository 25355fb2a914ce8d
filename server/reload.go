package server

import (
	"reflect"

	"go.uber.org/zap"

	"tillerusher/internal/loadreport"
)

// Reload applies a configuration that was read again. Any goroutine may call it. It changes the addresses of the
// interpreter and of the load report service, and the stop timeout. Other changes need a restart.
func (s *Server) Reload(cfg *Config) { s.loop.Post(func() { s.reload(cfg) }) }

// reload switches to the new addresses immediately. If the configuration can't be applied completely, nothing changes.
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
	next := *s.cfg // the caller of New still owns the old one
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

// moveLoadReports redirects load reports to the address in the new configuration, if it differs from the present one.
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
		s.load.reportAccepting() // the server joins the endpoint list without waiting for the next report
	}
	return nil
}

// restartFields returns the names of the fields that differ and take effect only after a restart.
func restartFields(current, reloaded *Config) []string {
	fields := []string{}
	for field, isSame := range map[string]bool{
		"name":     current.Name == reloaded.Name,
		"listen":   current.Listen == reloaded.Listen,
		"limits":   current.Limits == reloaded.Limits,
		"capture":  reflect.DeepEqual(current.Capture, reloaded.Capture),
		"settings": reflect.DeepEqual(current.Settings, reloaded.Settings),
	} {
		if !isSame {
			fields = append(fields, field)
		}
	}
	return fields
}

// CountReload counts a configuration that a backend reloaded itself.
func (s *Server) CountReload() { s.counters.reloads++ }
