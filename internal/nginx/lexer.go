package nginx

import (
	"strings"
	"unicode/utf8"

	"tillerusher/internal/sexp"
)

// Word is an argument of a directive.
type Word struct {
	Pos    sexp.Pos
	Text   string // without quotes, escapes resolved
	Quoted bool   // it stood in quotes
}

// tokenKind is the kind of a token.
type tokenKind uint8

// The kinds of token.
const (
	tokenWord tokenKind = iota
	tokenOpen
	tokenClose
	tokenSemicolon
	tokenEOF
)

// tokenNames are the kinds of token in messages.
var tokenNames = [...]string{
	tokenWord:      "a word",
	tokenOpen:      `"{"`,
	tokenClose:     `"}"`,
	tokenSemicolon: `";"`,
	tokenEOF:       "the end of the file",
}

// String returns the kind as messages have it.
func (k tokenKind) String() string { return tokenNames[k] }

// token is a token of a file.
type token struct {
	kind tokenKind
	Word // its text is empty unless kind is tokenWord
}

// space are the characters that separate words.
const space = " \t\r\n"

// lexer splits a file into tokens.
type lexer struct {
	rest string   // the text that is not read yet
	pos  sexp.Pos // of rest
}

// advance reads the next character.
func (l *lexer) advance() rune {
	r, size := utf8.DecodeRuneInString(l.rest)
	l.rest = l.rest[size:]
	l.pos.Advance(r)
	return r
}

// skipSpace reads spaces and comments.
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

// next reads the next token.
func (l *lexer) next() (token, error) {
	l.skipSpace()
	next := token{Word: Word{Pos: l.pos}}
	if l.rest == "" {
		next.kind = tokenEOF
		return next, nil
	}
	switch l.rest[0] {
	case '{':
		next.kind = tokenOpen
	case '}':
		next.kind = tokenClose
	case ';':
		next.kind = tokenSemicolon
	case '"', '\'':
		next.Quoted = true
		return next, l.readQuoted(&next)
	default:
		return next, l.readBare(&next)
	}
	l.advance()
	return next, nil
}

// readQuoted reads a word in quotes. A space, a semicolon, an opening brace or a closing parenthesis has to follow it.
func (l *lexer) readQuoted(word *token) error {
	quote := l.advance()
	var text strings.Builder
	for {
		if l.rest == "" {
			return sexp.Errorf(word.Pos, "found the end of the file, want the %c that ends this word", quote)
		}
		switch r := l.advance(); r {
		case quote:
			word.Text = text.String()
			if l.rest != "" && !strings.ContainsRune(space+";{)", rune(l.rest[0])) {
				r, _ := utf8.DecodeRuneInString(l.rest)
				return sexp.Errorf(l.pos, "found %q behind a quoted word, want a space, \";\" or \"{\"", r)
			}
			return nil
		case '\\':
			l.readEscape(&text)
		default:
			text.WriteRune(r)
		}
	}
}

// readEscape resolves what follows a backslash as nginx does: before quotes and backslashes it is dropped, \t, \r and \n
// become the characters that they stand for, and before anything else it stays.
func (l *lexer) readEscape(text *strings.Builder) {
	if l.rest == "" {
		text.WriteByte('\\')
		return
	}
	switch r := l.advance(); r {
	case '"', '\'', '\\':
		text.WriteRune(r)
	case 't':
		text.WriteByte('\t')
	case 'r':
		text.WriteByte('\r')
	case 'n':
		text.WriteByte('\n')
	default:
		text.WriteByte('\\')
		text.WriteRune(r)
	}
}

// readBare reads a word without quotes.
func (l *lexer) readBare(word *token) error {
	var text strings.Builder
	for l.rest != "" {
		switch c := l.rest[0]; {
		case c == '\\':
			l.advance()
			l.readEscape(&text)
		case strings.HasPrefix(l.rest, "${"):
			if err := l.readVariable(&text); err != nil {
				return err
			}
		case strings.IndexByte(space+";{", c) >= 0:
			word.Text = text.String()
			return nil
		default:
			text.WriteRune(l.advance())
		}
	}
	word.Text = text.String()
	return nil
}

// readVariable reads ${NAME}, whose braces are no block's.
func (l *lexer) readVariable(text *strings.Builder) error {
	end := strings.IndexByte(l.rest, '}')
	if end < 0 || strings.ContainsAny(l.rest[:end], space+";") {
		return sexp.Errorf(l.pos, "found ${ without the } that ends the variable")
	}
	for range end + 1 {
		text.WriteRune(l.advance())
	}
	return nil
}
