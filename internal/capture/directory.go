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

// Directory stores segment files. Tests replace it by one that is full, stalls or fails.
type Directory interface {
	// Create creates a file. If the file exists, it returns an error that wraps fs.ErrExist.
	Create(name string) (io.WriteCloser, error)
	// List returns the names and sizes of all files.
	List() (map[string]int64, error)
	// Remove deletes a file. If the file does not exist, it returns an error that wraps fs.ErrNotExist.
	Remove(name string) error
}

// directoryPath is the path of a directory in the file system.
type directoryPath string

// OpenDirectory returns the directory at the path in the file system. It creates the directory if it does not exist.
func OpenDirectory(path string) (Directory, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return directoryPath(path), nil
}

// Create implements Directory.
func (d directoryPath) Create(name string) (io.WriteCloser, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, segmentMode)
}

// List implements Directory.
func (d directoryPath) List() (map[string]int64, error) {
	dir, err := os.Open(string(d))
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
		info, err := os.Lstat(filepath.Join(string(d), name))
		switch {
		case errors.Is(err, fs.ErrNotExist): // removed after its name was read
		case err != nil:
			return nil, err
		case info.Mode().IsRegular():
			sizes[name] = info.Size()
		}
	}
	return sizes, nil
}

// Remove implements Directory.
func (d directoryPath) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// segmentSuffix is the suffix of segment file names.
const segmentSuffix = ".capture"

// minSegmentDigits is the minimum number of digits in the name of a segment file. Smaller numbers have leading zeros.
const minSegmentDigits = 10

// segmentName returns the name of the segment file with the number.
func segmentName(number int) string {
	return fmt.Sprintf("%0*d%s", minSegmentDigits, number, segmentSuffix)
}

// segmentNumber is the inverse of segmentName; ok reports whether name is the name of a segment file.
func segmentNumber(name string) (number int, ok bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) < minSegmentDigits {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number > 0
}

// listSegments returns the sizes of a directory's segment files by number, and the numbers in ascending order.
func listSegments(directory Directory) (sizes map[int]int64, numbers []int, err error) {
	files, err := directory.List()
	if err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	sizes = map[int]int64{}
	for name, size := range files {
		if number, ok := segmentNumber(name); ok {
			sizes[number] = size
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return sizes, numbers, nil
}
