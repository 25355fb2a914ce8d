// Package store keeps records in a folder that outlasts the process: a durable map with group commit. It owns the folder,
// its identity (whose it is, of which site, of which format) and its lock, and one goroutine that writes: callers hand over
// changes and hear of them once they are down. Which records there are, and what they mean, is internal/idempotency's.
//
// The records are in a Pebble store (github.com/cockroachdb/pebble), whose file layer tests replace by one that forgets,
// tears and fails. docs/design/state.md says why Pebble.
package store
