package capture

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Directory is the folder that segments are written to. Tests put one in its place that fills, stalls or fails.
type Directory interface {
	// Create makes a file that must not exist yet.
	Create(name string) (io.WriteCloser, error)
	// List returns the names and sizes of all files.
	List() (map[string]int64, error)
	// Remove deletes a file.
	Remove(name string) error
}

// directoryPath is a directory of the file system.
type directoryPath string

// OpenDirectory returns a directory, which is made where it does not exist.
func OpenDirectory(path string) (Directory, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return directoryPath(path), nil
}

// Create implements Files.
func (f directoryPath) Create(name string) (io.WriteCloser, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
}

// List implements Files.
func (f directoryPath) List() (map[string]int64, error) {
	dir, err := os.Open(string(f))
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	sizes := make(map[string]int64, len(names))
	for _, name := range names {
		info, err := os.Lstat(filepath.Join(string(f), name))
		switch {
		case errors.Is(err, fs.ErrNotExist): // removed since
		case err != nil:
			return nil, err
		case info.Mode().IsRegular():
			sizes[name] = info.Size()
		}
	}
	return sizes, nil
}

// Remove implements Files.
func (f directoryPath) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

// segmentSuffix ends the names of segments.
const segmentSuffix = ".capture"

// segmentName is the name of the file with the number.
func segmentName(number int) string { return fmt.Sprintf("%010d%s", number, segmentSuffix) }

// segmentNumber reads the number of a file's name.
func segmentNumber(name string) (int, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) < 10 {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n > 0
}

// listSegments are the segments of a folder by their numbers, and those in order.
func listSegments(f Directory) (sizes map[int]int64, order []int, err error) {
	all, err := f.List()
	if err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	sizes = map[int]int64{}
	for name, size := range all {
		if n, ok := segmentNumber(name); ok {
			sizes[n] = size
			order = append(order, n)
		}
	}
	slices.Sort(order)
	return sizes, order, nil
}
