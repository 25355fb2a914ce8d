package sexp

import (
	"path/filepath"
	"slices"
	"strings"
)

// ParseFiles parses a file and the files that it includes. It replaces (include PATTERN) by the forms of the files that
// match the pattern, in the order of their names. A pattern without wildcards must name an existing file. Patterns are
// relative to the directory of the file that contains the include.
func ParseFiles(path string, read func(string) ([]byte, error), glob func(string) ([]string, error)) ([]Node, error) {
	in := includer{read: read, glob: glob}
	return in.parseFile(path, nil, Pos{})
}

// includer parses files and the files that they include.
type includer struct {
	read func(path string) ([]byte, error)
	glob func(pattern string) ([]string, error)
}

// parseFile parses one file. chain lists the files from the first one to the file that includes this one, and
// includedAt is the position of that include; both are empty for the first file.
func (in *includer) parseFile(path string, chain []string, includedAt Pos) ([]Node, error) {
	path = filepath.Clean(path)
	if slices.Contains(chain, path) {
		return nil, Errorf(includedAt, "include cycle: %s", strings.Join(append(chain, path), " -> "))
	}
	if len(chain) >= maxDepth {
		return nil, Errorf(includedAt, "include chain has more than %d files", maxDepth)
	}
	text, err := in.read(path)
	if err != nil {
		if len(chain) == 0 {
			return nil, err
		}
		return nil, Errorf(includedAt, "%v", err)
	}
	forms, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	chain = append(slices.Clone(chain), path)
	var all []Node
	for _, form := range forms {
		if form.Name() != "include" {
			all = append(all, form)
			continue
		}
		included, err := in.parseInclude(form, chain)
		if err != nil {
			return nil, err
		}
		all = append(all, included...)
	}
	return all, nil
}

// parseInclude parses the files that an (include ...) names. form is in the last file of the chain.
func (in *includer) parseInclude(form Node, chain []string) ([]Node, error) {
	files, err := in.includedFiles(form, filepath.Dir(chain[len(chain)-1]))
	if err != nil {
		return nil, err
	}
	var all []Node
	for _, file := range files {
		forms, err := in.parseFile(file, chain, form.Pos)
		if err != nil {
			return nil, err
		}
		all = append(all, forms...)
	}
	return all, nil
}

// includedFiles returns the paths of the files that an (include ...) names. dir is the directory of the including file.
func (in *includer) includedFiles(form Node, dir string) ([]string, error) {
	pattern, err := form.WordAt(1, "a file or a pattern")
	if err != nil {
		return nil, err
	}
	if len(form.Items) > 2 {
		return nil, Errorf(form.Pos, "(include ...) has %d values, want one", len(form.Items)-1)
	}
	if !filepath.IsAbs(pattern) {
		pattern = filepath.Join(dir, pattern)
	}
	if !strings.ContainsAny(pattern, "*?[") {
		return []string{pattern}, nil
	}
	files, err := in.glob(pattern)
	if err != nil {
		return nil, Errorf(form.Pos, "(include %s): %v", pattern, err)
	}
	slices.Sort(files)
	return files, nil
}
