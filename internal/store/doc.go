// Package store implements a durable map from names to records with group commit, kept in a state directory. It owns the
// directory, its lock, its identity (server, site and format version) and the goroutine that writes: callers pass changes and
// are called back once the changes are durable. internal/idempotency defines the records.
//
// The records are in a Pebble database (github.com/cockroachdb/pebble). Its file system can be replaced; tests use ones that
// lose unsynced data, tear writes and return errors. docs/design/state.md explains the choice of Pebble.
package store
