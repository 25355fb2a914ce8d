package nginx

import (
	"strings"
	"unicode/utf8"

	"tillerusher/internal/sexp"
)

// Word is one argument of a directive.
type Word struct {
	Pos    sexp.Pos
	Text   string // with quotes taken off and escapes resolved
	Quoted bool   // it stood in quotes
}

// tokenKind says what a token is.
type tokenKind uint8

const (
	word tokenKind = iota
	open
	shut
	semicolon
	end
)

// names of tokens in messages.
var tokenNames = [...]string{"a word", `"{"`, `"}"`, `";"`, "the end of the file"}

func (k tokenKind) String() string { return tokenNames[k] }

// token is one piece of a file.
type token struct {
	kind tokenKind
	Word
}

// lexer takes a file apart.
type lexer struct {
	text string
	at   sexp.Pos
}

// step goes behind the next character.
func (l *lexer) step() rune {
	r, n := utf8.DecodeRuneInString(l.text)
	l.text = l.text[n:]
	l.at.Advance(r)
	return r
}

// blank goes behind spaces and comments.
func (l *lexer) blank() {
	for l.text != "" {
		switch l.text[0] {
		case ' ', '\t', '\r', '\n':
			l.step()
		case '#':
			for l.text != "" && l.text[0] != '\n' {
				l.step()
			}
		default:
			return
		}
	}
}

// next is the next token.
func (l *lexer) next() (token, error) {
	l.blank()
	t := token{Word: Word{Pos: l.at}}
	if l.text == "" {
		t.kind = end
		return t, nil
	}
	switch l.text[0] {
	case '{':
		t.kind = open
	case '}':
		t.kind = shut
	case ';':
		t.kind = semicolon
	case '"', '\'':
		t.Quoted = true
		return t, l.quoted(&t)
	default:
		return t, l.bare(&t)
	}
	l.step()
	return t, nil
}

// quoted reads a word in quotes. What follows its end must not touch it.
func (l *lexer) quoted(t *token) error {
	quote := l.step()
	var b strings.Builder
	for {
		if l.text == "" {
			return sexp.Errorf(t.Pos, "found the end of the file, want the %c that ends this word", quote)
		}
		switch r := l.step(); r {
		case quote:
			t.Text = b.String()
			if l.text != "" && !strings.ContainsRune(" \t\r\n;{)", rune(l.text[0])) {
				r, _ := utf8.DecodeRuneInString(l.text)
				return sexp.Errorf(l.at, "found %q behind a quoted word, want a space, \";\" or \"{\"", r)
			}
			return nil
		case '\\':
			l.escape(&b)
		default:
			b.WriteRune(r)
		}
	}
}

// escape resolves what stands behind a backslash as nginx does: quotes and the backslash lose it, t, r and n become
// what they stand for, and anything else keeps it.
func (l *lexer) escape(b *strings.Builder) {
	if l.text == "" {
		b.WriteByte('\\')
		return
	}
	switch r := l.step(); r {
	case '"', '\'', '\\':
		b.WriteRune(r)
	case 't':
		b.WriteByte('\t')
	case 'r':
		b.WriteByte('\r')
	case 'n':
		b.WriteByte('\n')
	default:
		b.WriteByte('\\')
		b.WriteRune(r)
	}
}

// bare reads a word without quotes. "${" begins a variable whose brace does not open a block.
func (l *lexer) bare(t *token) error {
	var b strings.Builder
	for l.text != "" {
		switch c := l.text[0]; {
		case c == '\\':
			l.step()
			l.escape(&b)
			continue
		case strings.HasPrefix(l.text, "${"):
			at := l.at
			i := strings.IndexByte(l.text, '}')
			if i < 0 || strings.ContainsAny(l.text[:i], " \t\r\n;") {
				return sexp.Errorf(at, "found ${ without the } that ends the variable")
			}
			for range i + 1 {
				b.WriteRune(l.step())
			}
			continue
		case strings.IndexByte(" \t\r\n;{", c) >= 0:
			t.Text = b.String()
			return nil
		}
		b.WriteRune(l.step())
	}
	t.Text = b.String()
	return nil
}
