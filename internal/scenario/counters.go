package scenario

import (
	"go.uber.org/zap/zapcore"
)

// countersMessage is the log message with which a server logs its counters.
const countersMessage = "counters"

// counterLog is a zapcore.Core that keeps the server's latest counters and discards all other log entries.
type counterLog struct{ latest map[string]uint64 }

// Enabled implements zapcore.Core.
func (*counterLog) Enabled(level zapcore.Level) bool { return level >= zapcore.InfoLevel }

// With implements zapcore.Core.
func (c *counterLog) With([]zapcore.Field) zapcore.Core { return c }

// Check implements zapcore.Core.
func (c *counterLog) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Message == countersMessage {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *counterLog) Write(_ zapcore.Entry, fields []zapcore.Field) error {
	c.latest = map[string]uint64{}
	for _, field := range fields {
		if field.Type == zapcore.Uint64Type {
			c.latest[field.Key] = uint64(field.Integer)
		}
	}
	return nil
}

// Sync implements zapcore.Core.
func (*counterLog) Sync() error { return nil }

// totals returns how many requests a server received and how many it accounted for: served, rejected, failed, lost with
// their connection, invalid, or answered by a route. The two are equal after a server has exited. isLogged reports whether
// the server has logged its counters.
func (c *counterLog) totals() (received, accounted uint64, isLogged bool) {
	if c.latest == nil {
		return 0, 0, false
	}
	for _, outcome := range []string{"served", "rejected", "failed", "requests_lost", "invalid", "direct_responses"} {
		accounted += c.latest[outcome]
	}
	return c.latest["requests"], accounted, true
}
