package sexp

import "fmt"

// Pos is a position in a file. Lines and columns are counted from 1. Columns count characters, not bytes.
type Pos struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String returns the position as file:line:column, the format that editors accept.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Advance moves the position past a character.
func (p *Pos) Advance(r rune) {
	if r == '\n' {
		p.Line++
		p.Column = 1
	} else {
		p.Column++
	}
}

// Error is an error at a position in a file. The message says what was found and what was expected.
type Error struct {
	Pos     Pos
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errorf returns an *Error with a position and a formatted message.
func Errorf(pos Pos, format string, args ...any) error {
	return &Error{pos, fmt.Sprintf(format, args...)}
}
