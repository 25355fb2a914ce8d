package idempotency

import "time"

// Limits bounds the table. When MaxBytes is exceeded, responses are evicted, oldest first, and retries of their requests fail.
// If eviction cannot free enough or MaxKeys is reached, new requests with a key are rejected. An intent is never dropped
// before it expires.
type Limits struct {
	MaxKeys  int
	MaxBytes int64 // estimated size of all records
}

// DiskState describes whether the last writes to the disk succeeded.
type DiskState uint8

// The states of the disk. While the disk fails, requests with a key are rejected and all others are served; from time to time
// one request with a key is admitted, and its write probes the disk.
const (
	DiskHealthy DiskState = iota
	DiskFailing
)

// diskStateNames are the names that are recorded in captures.
var diskStateNames = [...]string{
	DiskHealthy: "sound",
	DiskFailing: "failing",
}

// String returns the name that is recorded in captures.
func (d DiskState) String() string { return diskStateNames[d] }

// Decision is the outcome of Admit: whether a request with a new key may run, and if not, why.
type Decision uint8

// The outcomes of Admit.
const (
	Admitted        Decision = iota // the request may run once its intent is durable
	TableFull                       // rejected: a limit of the table is reached
	DiskUnavailable                 // rejected: the disk is failing
)

// decisionReasons are the reasons that are logged.
var decisionReasons = [...]string{
	Admitted:        "protected",
	TableFull:       "no room for its key",
	DiskUnavailable: "the disk fails",
}

// String returns the reason that is logged.
func (d Decision) String() string { return decisionReasons[d] }

// The bounds of the exponential backoff between two probes of a failing disk.
const (
	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 10 * time.Second
)

// Counters counts decisions and state changes since the table was created.
type Counters struct {
	Intents       uint64
	Completed     uint64
	Aborted       uint64
	Expired       uint64
	Evicted       uint64 // responses that were evicted
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
	if t.diskState == DiskFailing { // this request probes the disk; others are rejected until a write succeeds or the backoff passes
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

// observeSuccess marks the disk as healthy and reports whether it was failing.
func (t *Table) observeSuccess() (changed bool) {
	if t.diskState == DiskHealthy {
		return false
	}
	t.diskState = DiskHealthy
	t.probeBackoff = 0
	t.Counters.Recoveries++
	return true
}
