package idempotency

// Change is one record to write, or to remove if Value is nil.
type Change struct {
	Name  string
	Value []byte
}

// StoreStats counts the operations of a store since it was opened.
type StoreStats struct {
	Syncs   uint64 // batches written, each with one sync
	Changes uint64 // changes made durable
	Reopens uint64 // times the database was reopened after a failed write
}
