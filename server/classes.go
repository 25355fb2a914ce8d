package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
)

// classCounters tell what a server took in and answered of one class since its start.
type classCounters struct {
	requests, served, refused, failed uint64
}

// rejectionNames are the names in the log of the reasons for which the module turns requests away.
var rejectionNames = map[admission.Reason]string{
	admission.AfterGrace: "after_grace", admission.Stalled: "stalled", admission.NoMemory: "no_memory",
	admission.Due: "due", admission.OverThreshold: "over_threshold", admission.WaitTooLong: "wait_too_long",
	admission.NoTimeLeft: "no_time_left", admission.WorthNothing: "worth_nothing", admission.LateWhileFull: "late_while_full"}

// reportClasses logs the counters of each class, and what the module knows of it, in one line.
func (s *Server) reportClasses(why string) {
	var known []admission.ClassInsight
	if s.decisions != nil {
		known = s.decisions.Inspect().Classes
	}
	var classes []zap.Field
	for class, name := range s.told.Classes {
		c := &s.classCounts[class]
		fields := []zap.Field{zap.Uint64("requests", c.requests), zap.Uint64("served", c.served), zap.Uint64("refused", c.refused),
			zap.Uint64("failed", c.failed)}
		if known != nil {
			fields = append(fields, insightFields(&known[class])...)
		}
		classes = append(classes, zap.Dict(name, fields...))
	}
	s.log.Info("classes", zap.String("why", why), zap.Dict("classes", classes...))
}

// insightFields are what the module knows of a class: readings of the moment, and why requests were turned away since the start.
func insightFields(i *admission.ClassInsight) []zap.Field {
	fields := []zap.Field{zap.Bool("starved", i.Starved), zap.Int("held", i.Within+i.Over), zap.Int("learned_runs", i.Runs),
		zap.Int64("core_ms", i.CoreTime.Round(time.Millisecond).Milliseconds()),
		zap.Int64("wall_ms", i.Wall.Round(time.Millisecond).Milliseconds())}
	for why, n := range i.Rejections {
		if n > 0 {
			fields = append(fields, zap.Uint64(rejectionNames[admission.Reason(why)], n))
		}
	}
	return fields
}
