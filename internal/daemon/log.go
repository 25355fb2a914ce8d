package daemon

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
)

// Log collects a daemon's log, which has one JSON object per line. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns the log written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Entry is one line of the log: its fields by name.
type Entry map[string]any

// Last returns the newest entry with the given message for which matches returns true, or nil if there is none. A nil
// matches accepts every entry.
func (l *Log) Last(message string, matches func(Entry) bool) Entry {
	lines := bytes.Split([]byte(l.String()), []byte{'\n'})
	for _, line := range slices.Backward(lines) {
		var entry Entry
		if json.Unmarshal(line, &entry) != nil || entry["msg"] != message {
			continue
		}
		if matches == nil || matches(entry) {
			return entry
		}
	}
	return nil
}
