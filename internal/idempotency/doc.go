// Package idempotency decides how requests with an idempotency key behave across restarts of the server: which record has
// to be durable before a run, what a retry is answered after a restart, which requests are rejected because their key could
// not be protected, and how the server behaves while its disk fails. It does no I/O and reads no clock: methods return the
// changes to write, and ObserveWrite is called with the outcome of the write.
//
// The order is that of a write-ahead log: the intent is durable before its run is submitted, the result is written after it.
// So after a crash a retry of a completed request gets the stored response, a retry of a request that has an intent and no
// result fails (whether it ran is unknown), and a request without an intent runs, because it never did.
//
// RunTimes, the record of learned run times, shares the record format and has a file of its own.
package idempotency
