package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"
)

// fileExtension is the extension of scenario files.
const fileExtension = ".sexp"

//go:embed scenarios/*.sexp
var libraryFiles embed.FS

// Library returns the built-in scenarios, sorted by file name.
func Library() ([]*Scenario, error) {
	files, err := fs.Glob(libraryFiles, "scenarios/*"+fileExtension)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	var list []*Scenario
	for _, file := range files {
		text, err := libraryFiles.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		s, err := Parse(path.Base(file), text)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// Find returns the built-in scenario with a name. A name that ends in .sexp is the path of a scenario file, which is loaded.
func Find(name string) (*Scenario, error) {
	if strings.HasSuffix(name, fileExtension) {
		return Load(name)
	}
	list, err := Library()
	if err != nil {
		return nil, err
	}
	for _, s := range list {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, fmt.Errorf("scenario: no scenario %q: want a name from `cataloguectl scenario list`, or the path of a .sexp file", name)
}
