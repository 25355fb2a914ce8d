package server

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// captureCloseTimeout is how long the end of a server waits for the disk: with it, a drain that ends late still ends
// before the process would be killed.
const captureCloseTimeout = stopMargin / 4

// openCapture begins to record, where that is wanted.
func (s *Server) openCapture() error {
	if s.cfg.Capture == nil {
		return nil
	}
	files, err := capture.OpenDirectory(s.cfg.Capture.Directory)
	if err != nil {
		return err
	}
	about := capture.Meta{Server: s.cfg.Name, Classes: s.told.ClassNames, Tenants: s.told.TenantNames}
	s.recorder, err = capture.NewRecorder(files, s.cfg.Capture.Config, about, func() time.Time { return s.loop.Now() },
		func(err error) { s.log.Warn("capture not written", zap.Error(err)) })
	if err != nil {
		return err
	}
	s.log.Info("capturing", zap.String("directory", s.cfg.Capture.Directory))
	return nil
}

// newModule starts the decision module, behind a tap where what it is told and decides is recorded.
func (s *Server) newModule(set admission.Settings) (admission.Events, error) {
	var does admission.Actions = actions{s}
	var tap *capture.Tap
	if s.recorder != nil {
		tap = capture.NewTap(s.recorder, does)
		does = tap
	}
	module, err := admission.New(set, does)
	if err != nil {
		return nil, err
	}
	s.decisions = module
	if s.durable != nil {
		s.durable.restoreRunTimes(module) // previousRun the first state that is recorded
	}
	if tap == nil {
		return module, nil
	}
	tap.Attach(module, s.moduleTime())
	s.tap = tap
	return tap, nil
}

// annotateCapture notes in the capture what the module is not told.
func (s *Server) annotateCapture(format string, args ...any) {
	if s.tap != nil {
		s.tap.Annotate(fmt.Sprintf(format, args...))
	}
}

// closeCapture has what was recorded written.
func (s *Server) closeCapture() {
	if s.recorder != nil && !s.recorder.Close(captureCloseTimeout) {
		s.log.Warn("capture not written", zap.String("error", "the disk did not take the end in time"))
	}
}

// logCaptureCounters logs what became of the recording.
func (s *Server) logCaptureCounters() {
	if s.recorder == nil {
		return
	}
	c := s.recorder.Counters()
	s.logReadings("capture", nil, []reading{{"records", c.Records}, {"lost", c.Dropped}, {"gaps", c.Gaps},
		{"segments", c.Segments}, {"bytes", c.WrittenBytes}, {"raw", c.UncompressedBytes}, {"errors", c.DiskErrors}})
}
