package idempotency

import "time"

// Limits bounds the table. An intent is never dropped before it expires; at the bound responses are evicted, oldest first,
// and retries of their requests fail; where even that does not free enough, new requests with a key are rejected.
type Limits struct {
	MaxKeys  int
	MaxBytes int64 // of records
}

// DiskState is whether the last writes to the disk succeeded.
type DiskState uint8

// The states of the disk. While it fails, requests with a key are rejected, all others are served, and one write now and then
// probes whether it works again.
const (
	DiskHealthy DiskState = iota
	DiskFailing
)

// diskStateNames are the names that logs and tools print.
var diskStateNames = [...]string{
	DiskHealthy: "sound",
	DiskFailing: "failing",
}

// String returns the name that logs and tools print.
func (d DiskState) String() string { return diskStateNames[d] }

// Decision is whether a request with a new key may run.
type Decision uint8

// The decisions.
const (
	Admitted        Decision = iota // it may run once its intent is durable
	TableFull                       // a limit is reached
	DiskUnavailable                 // the disk fails
)

// decisionReasons are the reasons that logs print.
var decisionReasons = [...]string{
	Admitted:        "protected",
	TableFull:       "no room for its key",
	DiskUnavailable: "the disk fails",
}

// String returns the reason that logs print.
func (d Decision) String() string { return decisionReasons[d] }

// The bounds of the exponential backoff between two probes of a failing disk.
const (
	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 10 * time.Second
)

// Counters counts decisions and state changes since the start.
type Counters struct {
	Intents       uint64
	Completed     uint64
	Aborted       uint64
	Expired       uint64
	Evicted       uint64 // responses
	RejectedFull  uint64
	RejectedDisk  uint64
	WriteFailures uint64
	Recoveries    uint64 // changes from DiskFailing to DiskHealthy
}

// Admit decides whether a request with a new key may run.
func (t *Table) Admit(now time.Time) Decision {
	switch {
	case t.diskState == DiskFailing && now.Before(t.nextProbe):
		t.Counters.RejectedDisk++
		return DiskUnavailable
	case len(t.entries) >= t.limits.MaxKeys || t.usedBytes-t.evictableBytes+recordOverhead > t.limits.MaxBytes:
		t.Counters.RejectedFull++
		return TableFull
	}
	if t.diskState == DiskFailing { // this request probes the disk; others wait for what its write shows
		t.nextProbe = now.Add(t.probeBackoff)
	}
	return Admitted
}

// ObserveWrite records the outcome of a write and reports whether it changed the state of the disk.
func (t *Table) ObserveWrite(err error, now time.Time) (changed bool) {
	if err == nil {
		return t.observeSuccess()
	}
	t.Counters.WriteFailures++
	changed = t.diskState == DiskHealthy
	t.diskState = DiskFailing
	t.probeBackoff = min(max(2*t.probeBackoff, minProbeBackoff), maxProbeBackoff)
	t.nextProbe = now.Add(t.probeBackoff)
	return changed
}

// observeSuccess marks the disk as healthy, and reports whether it was failing.
func (t *Table) observeSuccess() (changed bool) {
	if t.diskState == DiskHealthy {
		return false
	}
	t.diskState = DiskHealthy
	t.probeBackoff = 0
	t.Counters.Recoveries++
	return true
}
