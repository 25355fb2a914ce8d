// Package maintenance decides when background work runs: compaction, expiry, saving. It does no I/O and reads no clock.
//
// Each task has a priority, a shortest time between two runs, an expected cost learned from its runs, and optionally a
// longest time between two runs, at which it is forced to run. All tasks share token buckets of time and of bytes. While the
// server is overloaded only forced runs happen.
package maintenance
