package capture

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// writtenBlockSize is the size of the blocks that WriteSegment makes: small, so that little is lost where one is damaged.
const writtenBlockSize = 8 << 10

// segmentMode is the mode of segment files.
const segmentMode = 0o640

// WriteSegment writes a segment that is made from another: its meta, its snapshot, and the records that forEach passes to its
// function. The file must not exist; after an error none is left.
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
	segment    []byte // with all blocks that ended
	header     blockHeader
	content    []byte // of the block that is being filled
	lastEvent  time.Duration
	nextRecord uint64
}

// add adds a record, and ends the block where it is full.
func (b *blockBuilder) add(r *Record) {
	b.content = appendRecord(b.content, &b.lastEvent, r)
	b.nextRecord++
	if len(b.content) >= writtenBlockSize {
		b.endBlock()
	}
}

// endBlock adds the block to the segment and begins another.
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

// createExclusively writes a file under a temporary name and links it, so that it is there whole or not at all.
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
		err = os.Link(file.Name(), path) // fails where the file exists
	}
	return err
}
