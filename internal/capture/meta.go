package capture

import "time"

// Meta describes a segment. It is stored as JSON.
type Meta struct {
	Server      string        `json:"server"`            // the server's name
	Run         string        `json:"run"`               // identifies a start of the process
	Arch        string        `json:"arch"`              // floating point may differ in the last bit on another
	Segment     int           `json:"segment"`           // number within the run, from 1
	FirstRecord uint64        `json:"first"`             // number of its first record within the run
	ModuleTime  time.Duration `json:"module"`            // the module's clock at its start, in nanoseconds
	UnixTime    time.Time     `json:"unix"`              // the wall clock then
	Classes     []string      `json:"classes"`           // names, by index
	Tenants     []string      `json:"tenants"`           // names, by index
	Gap         *Gap          `json:"gap,omitempty"`     // what is missing before it
	Comment     string        `json:"comment,omitempty"` // of an excerpt
}

// Gap describes the records that are missing before a segment.
type Gap struct {
	Records uint64        `json:"records"` // how many are missing
	From    time.Duration `json:"from"`    // the module's clock at the first of them
	Cause   string        `json:"cause"`
}

// header returns the header of a block at the segment's start.
func (m *Meta) header(kind blockKind) blockHeader {
	return blockHeader{kind: kind, firstRecord: m.FirstRecord, baseTime: m.ModuleTime, unixTime: m.UnixTime}
}
