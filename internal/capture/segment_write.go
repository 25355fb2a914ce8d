package capture

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// writtenBlockSize is the uncompressed size in bytes at which WriteSegment ends a block. It is small, so that a damaged block
// loses few records.
const writtenBlockSize = 8 << 10

// segmentMode is the permission mode of segment files.
const segmentMode = 0o640

// WriteSegment writes a segment that is derived from another one. The segment has the meta, the snapshot, and the records that
// forEach passes to add. The file must not exist. If WriteSegment returns an error, it has not created the file.
func WriteSegment(path string, meta Meta, snapshot []byte, forEach func(add func(*Record)) error) error {
	text, err := json.Marshal(meta)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	segment := appendBlock(appendPreamble(nil), meta.header(blockMeta), text)
	segment = appendBlock(segment, meta.header(blockSnapshot), snapshot)
	records := blockBuilder{meta: &meta, segment: segment, header: meta.header(blockRecords), lastEvent: meta.ModuleTime, nextRecord: meta.FirstRecord}
	if err := forEach(records.add); err != nil {
		return err
	}
	if len(records.content) > 0 {
		records.endBlock()
	}
	segment = appendBlock(records.segment, blockHeader{kind: blockEnd}, nil)
	if err := createExclusively(path, segment); err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	return nil
}

// blockBuilder packs records into blocks.
type blockBuilder struct {
	meta       *Meta
	segment    []byte // preamble and finished blocks
	header     blockHeader
	content    []byte        // uncompressed records of the current block
	lastEvent  time.Duration // time of the last event
	nextRecord uint64
}

// add appends a record to the current block, and ends the block if it is full.
func (b *blockBuilder) add(r *Record) {
	b.content = appendRecord(b.content, &b.lastEvent, r)
	b.nextRecord++
	if len(b.content) >= writtenBlockSize {
		b.endBlock()
	}
}

// endBlock appends the current block to the segment and starts the next one.
func (b *blockBuilder) endBlock() {
	b.segment = appendBlock(b.segment, b.header, b.content)
	b.content = b.content[:0]
	b.header = blockHeader{
		kind:        blockRecords,
		firstRecord: b.nextRecord,
		baseTime:    b.lastEvent,
		unixTime:    b.meta.UnixTime.Add(b.lastEvent - b.meta.ModuleTime),
	}
}

// createExclusively writes a file under a temporary name and then links it to the path, so that the file is either complete or
// does not exist. It returns an error if the path exists.
func createExclusively(path string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".capture-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	_, err = file.Write(content)
	if err == nil {
		err = file.Chmod(segmentMode)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Link(file.Name(), path) // fails if the path exists
	}
	return err
}
