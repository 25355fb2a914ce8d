package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
)

// classCounters tell what a server took in and answered of one class since its start.
type classCounters struct {
	requests, served, rejected, failed uint64
}

// rejectionNames are the names in the log of the reasons for which the module turns requests away.
var rejectionNames = map[admission.Reason]string{
	admission.AfterDrainGrace: "after_grace", admission.Stalled: "stalled", admission.OutOfMemory: "no_memory",
	admission.DeadlineReached: "due", admission.RateOverThreshold: "over_threshold", admission.PredictedWaitTooLong: "wait_too_long",
	admission.DeadlineUnreachable: "no_time_left", admission.LateWithoutWeight: "worth_nothing", admission.LateWhileSaturated: "late_while_full"}

// logClassCounters logs the counters of each class, and what the module knows of it, in one line.
func (s *Server) logClassCounters(why string) {
	var known []admission.ClassInspection
	if s.decisions != nil {
		known = s.decisions.Inspect().Classes
	}
	var classes []zap.Field
	for class, name := range s.told.ClassNames {
		c := &s.classCounts[class]
		fields := []zap.Field{zap.Uint64("requests", c.requests), zap.Uint64("served", c.served), zap.Uint64("refused", c.rejected),
			zap.Uint64("failed", c.failed)}
		if known != nil {
			fields = append(fields, inspectionFields(&known[class])...)
		}
		classes = append(classes, zap.Dict(name, fields...))
	}
	s.log.Info("classes", zap.String("why", why), zap.Dict("classes", classes...))
}

// inspectionFields are what the module knows of a class: readings of the moment, and why requests were turned away since the start.
func inspectionFields(i *admission.ClassInspection) []zap.Field {
	fields := []zap.Field{zap.Bool("starved", i.Starved), zap.Int("held", i.QueuedWithinQuota+i.QueuedOverQuota), zap.Int("learned_runs", i.Samples),
		zap.Int64("core_ms", i.CoreTime.Round(time.Millisecond).Milliseconds()),
		zap.Int64("wall_ms", i.WallTime.Round(time.Millisecond).Milliseconds())}
	for why, n := range i.Rejections {
		if n > 0 {
			fields = append(fields, zap.Uint64(rejectionNames[admission.Reason(why)], n))
		}
	}
	return fields
}
