package capture

import (
	"fmt"
	"time"
)

// Config configures a recorder. All sizes are in bytes.
type Config struct {
	SegmentBytes  int64         // size at which a new segment is started
	SegmentAge    time.Duration // age at which a new segment is started
	MaxBytes      int64         // limit on the total size of all segments in the directory
	BufferBytes   int           // memory for the blocks that are being filled or wait to be written
	FlushInterval time.Duration // age at which a block that is not full is written; checked after each round of events
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		SegmentBytes:  8 << 20,
		SegmentAge:    time.Minute,
		MaxBytes:      256 << 20,
		BufferBytes:   1 << 20,
		FlushInterval: 200 * time.Millisecond,
	}
}

// Limits on the values of a configuration.
const (
	minSegmentBytes = 4 << 10
	minBufferBytes  = minBlocks * minBlockSize
	minBlocks       = 8 // minimum number of blocks into which the buffer is divided
	minBlockSize    = 2 * maxRecordSize
	maxBlockSize    = 64 << 10
)

// minMaxBytes returns the minimum valid MaxBytes: the current segment and the previous one must fit.
func (c Config) minMaxBytes() int64 { return 2 * (c.SegmentBytes + int64(c.BufferBytes)) }

// Validate returns an error for the first invalid value.
func (c Config) Validate() error {
	switch {
	case c.SegmentBytes < minSegmentBytes:
		return fmt.Errorf("capture: segment size is %d bytes, want at least %d", c.SegmentBytes, minSegmentBytes)
	case c.MaxBytes < c.minMaxBytes():
		return fmt.Errorf("capture: limit on all segments is %d bytes, want at least %d: twice the segment size and the buffer size",
			c.MaxBytes, c.minMaxBytes())
	case c.BufferBytes < minBufferBytes:
		return fmt.Errorf("capture: buffer size is %d bytes, want at least %d", c.BufferBytes, minBufferBytes)
	case c.SegmentAge <= 0 || c.FlushInterval <= 0:
		return fmt.Errorf("capture: segment age is %v and flush interval is %v, want both to be more than 0", c.SegmentAge, c.FlushInterval)
	}
	return nil
}

// blockSize returns the size of the blocks into which the buffer is divided.
func (c Config) blockSize() int { return min(maxBlockSize, c.BufferBytes/minBlocks) }
