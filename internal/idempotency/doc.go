// Package idempotency implements the semantics of idempotency keys across restarts of the server. It decides which record
// must be durable before a run, which response a retry gets after a restart, which requests are rejected because their key
// cannot be protected, and how the server behaves while its disk fails. It does no I/O and reads no clock: methods return the
// changes to write, and the caller reports the outcome of a write to ObserveWrite.
//
// Records are written in the order of a write-ahead log: the intent is durable before its run is submitted, and the result is
// written after the run. After a crash, a retry of a completed request gets the stored response. A retry of a request with an
// intent and no result fails, since it is unknown whether the request ran. A request without an intent runs, since it never
// ran before.
//
// RunTimes (runtimes.go), the record of learned run times, shares the framing of records: version first, checksum last.
package idempotency
