package simulatorwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// Errors for input that ends within a batch.
var (
	errShortHeader = errors.New("simulatorwire: input ends within a header")
	errShortBatch  = errors.New("simulatorwire: input ends within a batch")
)

// Offsets of the fields in a batch's header.
const (
	offsetBatchTime   = 0
	offsetBatchLength = 8
	offsetBatchCount  = 12
)

// Batch is a decoded batch: the events that occurred at the same time.
type Batch struct {
	Now    time.Duration // the time of the events
	Events []Event
}

// Reader decodes batches from a stream.
type Reader struct {
	in   io.Reader
	body []byte
}

// NewReader returns a Reader of the stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next decodes the next batch into batch. It returns io.EOF if the input ends between batches. The Settings of the
// events are valid until the next call.
func (r *Reader) Next(batch *Batch) error {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errShortHeader
		}
		return err
	}
	now := time.Duration(binary.LittleEndian.Uint64(header[offsetBatchTime:]))
	size := int64(binary.LittleEndian.Uint32(header[offsetBatchLength:])) - countSize
	count := int64(binary.LittleEndian.Uint32(header[offsetBatchCount:]))
	if size < 0 || size > maxBatchSize {
		return fmt.Errorf("simulatorwire: batch length %d, want %d to %d", size+countSize, countSize, maxBatchSize+countSize)
	}
	if count*eventSize > size {
		return fmt.Errorf("simulatorwire: %d records do not fit in %d bytes", count, size)
	}
	if err := r.readBody(size); err != nil {
		return err
	}
	batch.Now = now
	batch.Events = batch.Events[:0]
	tail := r.body[count*eventSize:]
	for i := range count {
		event, err := decodeEvent(r.body[i*eventSize:(i+1)*eventSize], tail)
		if err != nil {
			return fmt.Errorf("simulatorwire: record %d: %w", i, err)
		}
		batch.Events = append(batch.Events, event)
	}
	return nil
}

// readBody reads the records and the tail of a batch, size bytes, into the reused buffer r.body.
func (r *Reader) readBody(size int64) error {
	if int64(cap(r.body)) < size {
		r.body = make([]byte, size)
	}
	r.body = r.body[:size]
	if _, err := io.ReadFull(r.in, r.body); err != nil {
		return errShortBatch
	}
	return nil
}
