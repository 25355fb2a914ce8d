// Package store keeps records in a directory that outlives the process: a durable map with group commit. It owns the
// directory, its identity (of which server and which site, in which format) and its lock, and one goroutine that writes:
// callers pass changes and are called back once these are durable. internal/idempotency defines the records.
//
// The records are in a Pebble database (github.com/cockroachdb/pebble). Its file layer can be replaced; tests use one that
// forgets, tears and fails. docs/design/state.md explains the choice of Pebble.
package store
