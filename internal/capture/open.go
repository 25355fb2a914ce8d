package capture

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// UnreadableFile is a file that has a segment's name and cannot be read as one.
type UnreadableFile struct {
	Path string
	Err  error
}

// ReadSegment reads one file, as Parse does.
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

// Open reads a capture: a directory's segments in their order, or one file. Files of the directory that cannot be read are
// returned apart; an error means that there is nothing to read.
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
		return nil, nil, fmt.Errorf("%w: no *%s in %s", ErrNotCapture, segmentSuffix, path)
	}
	return segments, unreadable, nil
}

// segmentFiles returns the names of a directory's segments in order. Unlike listSegments it takes any name with the suffix,
// such as those of excerpts.
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
