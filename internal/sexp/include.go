package sexp

import (
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// ReadForms reads the forms in a list: those of once at the most once, those of often as often as they come.
func ReadForms(forms []Node, once, often map[string]func(form Node) error) error {
	all := map[string]func(Node) error{}
	for name, read := range once {
		all[name] = read
	}
	for name, read := range often {
		all[name] = read
	}
	first := map[string]Pos{}
	for _, n := range forms {
		name := n.Name()
		if n.Kind != List || name == "" {
			return Errorf(n.Pos, "found %v, want a form such as (%s ...)", n, strings.Join(sortedNames(all), " ...) or ("))
		}
		read, known := all[name]
		if !known {
			return Errorf(n.Pos, "found (%s ...), want %s", name, strings.Join(sortedNames(all), ", "))
		}
		if at, twice := first[name]; twice && once[name] != nil {
			return Errorf(n.Pos, "(%s ...) is given twice, first at %v", name, at)
		}
		first[name] = n.Pos
		if err := read(n); err != nil {
			return err
		}
	}
	return nil
}

// WordAt is the text at a place of a form, where one must stand.
func (n Node) WordAt(i int, what string) (string, error) {
	if i >= len(n.Items) {
		return "", Errorf(n.Pos, "(%s ...) ends early, want %s", n.Name(), what)
	}
	if w := n.Items[i]; w.Kind == List || w.Text == "" {
		return "", Errorf(w.Pos, "found %v in (%s ...), want %s", w, n.Name(), what)
	}
	return n.Items[i].Text, nil
}

// ItemsFrom is what stands in a form from a place on.
func (n Node) ItemsFrom(i int) []Node { return n.Items[min(i, len(n.Items)):] }

// RequireNoArgs complains of values in a form that has none.
func (n Node) RequireNoArgs() error {
	if args := n.Args(); len(args) > 0 {
		return Errorf(args[0].Pos, "found %v, want nothing in (%s)", args[0], n.Name())
	}
	return nil
}

// OneOf returns a function for Fields that reads one of some words into a variable.
func OneOf(to *string, words ...string) func(Node) error {
	return func(form Node) error {
		n, err := singleValue(form, strings.Join(words, ", "))
		if err == nil && !slices.Contains(words, n.Text) {
			err = Errorf(n.Pos, "found %v in (%s ...), want %s", n, form.Name(), strings.Join(words, ", "))
		}
		*to = n.Text
		return err
	}
}

// Number returns a function for Fields that reads one figure without a unit, within bounds.
func Number(to *float64, least, most float64) func(Node) error {
	return func(form Node) error {
		n, err := singleValue(form, "a number")
		if err != nil {
			return err
		}
		v, err := strconv.ParseFloat(n.Text, 64)
		if err != nil || n.Kind != Atom || !(v >= least && v <= most) {
			return Errorf(n.Pos, "found %v in (%s ...), want a number of %v to %v", n, form.Name(), least, most)
		}
		*to = v
		return nil
	}
}

// Int returns a function for Fields that reads one whole number, within bounds.
func Int(to *int, least, most int) func(Node) error {
	return func(form Node) error {
		n, err := singleValue(form, "a whole number")
		if err != nil {
			return err
		}
		v, err := strconv.Atoi(n.Text)
		if err != nil || n.Kind != Atom || v < least || v > most {
			return Errorf(n.Pos, "found %v in (%s ...), want a whole number of %d to %d", n, form.Name(), least, most)
		}
		*to = v
		return nil
	}
}

// Quote writes a text as an atom where it can be one, and else as a string.
func Quote(text string) string {
	if text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r == 0x7f || strings.ContainsRune("();\"", r) || r == 0xfffd
	}) {
		return text
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(text) + `"`
}

// ParseFiles reads a file and all that it includes: (include PATTERN) stands for the forms of the files that the
// pattern matches, in the order of their names; a pattern without stars must match one. Patterns are relative to the
// directory of the file that they stand in.
func ParseFiles(path string, read func(string) ([]byte, error), glob func(string) ([]string, error)) ([]Node, error) {
	return parseIncluded(path, nil, Pos{}, read, glob)
}

func parseIncluded(path string, chain []string, from Pos, read func(string) ([]byte, error), glob func(string) ([]string, error)) ([]Node, error) {
	path = filepath.Clean(path)
	if slices.Contains(chain, path) {
		return nil, Errorf(from, "the includes go round: %s", strings.Join(append(chain, path), " -> "))
	}
	if len(chain) >= maxDepth {
		return nil, Errorf(from, "includes stand over %d deep in each other", maxDepth)
	}
	text, err := read(path)
	if err != nil {
		if from.File == "" {
			return nil, err
		}
		return nil, Errorf(from, "%v", err)
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
		pattern, err := form.WordAt(1, "a file or a pattern")
		if err != nil {
			return nil, err
		}
		if len(form.Items) > 2 {
			return nil, Errorf(form.Pos, "(include ...) has %d values, want one", len(form.Items)-1)
		}
		if !filepath.IsAbs(pattern) {
			pattern = filepath.Join(filepath.Dir(path), pattern)
		}
		files := []string{pattern}
		if strings.ContainsAny(pattern, "*?[") {
			if files, err = glob(pattern); err != nil {
				return nil, Errorf(form.Pos, "(include %s): %v", pattern, err)
			}
			slices.Sort(files)
		}
		for _, f := range files {
			forms, err := parseIncluded(f, chain, form.Pos, read, glob)
			if err != nil {
				return nil, err
			}
			all = append(all, forms...)
		}
	}
	return all, nil
}

// Float is the number that a node is.
func (n Node) Float() (float64, error) {
	v, err := strconv.ParseFloat(n.Text, 64)
	if err != nil || n.Kind != Atom || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, Errorf(n.Pos, "found %v, want a number", n)
	}
	return v, nil
}
