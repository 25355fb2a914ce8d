package nginx

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"strings"
)

// FileReader reads files and finds the files that match a pattern.
type FileReader interface {
	Read(name string) ([]byte, error)
	Glob(pattern string) ([]string, error)
}

// FSReader reads the files of a file system, such as os.DirFS("/"), by absolute names.
type FSReader struct{ fs.FS }

// Read implements FileReader.
func (r FSReader) Read(name string) ([]byte, error) {
	text, err := fs.ReadFile(r.FS, relativeToRoot(name))
	var pathError *fs.PathError
	if errors.As(err, &pathError) { // its path lacks the leading slash
		return nil, fmt.Errorf("%s: %w", name, pathError.Err)
	}
	return text, err
}

// Glob implements FileReader.
func (r FSReader) Glob(pattern string) ([]string, error) {
	names, err := fs.Glob(r.FS, relativeToRoot(pattern))
	if path.IsAbs(pattern) {
		for i := range names {
			names[i] = "/" + names[i]
		}
	}
	return names, err
}

// relativeToRoot converts a name to the form that fs.FS requires: clean and without a leading slash.
func relativeToRoot(name string) string { return strings.TrimPrefix(path.Clean(name), "/") }
