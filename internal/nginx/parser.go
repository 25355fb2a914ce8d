package nginx

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"tillerusher/internal/sexp"
)

// Directive is one directive with its block.
type Directive struct {
	Pos      sexp.Pos
	Name     string
	Args     []Word
	Block    []*Directive // nil where it has none
	HasBlock bool         // it has a block, though that may be empty
}

// Arg is the text of an argument, or "".
func (d *Directive) Arg(i int) string {
	if i < len(d.Args) {
		return d.Args[i].Text
	}
	return ""
}

// ArgTexts are the arguments' texts.
func (d *Directive) ArgTexts() []string {
	list := make([]string, len(d.Args))
	for i, a := range d.Args {
		list[i] = a.Text
	}
	return list
}

// String is the directive in one line.
func (d *Directive) String() string {
	text := strings.Join(append([]string{d.Name}, d.ArgTexts()...), " ")
	if d.HasBlock {
		text += " {...}"
	}
	return text
}

// maxDepth bounds blocks and includes in each other.
const maxDepth = 64

// FileReader reads the text of files and lists those that a pattern stands for; tests have one in memory.
type FileReader interface {
	Read(name string) ([]byte, error)
	Glob(pattern string) ([]string, error)
}

// Parse reads a file and all that it includes. Names of included files are relative to the directory of the first
// file, as nginx's are to that of its configuration.
func Parse(files FileReader, name string) ([]*Directive, error) {
	p := &parser{files: files, root: path.Dir(filepath.ToSlash(name))}
	return p.parseFile(name, sexp.Pos{}, nil)
}

// parser reads files.
type parser struct {
	files FileReader
	root  string
}

// parseFile reads one file; chain is the files that led to it.
func (p *parser) parseFile(name string, from sexp.Pos, chain []string) ([]*Directive, error) {
	clean := path.Clean(filepath.ToSlash(name))
	if slices.Contains(chain, clean) {
		return nil, sexp.Errorf(from, "the includes go round: %s", strings.Join(append(chain, clean), " -> "))
	}
	if len(chain) >= maxDepth {
		return nil, sexp.Errorf(from, "includes stand over %d deep in each other", maxDepth)
	}
	text, err := p.files.Read(name)
	if err != nil {
		if from.File == "" {
			return nil, err
		}
		return nil, sexp.Errorf(from, "include %s: %v", name, err)
	}
	l := &lexer{rest: string(text), pos: sexp.Pos{File: name, Line: 1, Column: 1}}
	list, err := p.parseBlock(l, sexp.Pos{}, append(slices.Clone(chain), clean), 0)
	return list, err
}

// parseBlock reads directives up to the brace that closes the block opened at the place, or to the end of the file.
func (p *parser) parseBlock(l *lexer, opened sexp.Pos, chain []string, depth int) ([]*Directive, error) {
	list := []*Directive{}
	if depth > maxDepth {
		return nil, sexp.Errorf(opened, "blocks stand over %d deep in each other", maxDepth)
	}
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch {
		case t.kind == tokenEOF && opened.File == "":
			return list, nil
		case t.kind == tokenEOF:
			return nil, sexp.Errorf(opened, "found the end of the file, want the \"}\" of this block")
		case t.kind == tokenClose && opened.File != "":
			return list, nil
		case t.kind != tokenWord:
			return nil, sexp.Errorf(t.Pos, "found %v, want a directive", t.kind)
		}
		d, err := p.parseDirective(l, t, chain, depth)
		if err != nil {
			return nil, err
		}
		if d.Name != "include" {
			list = append(list, d)
			continue
		}
		included, err := p.include(d, chain)
		if err != nil {
			return nil, err
		}
		list = append(list, included...)
	}
}

// parseDirective reads the rest of one.
func (p *parser) parseDirective(l *lexer, name token, chain []string, depth int) (*Directive, error) {
	d := &Directive{Pos: name.Pos, Name: name.Text}
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case tokenWord:
			d.Args = append(d.Args, t.Word)
		case tokenSemicolon:
			return d, nil
		case tokenOpen:
			d.HasBlock = true
			d.Block, err = p.parseBlock(l, t.Pos, chain, depth+1)
			return d, err
		default:
			return nil, sexp.Errorf(t.Pos, "found %v, want the \";\" or \"{\" of %s", t.kind, d.Name)
		}
	}
}

// include reads the files that an include stands for. A pattern may stand for none, a name must be there.
func (p *parser) include(d *Directive, chain []string) ([]*Directive, error) {
	if len(d.Args) != 1 || d.HasBlock {
		return nil, sexp.Errorf(d.Pos, "include has %d arguments, want one", len(d.Args))
	}
	name := d.Arg(0)
	if !path.IsAbs(name) {
		name = path.Join(p.root, name)
	}
	names := []string{name}
	if strings.ContainsAny(name, "*?[") {
		var err error
		if names, err = p.files.Glob(name); err != nil {
			return nil, sexp.Errorf(d.Pos, "include %s: %v", d.Arg(0), err)
		}
		slices.Sort(names)
	}
	var list []*Directive
	for _, name := range names {
		included, err := p.parseFile(name, d.Pos, chain)
		if err != nil {
			return nil, err
		}
		list = append(list, included...)
	}
	return list, nil
}

// FSReader reads the files of a file system, such as os.DirFS("/"), by names from its root.
type FSReader struct{ fs.FS }

// relativeToRoot is a name as the file system wants it.
func relativeToRoot(name string) string { return strings.TrimPrefix(path.Clean(name), "/") }

// Read implements Reader.
func (d FSReader) Read(name string) ([]byte, error) {
	b, err := fs.ReadFile(d.FS, relativeToRoot(name))
	var pe *fs.PathError
	if errors.As(err, &pe) {
		return nil, fmt.Errorf("%s: %w", name, pe.Err)
	}
	return b, err
}

// Glob implements Reader.
func (d FSReader) Glob(pattern string) ([]string, error) {
	names, err := fs.Glob(d.FS, relativeToRoot(pattern))
	for i := range names {
		if path.IsAbs(pattern) {
			names[i] = "/" + names[i]
		}
	}
	return names, err
}
