package nginx

import (
	"path"
	"path/filepath"
	"slices"
	"strings"

	"tillerusher/internal/sexp"
)

// Directive is a directive with its arguments and its block.
type Directive struct {
	Pos      sexp.Pos
	Name     string
	Args     []Word
	Block    []*Directive
	HasBlock bool // also true for an empty block
}

// Arg returns the text of argument i, counted from 0, or "" if the directive has fewer arguments. i must not be
// negative.
func (d *Directive) Arg(i int) string {
	if i < len(d.Args) {
		return d.Args[i].Text
	}
	return ""
}

// ArgTexts returns the texts of all arguments.
func (d *Directive) ArgTexts() []string {
	texts := make([]string, len(d.Args))
	for i, arg := range d.Args {
		texts[i] = arg.Text
	}
	return texts
}

// String returns the directive as one line, with {...} in place of the contents of its block.
func (d *Directive) String() string {
	text := strings.Join(append([]string{d.Name}, d.ArgTexts()...), " ")
	if d.HasBlock {
		text += " {...}"
	}
	return text
}

// errorf returns an error at the position of a directive.
func (d *Directive) errorf(format string, args ...any) error {
	return sexp.Errorf(d.Pos, format, args...)
}

// maxDepth is the maximum nesting depth of blocks, and of includes.
const maxDepth = 64

// Parse reads a file and the files that it includes. Names of included files are relative to the directory of the first
// file, as in nginx they are relative to the directory of nginx.conf.
func Parse(files FileReader, name string) ([]*Directive, error) {
	p := &parser{files: files, baseDir: path.Dir(filepath.ToSlash(name))}
	return p.parseFile(name, sexp.Pos{}, nil)
}

// parser parses a file and the files that it includes.
type parser struct {
	files   FileReader
	baseDir string // the directory to which the names of included files are relative
}

// parseFile reads one file. includedAt is the position of the include directive that names it, or zero for the first
// file. chain lists the files from the first one to the file with that directive.
func (p *parser) parseFile(name string, includedAt sexp.Pos, chain []string) ([]*Directive, error) {
	clean := path.Clean(filepath.ToSlash(name))
	if slices.Contains(chain, clean) {
		return nil, sexp.Errorf(includedAt, "include cycle: %s", strings.Join(append(chain, clean), " -> "))
	}
	if len(chain) >= maxDepth {
		return nil, sexp.Errorf(includedAt, "include chain has more than %d files", maxDepth)
	}
	text, err := p.files.Read(name)
	if err != nil {
		if includedAt.File == "" {
			return nil, err
		}
		return nil, sexp.Errorf(includedAt, "include %s: %v", name, err)
	}
	tokens := &lexer{rest: string(text), pos: sexp.Pos{File: name, Line: 1, Column: 1}}
	return p.parseBlock(tokens, sexp.Pos{}, append(slices.Clone(chain), clean), 0)
}

// parseBlock reads directives up to the brace that closes the block. opened is the position of the opening brace; if it
// is zero, parseBlock reads up to the end of the file.
func (p *parser) parseBlock(tokens *lexer, opened sexp.Pos, chain []string, depth int) ([]*Directive, error) {
	if depth > maxDepth {
		return nil, sexp.Errorf(opened, "blocks are nested more than %d deep", maxDepth)
	}
	directives := []*Directive{}
	isFile := opened.File == ""
	for {
		next, err := tokens.next()
		if err != nil {
			return nil, err
		}
		switch {
		case next.kind == tokenEOF && isFile:
			return directives, nil
		case next.kind == tokenEOF:
			return nil, sexp.Errorf(opened, "found the end of the file, want the \"}\" that closes this block")
		case next.kind == tokenClose && !isFile:
			return directives, nil
		case next.kind != tokenWord:
			return nil, sexp.Errorf(next.Pos, "found %v, want a directive", next.kind)
		}
		directive, err := p.parseDirective(tokens, next, chain, depth)
		if err != nil {
			return nil, err
		}
		if directive.Name != "include" {
			directives = append(directives, directive)
			continue
		}
		included, err := p.include(directive, chain)
		if err != nil {
			return nil, err
		}
		directives = append(directives, included...)
	}
}

// parseDirective reads the part of a directive after its name.
func (p *parser) parseDirective(tokens *lexer, name token, chain []string, depth int) (*Directive, error) {
	directive := &Directive{Pos: name.Pos, Name: name.Text}
	for {
		next, err := tokens.next()
		if err != nil {
			return nil, err
		}
		switch next.kind {
		case tokenWord:
			directive.Args = append(directive.Args, next.Word)
		case tokenSemicolon:
			return directive, nil
		case tokenOpen:
			directive.HasBlock = true
			directive.Block, err = p.parseBlock(tokens, next.Pos, chain, depth+1)
			return directive, err
		default:
			return nil, sexp.Errorf(next.Pos, "found %v, want an argument, \";\" or \"{\" in directive %s", next.kind, directive.Name)
		}
	}
}

// include reads the files that an include directive names. A pattern may match no files; a file that is named without
// wildcards must exist.
func (p *parser) include(directive *Directive, chain []string) ([]*Directive, error) {
	if len(directive.Args) != 1 || directive.HasBlock {
		return nil, sexp.Errorf(directive.Pos, "include has %d arguments, want one and no block", len(directive.Args))
	}
	pattern := directive.Arg(0)
	if !path.IsAbs(pattern) {
		pattern = path.Join(p.baseDir, pattern)
	}
	names := []string{pattern}
	if strings.ContainsAny(pattern, "*?[") {
		var err error
		if names, err = p.files.Glob(pattern); err != nil {
			return nil, sexp.Errorf(directive.Pos, "include %s: %v", directive.Arg(0), err)
		}
		slices.Sort(names)
	}
	var directives []*Directive
	for _, name := range names {
		included, err := p.parseFile(name, directive.Pos, chain)
		if err != nil {
			return nil, err
		}
		directives = append(directives, included...)
	}
	return directives, nil
}
