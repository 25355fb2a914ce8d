package server

import (
	"fmt"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// captureCloseTimeout is how long a stopping server waits for the disk. It is a fraction of stopMargin, so that a drain
// that takes its full time still ends before the process is killed.
const captureCloseTimeout = stopMargin / 4

// captureState records the events that are reported to the module, and its decisions. Both fields are nil if capturing is
// off. tap is also nil until the module starts.
type captureState struct {
	recorder *capture.Recorder
	tap      *capture.Tap
}

// openCapture starts recording if the configuration enables it.
func (s *Server) openCapture() error {
	if s.cfg.Capture == nil {
		return nil
	}
	files, err := capture.OpenDirectory(s.cfg.Capture.Directory)
	if err != nil {
		return err
	}
	meta := capture.Meta{Server: s.cfg.Name, Classes: s.site.ClassNames, Tenants: s.site.TenantNames}
	logError := func(err error) { s.log.Warn("capture not written", zap.Error(err)) }
	s.capture.recorder, err = capture.NewRecorder(files, s.cfg.Capture.Config, meta, s.loop.Now, logError)
	if err != nil {
		return err
	}
	s.log.Info("capturing", zap.String("directory", s.cfg.Capture.Directory))
	return nil
}

// newModule starts the decision module. If capturing is on, it puts a tap between the module and the server.
func (s *Server) newModule(moduleSettings admission.Settings) (admission.Events, error) {
	if s.capture.recorder == nil {
		instance, err := s.newInstance(moduleSettings, actions{s})
		if err != nil {
			return nil, err
		}
		return instance, nil
	}
	tap := capture.NewTap(s.capture.recorder, actions{s})
	instance, err := s.newInstance(moduleSettings, tap)
	if err != nil {
		return nil, err
	}
	tap.Attach(instance, s.eventTime())
	s.capture.tap = tap
	return tap, nil
}

// newInstance returns a module with the run times that an earlier process measured.
func (s *Server) newInstance(moduleSettings admission.Settings, moduleActions admission.Actions) (*admission.Instance, error) {
	instance, err := admission.New(moduleSettings, moduleActions)
	if err != nil {
		return nil, err
	}
	s.module.instance = instance
	if s.durable != nil {
		s.durable.restoreRunTimes(instance) // before the tap records the module's first state
	}
	return instance, nil
}

// Annotate adds a note to the capture, about an event that is not reported to the module.
func (s *Server) Annotate(format string, args ...any) {
	if s.capture.tap != nil {
		s.capture.tap.Annotate(fmt.Sprintf(format, args...))
	}
}

// closeCapture writes the rest of the capture and closes the recorder.
func (s *Server) closeCapture() {
	if s.capture.recorder != nil && !s.capture.recorder.Close(captureCloseTimeout) {
		s.log.Warn("capture not written", zap.String("error", "timed out writing the end of the capture"))
	}
}

// logCaptureCounters logs the counters of the recorder.
func (s *Server) logCaptureCounters() {
	if s.capture.recorder == nil {
		return
	}
	recorded := s.capture.recorder.Counters()
	s.logCounterLine("capture", nil, []Counter{
		{"records", recorded.Records},
		{"lost", recorded.Dropped},
		{"gaps", recorded.Gaps},
		{"segments", recorded.Segments},
		{"bytes", recorded.WrittenBytes},
		{"raw", recorded.UncompressedBytes},
		{"errors", recorded.DiskErrors},
	})
}
