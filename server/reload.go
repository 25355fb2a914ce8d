package server

import (
	"reflect"

	"go.uber.org/zap"

	"tillerusher/internal/loadreport"
)

// Reload goes on with a configuration that was read anew; any goroutine may call it. The addresses of the
// interpreter and of the announce service and the time to stop are taken over, all else needs a restart.
func (s *Server) Reload(cfg *Config) { s.loop.Post(func() { s.reload(cfg) }) }

// reload moves to the new addresses at once: the old ones take nothing new. A configuration that can't be
// carried out changes nothing at all, or half of a server would be in one place and half in another.
func (s *Server) reload(cfg *Config) {
	if err := validateSettings(cfg); err != nil {
		s.log.Error("configuration not reloaded", zap.Error(err))
		return
	}
	if cfg.LoadReports != s.cfg.LoadReports {
		reporter, err := loadreport.New(s.loop.System(), cfg.LoadReports, s.cfg.Name)
		if err != nil {
			s.log.Error("configuration not reloaded", zap.NamedError("announce", err))
			return
		}
		s.closeReporter()
		s.reporter = reporter
		if s.module != nil && !s.isDraining {
			s.sendLoadReport(true) // the list must not wait for the next report
		}
	}
	if i, ok := s.backend.(interpreterBackend); ok {
		i.Redirect(cfg.Interpreter)
	}
	next := *s.cfg // the caller keeps what it gave to New
	next.Interpreter, next.LoadReports, next.StopTimeout = cfg.Interpreter, cfg.LoadReports, cfg.StopTimeout
	s.counters.reloads++
	s.log.Info("configuration reloaded", zap.Stringer("vm", next.Interpreter),
		zap.Stringer("announce", next.LoadReports), zap.Duration("stop", next.StopTimeout), zap.Strings("restart", restartFields(&next, cfg)))
	s.cfg = &next
	s.annotateCapture("configuration reloaded: vm %v, announce %v", next.Interpreter, next.LoadReports)
}

// restartFields names the fields that differ and are not taken over without a restart.
func restartFields(running, read *Config) []string {
	fields := []string{}
	for field, same := range map[string]bool{"name": running.Name == read.Name, "listen": running.Listen == read.Listen,
		"limits":  running.Limits == read.Limits,
		"capture": reflect.DeepEqual(running.Capture, read.Capture), "settings": reflect.DeepEqual(running.Settings, read.Settings)} {
		if !same {
			fields = append(fields, field)
		}
	}
	return fields
}
