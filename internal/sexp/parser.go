package sexp

import (
	"strings"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of lists, and of includes.
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

// parser parses the text of one file.
type parser struct {
	rest []byte // the text that has not been parsed yet
	pos  Pos    // the position at which rest begins
}

// peek returns the next character without consuming it.
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

// isInvalidUTF8 reports whether the next byte does not begin a valid UTF-8 character.
func (p *parser) isInvalidUTF8() bool {
	r, size := utf8.DecodeRune(p.rest)
	return r == utf8.RuneError && size == 1
}

// errNotText returns an error for the next byte, which is not text.
func (p *parser) errNotText() error {
	return Errorf(p.pos, "found the byte 0x%02x, want text in UTF-8", p.rest[0])
}

// skipBlank consumes white space and comments.
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

// parseNode parses one node. depth is the number of lists that contain the node. rest must not be empty.
func (p *parser) parseNode(depth int) (Node, error) {
	switch p.peek() {
	case '(':
		return p.parseList(depth)
	case ')':
		return Node{}, Errorf(p.pos, "found ) without a matching (")
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

// parseList parses a list. depth is the number of lists that contain it.
func (p *parser) parseList(depth int) (Node, error) {
	list := Node{Pos: p.pos, Kind: List}
	if depth >= maxDepth {
		return list, Errorf(list.Pos, "lists are nested more than %d deep", maxDepth)
	}
	p.next()
	for {
		p.skipBlank()
		if len(p.rest) == 0 {
			return list, Errorf(list.Pos, "found the end of the file, want the ) that closes this list")
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

// escapes maps the character after a backslash to the character that the escape sequence represents.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// parseString parses a string.
func (p *parser) parseString() (Node, error) {
	str := Node{Pos: p.pos, Kind: String}
	errUnterminated := Errorf(str.Pos, "found the end of the file, want the \" that closes this string")
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
			unescaped, ok := escapes[escaped]
			if !ok {
				return str, Errorf(pos, "found \\%c, want \\\", \\\\, \\n or \\t", escaped)
			}
			text.WriteRune(unescaped)
		default:
			text.WriteRune(r)
		}
	}
	return str, errUnterminated
}
