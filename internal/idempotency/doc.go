// Package durable decides on keyed requests over restarts: what has to be written before a run, what a repeat is told after
// one, which requests are turned away because they could not be protected, and how a server behaves while its disk fails.
// It does no I/O and reads no clock; it says which records to write, and hears what became of that.
//
// The order is that of a write-ahead log: an intent is down before its run is asked for, its result after it. So after a
// death a repeat of what finished gets the stored answer, one whose intent has no result an honest failure (whether it ran
// is not known), and one without an intent runs, for it never has.
package idempotency
