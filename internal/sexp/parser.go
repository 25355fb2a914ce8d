package sexp

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Pos is a place in a file; lines and columns count from 1, columns in characters.
type Pos struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String is the place as editors read it.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Advance goes behind a character.
func (p *Pos) Advance(r rune) {
	if r == '\n' {
		p.Line, p.Column = p.Line+1, 1
	} else {
		p.Column++
	}
}

// Error is what is wrong at a place.
type Error struct {
	Pos     Pos
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errorf returns an Error for a place.
func Errorf(at Pos, format string, args ...any) error {
	return &Error{at, fmt.Sprintf(format, args...)}
}

// Kind says what a node is.
type Kind uint8

// The kinds of node.
const (
	Atom Kind = iota
	String
	List
)

// Node is an atom, a string or a list.
type Node struct {
	Pos   Pos
	Kind  Kind
	Text  string // factor an atom or a string
	Items []Node // factor a list
}

// Name is the first atom of a list, or "".
func (n Node) Name() string {
	if n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Atom {
		return n.Items[0].Text
	}
	return ""
}

// Args are the values behind the name of a list.
func (n Node) Args() []Node {
	if n.Kind != List || len(n.Items) == 0 {
		return nil
	}
	return n.Items[1:]
}

// String describes the node for messages.
func (n Node) String() string {
	switch {
	case n.Kind == List && n.Name() != "":
		return fmt.Sprintf("(%s ...)", n.Name())
	case n.Kind == List:
		return "a list"
	case n.Kind == String:
		return fmt.Sprintf("%q", n.Text)
	}
	return n.Text
}

// Source is the node as it can be read again.
func (n Node) Source() string {
	if n.Kind != List {
		return Quote(n.Text)
	}
	parts := make([]string, len(n.Items))
	for i, item := range n.Items {
		parts[i] = item.Source()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// maxDepth bounds how deep lists stand in each other.
const maxDepth = 64

// Parse reads the forms of a file.
func Parse(file string, text []byte) ([]Node, error) {
	p := &parser{rest: text, pos: Pos{file, 1, 1}}
	var forms []Node
	for {
		p.skipBlank()
		if len(p.rest) == 0 {
			return forms, nil
		}
		at := p.pos
		n, err := p.parseNode(0)
		if err != nil {
			return nil, err
		}
		if n.Kind != List {
			return nil, Errorf(at, "found %v, want a form in parentheses", n)
		}
		forms = append(forms, n)
	}
}

// parser stands somewhere in a file.
type parser struct {
	rest []byte
	pos  Pos
}

// peek is the next character.
func (p *parser) peek() rune {
	r, _ := utf8.DecodeRune(p.rest)
	return r
}

// next goes behind the next character.
func (p *parser) next() rune {
	r, n := utf8.DecodeRune(p.rest)
	p.rest = p.rest[n:]
	p.pos.Advance(r)
	return r
}

// skipBlank goes behind spaces and comments.
func (p *parser) skipBlank() {
	for len(p.rest) > 0 {
		switch p.peek() {
		case ';':
			for len(p.rest) > 0 && p.peek() != '\n' {
				p.next()
			}
		case ' ', '\t', '\r', '\n':
			p.next()
		default:
			return
		}
	}
}

// parseNode reads one node; something stands here.
func (p *parser) parseNode(depth int) (Node, error) {
	at := p.pos
	switch p.peek() {
	case '(':
		return p.parseList(depth)
	case ')':
		return Node{}, Errorf(at, "found ) without its (")
	case '"':
		return p.parseString()
	}
	var b strings.Builder
	for len(p.rest) > 0 && !strings.ContainsRune(" \t\r\n();\"", p.peek()) {
		if r, n := utf8.DecodeRune(p.rest); r == utf8.RuneError && n == 1 || r < ' ' || r == 0x7f {
			return Node{}, Errorf(p.pos, "found the byte 0x%02x, want text in UTF-8", p.rest[0])
		}
		b.WriteRune(p.next())
	}
	return Node{Pos: at, Text: b.String()}, nil
}

// parseList reads a list.
func (p *parser) parseList(depth int) (Node, error) {
	n := Node{Pos: p.pos, Kind: List}
	if depth >= maxDepth {
		return n, Errorf(n.Pos, "lists stand over %d deep in each other", maxDepth)
	}
	p.next()
	for {
		p.skipBlank()
		if len(p.rest) == 0 {
			return n, Errorf(n.Pos, "found the end of the file, want the ) of this (")
		}
		if p.peek() == ')' {
			p.next()
			return n, nil
		}
		item, err := p.parseNode(depth + 1)
		if err != nil {
			return n, err
		}
		n.Items = append(n.Items, item)
	}
}

// escapes are what stands behind a backslash, and what it means.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// parseString reads a string.
func (p *parser) parseString() (Node, error) {
	n := Node{Pos: p.pos, Kind: String}
	p.next()
	var b strings.Builder
	for len(p.rest) > 0 {
		at := p.pos
		if r, size := utf8.DecodeRune(p.rest); r == utf8.RuneError && size == 1 {
			return n, Errorf(at, "found the byte 0x%02x, want text in UTF-8", p.rest[0])
		}
		switch r := p.next(); r {
		case '"':
			n.Text = b.String()
			return n, nil
		case '\\':
			if len(p.rest) == 0 {
				return n, Errorf(n.Pos, "found the end of the file, want the \" that ends this string")
			}
			r := p.next()
			meant, ok := escapes[r]
			if !ok {
				return n, Errorf(at, "found \\%c, want \\\", \\\\, \\n or \\t", r)
			}
			b.WriteRune(meant)
		default:
			b.WriteRune(r)
		}
	}
	return n, Errorf(n.Pos, "found the end of the file, want the \" that ends this string")
}
