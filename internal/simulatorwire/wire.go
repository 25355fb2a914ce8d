// Package simulatorwire decodes batches of events and encodes replies in the simulator's binary protocol. It makes no
// decisions.
//
// All integers and floating-point numbers are little-endian. A batch is a header, records of 64 bytes and a tail with
// texts. The header has the time in 8 bytes, the length in 4 and the number of records in 4; the length counts the bytes
// after the length field. A reply is a header, records of 24 bytes and a tail with texts. The header has the number of
// records in 4 bytes and the length in 4; the length counts the bytes after the header.
package simulatorwire

// Sizes in bytes.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 64
	actionSize      = 24
	countSize       = 4       // the part of a batch's header that the batch's length counts
	maxBatchSize    = 1 << 30 // of the records and the tail together; a longer batch is an error
)
