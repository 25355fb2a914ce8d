package server

import (
	"reflect"

	"go.uber.org/zap"

	"tillerusher/internal/loadreport"
)

// Reload goes on with a configuration that was read again; any goroutine may call it. The addresses of the interpreter
// and of the announce service and the time to stop are taken over, all else needs a restart.
func (s *Server) Reload(cfg *Config) { s.loop.Post(func() { s.reload(cfg) }) }

// reload moves to the new addresses at once: the old ones get nothing new. A configuration that can't be carried out
// changes nothing at all, or half of a server would be in one place and half in another.
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

// moveLoadReports sends load reports to another address, where the new configuration has one.
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
		s.load.send(true) // the endpoint list must not wait for the next report
	}
	return nil
}

// restartFields returns the names of the fields that differ and are not taken over without a restart.
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

// CountReload counts a configuration that a backend took over by itself.
func (s *Server) CountReload() { s.counters.reloads++ }
