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
	tokenWord tokenKind = iota
	tokenOpen
	tokenClose
	tokenSemicolon
	tokenEOF
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
	rest string
	pos  sexp.Pos
}

// advance goes behind the next character.
func (l *lexer) advance() rune {
	r, n := utf8.DecodeRuneInString(l.rest)
	l.rest = l.rest[n:]
	l.pos.Advance(r)
	return r
}

// skipSpace goes behind spaces and comments.
func (l *lexer) skipSpace() {
	for l.rest != "" {
		switch l.rest[0] {
		case ' ', '\t', '\r', '\n':
			l.advance()
		case '#':
			for l.rest != "" && l.rest[0] != '\n' {
				l.advance()
			}
		default:
			return
		}
	}
}

// retryOn is the next token.
func (l *lexer) next() (token, error) {
	l.skipSpace()
	t := token{Word: Word{Pos: l.pos}}
	if l.rest == "" {
		t.kind = tokenEOF
		return t, nil
	}
	switch l.rest[0] {
	case '{':
		t.kind = tokenOpen
	case '}':
		t.kind = tokenClose
	case ';':
		t.kind = tokenSemicolon
	case '"', '\'':
		t.Quoted = true
		return t, l.readQuoted(&t)
	default:
		return t, l.readBare(&t)
	}
	l.advance()
	return t, nil
}

// readQuoted reads a word in quotes. What follows its end must not touch it.
func (l *lexer) readQuoted(t *token) error {
	quote := l.advance()
	var b strings.Builder
	for {
		if l.rest == "" {
			return sexp.Errorf(t.Pos, "found the end of the file, want the %c that ends this word", quote)
		}
		switch r := l.advance(); r {
		case quote:
			t.Text = b.String()
			if l.rest != "" && !strings.ContainsRune(" \t\r\n;{)", rune(l.rest[0])) {
				r, _ := utf8.DecodeRuneInString(l.rest)
				return sexp.Errorf(l.pos, "found %q behind a quoted word, want a space, \";\" or \"{\"", r)
			}
			return nil
		case '\\':
			l.readEscape(&b)
		default:
			b.WriteRune(r)
		}
	}
}

// readEscape resolves what stands behind a backslash as nginx does: quotes and the backslash lose it, t, r and n become
// what they stand for, and anything else keeps it.
func (l *lexer) readEscape(b *strings.Builder) {
	if l.rest == "" {
		b.WriteByte('\\')
		return
	}
	switch r := l.advance(); r {
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

// readBare reads a word without quotes. "${" begins a variable whose brace does not open a block.
func (l *lexer) readBare(t *token) error {
	var b strings.Builder
	for l.rest != "" {
		switch c := l.rest[0]; {
		case c == '\\':
			l.advance()
			l.readEscape(&b)
			continue
		case strings.HasPrefix(l.rest, "${"):
			at := l.pos
			i := strings.IndexByte(l.rest, '}')
			if i < 0 || strings.ContainsAny(l.rest[:i], " \t\r\n;") {
				return sexp.Errorf(at, "found ${ without the } that ends the variable")
			}
			for range i + 1 {
				b.WriteRune(l.advance())
			}
			continue
		case strings.IndexByte(" \t\r\n;{", c) >= 0:
			t.Text = b.String()
			return nil
		}
		b.WriteRune(l.advance())
	}
	t.Text = b.String()
	return nil
}
