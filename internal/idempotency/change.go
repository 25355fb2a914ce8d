package idempotency

// Change is one record to be written, or removed where Value is nil.
type Change struct {
	Name  string
	Value []byte
}

// StoreStats counts the work of a store since it was opened.
type StoreStats struct {
	Syncs   uint64 // batches that were synced
	Changes uint64 // durable changes
	Reopens uint64 // times that the records were opened again after a disk failure
}
