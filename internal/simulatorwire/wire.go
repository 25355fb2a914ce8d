// Package simulatorwire reads batches of events and writes replies in the simulator's binary framing. It translates
// and decides nothing.
//
// All numbers are little-endian. A batch is a header (8 bytes of time, 4 of length, 4 of the number of records), that
// many records of 64 bytes and a tail of texts; the length counts what follows it. A reply is a header (4 bytes of
// the number of records, 4 of length), records of 24 bytes and a tail.
package simulatorwire

// Sizes of the framing in bytes.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 64
	actionSize      = 24
	countSize       = 4       // the part of a batch's header that its length counts
	maxBatchSize    = 1 << 30 // a greater length is treated as a broken frame
)
