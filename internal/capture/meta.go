package capture

import "time"

// Meta describes a segment. It is stored as JSON in the first block.
type Meta struct {
	Server      string        `json:"server"`            // name of the server
	Run         string        `json:"run"`               // identifies one start of the server process
	Arch        string        `json:"arch"`              // floating-point results may differ in the last bit between architectures
	Segment     int           `json:"segment"`           // number within the run, from 1
	FirstRecord uint64        `json:"first"`             // number of the first record within the run
	ModuleTime  time.Duration `json:"module"`            // module's clock at the start of the segment, in nanoseconds
	UnixTime    time.Time     `json:"unix"`              // wall clock at the start of the segment
	Classes     []string      `json:"classes"`           // class names, by index
	Tenants     []string      `json:"tenants"`           // tenant names, by index
	Gap         *Gap          `json:"gap,omitempty"`     // missing records before the segment
	Comment     string        `json:"comment,omitempty"` // describes an excerpt
}

// Gap is a period before a segment in which records were dropped.
type Gap struct {
	Records uint64        `json:"records"` // number dropped during the gap; the lost blocks of an abandoned segment are not counted
	From    time.Duration `json:"from"`    // module's clock at the start of the gap
	Cause   string        `json:"cause"`
}

// header returns the header of a block at the start of the segment.
func (m *Meta) header(kind blockKind) blockHeader {
	return blockHeader{kind: kind, firstRecord: m.FirstRecord, baseTime: m.ModuleTime, unixTime: m.UnixTime}
}
