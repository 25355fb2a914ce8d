package capture

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// UnreadableFile is a file that has the name of a segment file but cannot be read as a segment.
type UnreadableFile struct {
	Path string
	Err  error
}

// ReadSegment reads and parses a segment file. Damage and errors are those of Parse.
func ReadSegment(path string) (*Segment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.Path = path
	return s, nil
}

// Open reads a capture, which is a directory of segment files or a single one. It returns the segments of a directory in the
// order of their file names, and separately the files that cannot be read. It returns an error if the path cannot be read, has
// no segment files or has a segment of a newer version.
func Open(path string) ([]*Segment, []UnreadableFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	if !info.IsDir() {
		s, err := ReadSegment(path)
		if err != nil {
			return nil, nil, err
		}
		return []*Segment{s}, nil, nil
	}
	names, err := segmentFiles(path)
	if err != nil {
		return nil, nil, err
	}
	var segments []*Segment
	var unreadable []UnreadableFile
	for _, name := range names {
		file := filepath.Join(path, name)
		s, err := ReadSegment(file)
		switch {
		case errors.Is(err, ErrNewerVersion):
			return nil, nil, err
		case err != nil:
			unreadable = append(unreadable, UnreadableFile{file, err})
		default:
			segments = append(segments, s)
		}
	}
	if len(names) == 0 {
		return nil, nil, fmt.Errorf("%w: no *%s files in %s", ErrNotCapture, segmentSuffix, path)
	}
	return segments, unreadable, nil
}

// segmentFiles returns the sorted names of a directory's segment files. Unlike listSegments it accepts any name with the
// suffix, such as the name of an excerpt.
func segmentFiles(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	names := []string{}
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), segmentSuffix) && !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}
