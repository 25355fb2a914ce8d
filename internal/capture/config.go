package capture

import (
	"fmt"
	"time"
)

// Config is how a recorder writes. All sizes are in bytes.
type Config struct {
	SegmentBytes  int64         // size at which a new segment is begun
	SegmentAge    time.Duration // age at which a new segment is begun
	MaxBytes      int64         // of all segments of the directory together
	BufferBytes   int           // of blocks that wait for the disk
	FlushInterval time.Duration // longest time that a record waits to be written, while events come
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		SegmentBytes:  8 << 20,
		SegmentAge:    time.Minute,
		MaxBytes:      256 << 20,
		BufferBytes:   1 << 20,
		FlushInterval: 200 * time.Millisecond,
	}
}

// Bounds of a configuration.
const (
	minSegmentBytes = 4 << 10
	minBufferBytes  = minBlocks * minBlockSize
	minBlocks       = 8 // into which the buffer is divided
	minBlockSize    = 2 * maxRecordSize
	maxBlockSize    = 64 << 10
)

// minMaxBytes returns the least MaxBytes: the segment that is written and the one before it must fit.
func (c Config) minMaxBytes() int64 { return 2 * (c.SegmentBytes + int64(c.BufferBytes)) }

// Validate reports the first invalid value.
func (c Config) Validate() error {
	switch {
	case c.SegmentBytes < minSegmentBytes:
		return fmt.Errorf("capture: a segment of %d bytes, want at least %d", c.SegmentBytes, minSegmentBytes)
	case c.MaxBytes < c.minMaxBytes():
		return fmt.Errorf("capture: %d bytes are kept, want at least twice a segment and the memory, %d", c.MaxBytes, c.minMaxBytes())
	case c.BufferBytes < minBufferBytes:
		return fmt.Errorf("capture: %d bytes of memory, want at least %d", c.BufferBytes, minBufferBytes)
	case c.SegmentAge <= 0 || c.FlushInterval <= 0:
		return fmt.Errorf("capture: age %v and flush %v, want more than 0", c.SegmentAge, c.FlushInterval)
	}
	return nil
}

// blockSize returns the size of the blocks into which the buffer is divided.
func (c Config) blockSize() int { return min(maxBlockSize, c.BufferBytes/minBlocks) }
