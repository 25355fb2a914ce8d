package sexp

import (
	"strings"
	"unicode/utf8"
)

// maxDepth bounds the nesting of lists and of includes.
const maxDepth = 64

// delimiters are the characters that end an atom.
const delimiters = " \t\r\n();\""

// Parse parses the forms of a file. Errors are of type *Error.
func Parse(file string, text []byte) ([]Node, error) {
	p := &parser{rest: text, pos: Pos{file, 1, 1}}
	var forms []Node
	for {
		p.skipBlank()
		if len(p.rest) == 0 {
			return forms, nil
		}
		form, err := p.parseNode(0)
		if err != nil {
			return nil, err
		}
		if form.Kind != List {
			return nil, Errorf(form.Pos, "found %v, want a form in parentheses", form)
		}
		forms = append(forms, form)
	}
}

// parser is a position in a file and the text from there on.
type parser struct {
	rest []byte
	pos  Pos
}

// peek returns the next character.
func (p *parser) peek() rune {
	r, _ := utf8.DecodeRune(p.rest)
	return r
}

// next consumes and returns the next character.
func (p *parser) next() rune {
	r, size := utf8.DecodeRune(p.rest)
	p.rest = p.rest[size:]
	p.pos.Advance(r)
	return r
}

// isInvalidUTF8 reports whether the next byte is no part of a character.
func (p *parser) isInvalidUTF8() bool {
	r, size := utf8.DecodeRune(p.rest)
	return r == utf8.RuneError && size == 1
}

// errNotText reports the next byte.
func (p *parser) errNotText() error {
	return Errorf(p.pos, "found the byte 0x%02x, want text in UTF-8", p.rest[0])
}

// skipBlank consumes spaces and comments.
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

// parseNode parses one node; the text must not be at its end.
func (p *parser) parseNode(depth int) (Node, error) {
	switch p.peek() {
	case '(':
		return p.parseList(depth)
	case ')':
		return Node{}, Errorf(p.pos, "found ) without its (")
	case '"':
		return p.parseString()
	}
	return p.parseAtom()
}

// parseAtom parses an atom.
func (p *parser) parseAtom() (Node, error) {
	atom := Node{Pos: p.pos, Kind: Atom}
	var text strings.Builder
	for len(p.rest) > 0 && !strings.ContainsRune(delimiters, p.peek()) {
		if r := p.peek(); p.isInvalidUTF8() || r < ' ' || r == del {
			return Node{}, p.errNotText()
		}
		text.WriteRune(p.next())
	}
	atom.Text = text.String()
	return atom, nil
}

// parseList parses a list.
func (p *parser) parseList(depth int) (Node, error) {
	list := Node{Pos: p.pos, Kind: List}
	if depth >= maxDepth {
		return list, Errorf(list.Pos, "lists stand over %d deep in each other", maxDepth)
	}
	p.next()
	for {
		p.skipBlank()
		if len(p.rest) == 0 {
			return list, Errorf(list.Pos, "found the end of the file, want the ) of this (")
		}
		if p.peek() == ')' {
			p.next()
			return list, nil
		}
		item, err := p.parseNode(depth + 1)
		if err != nil {
			return list, err
		}
		list.Items = append(list.Items, item)
	}
}

// escapes maps the character behind a backslash to the one that it means.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// parseString parses a string.
func (p *parser) parseString() (Node, error) {
	str := Node{Pos: p.pos, Kind: String}
	errUnterminated := Errorf(str.Pos, "found the end of the file, want the \" that ends this string")
	p.next()
	var text strings.Builder
	for len(p.rest) > 0 {
		if p.isInvalidUTF8() {
			return str, p.errNotText()
		}
		pos := p.pos
		switch r := p.next(); r {
		case '"':
			str.Text = text.String()
			return str, nil
		case '\\':
			if len(p.rest) == 0 {
				return str, errUnterminated
			}
			escaped := p.next()
			meant, ok := escapes[escaped]
			if !ok {
				return str, Errorf(pos, "found \\%c, want \\\", \\\\, \\n or \\t", escaped)
			}
			text.WriteRune(meant)
		default:
			text.WriteRune(r)
		}
	}
	return str, errUnterminated
}
