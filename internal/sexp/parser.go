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
	Text  string // of an atom or a string
	Items []Node // of a list
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
	p := &parser{text: text, at: Pos{file, 1, 1}}
	var forms []Node
	for {
		p.blank()
		if len(p.text) == 0 {
			return forms, nil
		}
		at := p.at
		n, err := p.node(0)
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
	text []byte
	at   Pos
}

// peek is the next character.
func (p *parser) peek() rune {
	r, _ := utf8.DecodeRune(p.text)
	return r
}

// step goes behind the next character.
func (p *parser) step() rune {
	r, n := utf8.DecodeRune(p.text)
	p.text = p.text[n:]
	p.at.Advance(r)
	return r
}

// blank goes behind spaces and comments.
func (p *parser) blank() {
	for len(p.text) > 0 {
		switch p.peek() {
		case ';':
			for len(p.text) > 0 && p.peek() != '\n' {
				p.step()
			}
		case ' ', '\t', '\r', '\n':
			p.step()
		default:
			return
		}
	}
}

// node reads one node; something stands here.
func (p *parser) node(depth int) (Node, error) {
	at := p.at
	switch p.peek() {
	case '(':
		return p.list(depth)
	case ')':
		return Node{}, Errorf(at, "found ) without its (")
	case '"':
		return p.str()
	}
	var b strings.Builder
	for len(p.text) > 0 && !strings.ContainsRune(" \t\r\n();\"", p.peek()) {
		if r, n := utf8.DecodeRune(p.text); r == utf8.RuneError && n == 1 || r < ' ' || r == 0x7f {
			return Node{}, Errorf(p.at, "found the byte 0x%02x, want text in UTF-8", p.text[0])
		}
		b.WriteRune(p.step())
	}
	return Node{Pos: at, Text: b.String()}, nil
}

// list reads a list.
func (p *parser) list(depth int) (Node, error) {
	n := Node{Pos: p.at, Kind: List}
	if depth >= maxDepth {
		return n, Errorf(n.Pos, "lists stand over %d deep in each other", maxDepth)
	}
	p.step()
	for {
		p.blank()
		if len(p.text) == 0 {
			return n, Errorf(n.Pos, "found the end of the file, want the ) of this (")
		}
		if p.peek() == ')' {
			p.step()
			return n, nil
		}
		item, err := p.node(depth + 1)
		if err != nil {
			return n, err
		}
		n.Items = append(n.Items, item)
	}
}

// escapes are what stands behind a backslash, and what it means.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// str reads a string.
func (p *parser) str() (Node, error) {
	n := Node{Pos: p.at, Kind: String}
	p.step()
	var b strings.Builder
	for len(p.text) > 0 {
		at := p.at
		if r, size := utf8.DecodeRune(p.text); r == utf8.RuneError && size == 1 {
			return n, Errorf(at, "found the byte 0x%02x, want text in UTF-8", p.text[0])
		}
		switch r := p.step(); r {
		case '"':
			n.Text = b.String()
			return n, nil
		case '\\':
			if len(p.text) == 0 {
				return n, Errorf(n.Pos, "found the end of the file, want the \" that ends this string")
			}
			r := p.step()
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
