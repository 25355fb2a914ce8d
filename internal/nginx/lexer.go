package nginx

import (
	"strings"
	"unicode/utf8"

	"tillerusher/internal/sexp"
)

// Word is an argument of a directive.
type Word struct {
	Pos    sexp.Pos
	Text   string // without quotes and with escapes resolved
	Quoted bool   // whether the word was in quotes
}

// tokenKind is the kind of a token.
type tokenKind uint8

// The kinds of tokens.
const (
	tokenWord tokenKind = iota
	tokenOpen
	tokenClose
	tokenSemicolon
	tokenEOF
)

// tokenNames are the names of the kinds in messages.
var tokenNames = [...]string{
	tokenWord:      "a word",
	tokenOpen:      `"{"`,
	tokenClose:     `"}"`,
	tokenSemicolon: `";"`,
	tokenEOF:       "the end of the file",
}

// String returns the name of the kind in messages.
func (k tokenKind) String() string { return tokenNames[k] }

// token is a token of a file.
type token struct {
	kind tokenKind
	Word // Text is empty unless kind is tokenWord
}

// spaceChars are the characters that separate words.
const spaceChars = " \t\r\n"

// lexer splits a file into tokens.
type lexer struct {
	rest string   // the text that has not been read yet
	pos  sexp.Pos // the position at which rest begins
}

// advance reads the next character.
func (l *lexer) advance() rune {
	r, size := utf8.DecodeRuneInString(l.rest)
	l.rest = l.rest[size:]
	l.pos.Advance(r)
	return r
}

// skipSpace skips white space and comments.
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

// readQuoted reads a word in quotes. White space, a semicolon, an opening brace, a closing parenthesis or the end of the
// file must follow it.
func (l *lexer) readQuoted(word *token) error {
	quote := l.advance()
	var text strings.Builder
	for {
		if l.rest == "" {
			return sexp.Errorf(word.Pos, "found the end of the file, want the closing %c of this word", quote)
		}
		switch r := l.advance(); r {
		case quote:
			word.Text = text.String()
			if l.rest != "" && !strings.ContainsRune(spaceChars+";{)", rune(l.rest[0])) {
				r, _ := utf8.DecodeRuneInString(l.rest)
				return sexp.Errorf(l.pos, "found %q after a quoted word, want a space, \";\" or \"{\"", r)
			}
			return nil
		case '\\':
			l.readEscape(&text)
		default:
			text.WriteRune(r)
		}
	}
}

// readEscape appends the escape sequence after a backslash to text, resolved as nginx does. A backslash before a quote
// or a backslash is dropped, \t, \r and \n become control characters, and any other sequence keeps its backslash.
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
		case strings.IndexByte(spaceChars+";{", c) >= 0:
			word.Text = text.String()
			return nil
		default:
			text.WriteRune(l.advance())
		}
	}
	word.Text = text.String()
	return nil
}

// readVariable reads ${NAME}. Its braces do not delimit a block.
func (l *lexer) readVariable(text *strings.Builder) error {
	end := strings.IndexByte(l.rest, '}')
	if end < 0 || strings.ContainsAny(l.rest[:end], spaceChars+";") {
		return sexp.Errorf(l.pos, "found ${ without the } that closes the variable")
	}
	for range end + 1 {
		text.WriteRune(l.advance())
	}
	return nil
}
