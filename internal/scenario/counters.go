package scenario

import (
	"go.uber.org/zap/zapcore"
)

// counterLog is a log that keeps the server's last counters, and nothing else.
type counterLog struct{ latest map[string]uint64 }

// Enabled implements zapcore.Core.
func (*counterLog) Enabled(level zapcore.Level) bool { return level >= zapcore.InfoLevel }

// With implements zapcore.Core.
func (c *counterLog) With([]zapcore.Field) zapcore.Core { return c }

// Check implements zapcore.Core.
func (c *counterLog) Check(e zapcore.Entry, to *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == "counters" {
		return to.AddCore(e, c)
	}
	return to
}

// Write implements zapcore.Core.
func (c *counterLog) Write(_ zapcore.Entry, fields []zapcore.Field) error {
	c.latest = map[string]uint64{}
	for _, f := range fields {
		if f.Type == zapcore.Uint64Type {
			c.latest[f.Key] = uint64(f.Integer)
		}
	}
	return nil
}

// Sync implements zapcore.Core.
func (*counterLog) Sync() error { return nil }

// totals tells whether all that a server that has ended took in was served, refused, failed, turned away as invalid, answered by a
// route, or lost with its connection.
func (c *counterLog) totals() (in, out uint64, isLogged bool) {
	l := c.latest
	return l["requests"], l["served"] + l["refused"] + l["failed"] + l["lost"] + l["invalid"] + l["direct"], l != nil
}
