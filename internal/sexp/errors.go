package sexp

import "fmt"

// Pos is a position in a file. Lines and columns count from 1, columns in characters.
type Pos struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String returns the position as editors read it.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Advance moves the position behind a character.
func (p *Pos) Advance(r rune) {
	if r == '\n' {
		p.Line++
		p.Column = 1
	} else {
		p.Column++
	}
}

// Error reports what is wrong at a position: what was found and what was wanted there.
type Error struct {
	Pos     Pos
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errorf returns an *Error for a position.
func Errorf(pos Pos, format string, args ...any) error {
	return &Error{pos, fmt.Sprintf(format, args...)}
}
