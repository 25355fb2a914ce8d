package scenario

import (
	"go.uber.org/zap/zapcore"
)

// counters is a log that keeps the server's last counters, and nothing else.
type counters struct{ last map[string]uint64 }

// Enabled implements zapcore.Core.
func (*counters) Enabled(level zapcore.Level) bool { return level >= zapcore.InfoLevel }

// With implements zapcore.Core.
func (c *counters) With([]zapcore.Field) zapcore.Core { return c }

// Check implements zapcore.Core.
func (c *counters) Check(e zapcore.Entry, to *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == "counters" {
		return to.AddCore(e, c)
	}
	return to
}

// Write implements zapcore.Core.
func (c *counters) Write(_ zapcore.Entry, fields []zapcore.Field) error {
	c.last = map[string]uint64{}
	for _, f := range fields {
		if f.Type == zapcore.Uint64Type {
			c.last[f.Key] = uint64(f.Integer)
		}
	}
	return nil
}

// Sync implements zapcore.Core.
func (*counters) Sync() error { return nil }

// sums tells whether all that a server that has ended took in was served, refused, failed, turned away as invalid, answered by a
// route, or lost with its connection.
func (c *counters) sums() (in, out uint64, told bool) {
	l := c.last
	return l["requests"], l["served"] + l["refused"] + l["failed"] + l["lost"] + l["invalid"] + l["direct"], l != nil
}
