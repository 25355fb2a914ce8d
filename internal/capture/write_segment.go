package capture

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// writtenBlockSize is the size of the blocks of written pieces: small, so that little is lost where one is damaged.
const writtenBlockSize = 8 << 10

// WriteSegment writes a segment that is made from another: its description, its state and the records that each hands
// to its function. The file must not exist yet; where anything fails, none is left.
func WriteSegment(path string, m Meta, snapshot []byte, each func(add func(*Record)) error) (err error) {
	text, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	b := appendBlock(appendPreamble(nil), blockHeader{kind: blockMeta, firstRecord: m.FirstRecord, baseTime: m.ModuleTime, unixTime: m.UnixTime}, text)
	b = appendBlock(b, blockHeader{kind: blockSnapshot, firstRecord: m.FirstRecord, baseTime: m.ModuleTime, unixTime: m.UnixTime}, snapshot)
	last, number := m.ModuleTime, m.FirstRecord
	var content []byte
	h := blockHeader{kind: blockRecords, firstRecord: number, baseTime: last, unixTime: m.UnixTime}
	err = each(func(r *Record) {
		content = appendRecord(content, &last, r)
		number++
		if len(content) >= writtenBlockSize {
			b = appendBlock(b, h, content)
			content = content[:0]
			h = blockHeader{kind: blockRecords, firstRecord: number, baseTime: last, unixTime: m.UnixTime.Add(last - m.ModuleTime)}
		}
	})
	if err != nil {
		return err
	}
	if len(content) > 0 {
		b = appendBlock(b, h, content)
	}
	b = appendBlock(b, blockHeader{kind: blockEnd}, nil)
	f, err := os.CreateTemp(filepath.Dir(path), ".capture-*")
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b)
	if err == nil {
		err = f.Chmod(0o640) // as segments have it
	}
	if end := f.Close(); err == nil {
		err = end
	}
	if err == nil {
		err = os.Link(f.Name(), path) // fails where the file exists
	}
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	return nil
}
