// Package maintenance schedules background tasks: compaction, expiry, saving. It does no I/O and reads no clock.
//
// Each task has a priority, a minimum interval between two runs, an expected cost learned from its runs, and optionally a
// maximum interval, after which a run is forced. All tasks share two token buckets, one of time and one of bytes. While the
// server is overloaded, only forced runs are started.
package maintenance
