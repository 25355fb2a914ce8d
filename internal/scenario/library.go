package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"
)

//go:embed scenarios/*.sexp
var libraryFiles embed.FS

// Library are the scenarios that ship with the kit, by name.
func Library() ([]*Scenario, error) {
	files, err := fs.Glob(libraryFiles, "scenarios/*.sexp")
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	var list []*Scenario
	for _, file := range files {
		text, err := libraryFiles.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("rehearsal: %w", err)
		}
		s, err := Parse(path.Base(file), text)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// Find is the scenario of a name in the library, or in a file where the name is one of a file.
func Find(name string) (*Scenario, error) {
	if strings.HasSuffix(name, ".sexp") {
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
	return nil, fmt.Errorf("rehearsal: no scenario %q; `cataloguectl rehearse list` names them, and a file ends in .sexp", name)
}
