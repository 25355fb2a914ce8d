package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"
)

// fileExtension is what the name of a scenario's file ends in.
const fileExtension = ".sexp"

//go:embed scenarios/*.sexp
var libraryFiles embed.FS

// Library returns the built-in scenarios, in the order of their files' names.
func Library() ([]*Scenario, error) {
	files, err := fs.Glob(libraryFiles, "scenarios/*"+fileExtension)
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

// Find returns the built-in scenario of a name, or the scenario of a file if the name ends in .sexp.
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
	return nil, fmt.Errorf("rehearsal: no scenario %q; `cataloguectl scenario list` names them, and a file ends in .sexp", name)
}
