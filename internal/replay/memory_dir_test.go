package replay

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"tillerusher/internal/capture"
)

// memoryDir is a capture directory in memory.
type memoryDir struct {
	mu    sync.Mutex
	files map[string]*bytes.Buffer
}

// memoryFile is a file of a memoryDir that is being written.
type memoryFile struct {
	dir     *memoryDir
	content *bytes.Buffer
}

func (f memoryFile) Write(p []byte) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	return f.content.Write(p)
}

func (f memoryFile) Close() error { return nil }

func (d *memoryDir) Create(name string) (io.WriteCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = &bytes.Buffer{}
	return memoryFile{d, d.files[name]}, nil
}

func (d *memoryDir) List() (map[string]int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sizes := map[string]int64{}
	for name, content := range d.files {
		sizes[name] = int64(content.Len())
	}
	return sizes, nil
}

func (d *memoryDir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

// segments parses all files in the order of their numbers. It fails the test if one is missing or cannot be parsed.
func (d *memoryDir) segments(t interface{ Fatal(...any) }) []*capture.Segment {
	var segments []*capture.Segment
	for i := range len(d.files) {
		content := d.files[fmt.Sprintf("%010d.capture", i+1)]
		if content == nil {
			t.Fatal("a segment is missing, want numbers from 1 without gaps")
		}
		segment, err := capture.Parse(content.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		segments = append(segments, segment)
	}
	return segments
}
