package interpreter

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// errNotice says that a line is no notice.
var errNotice = errors.New("interp: the line is no notice")

// scanner reads the tokens of one line. Notices come for each request, and a general decoder takes many times as
// long; what notices never have, such as strings with escapes or values of unknown fields, is left to it.
type scanner struct {
	p []byte
	i int
}

// parseNotice reads one line.
func parseNotice(line []byte) (n notice, err error) {
	s := scanner{p: line}
	if !s.take('{') {
		return n, errNotice
	}
	for first := true; !s.take('}'); first = false {
		if !first && !s.take(',') {
			return n, errNotice
		}
		name, err := s.text()
		if err == nil && !s.take(':') {
			err = errNotice
		}
		if err == nil {
			err = s.field(&n, string(name))
		}
		if err != nil {
			return n, err
		}
	}
	if s.space(); s.i < len(s.p) {
		return n, errNotice
	}
	return n, nil
}

// field reads the value of a field into the notice.
func (s *scanner) field(n *notice, name string) (err error) {
	var text []byte
	switch name {
	case "op", "id", "end", "tag", "body":
		if s.space(); s.i < len(s.p) && s.p[s.i] == 'n' {
			return s.skip() // null
		}
		if text, err = s.text(); err != nil {
			return err
		}
	}
	switch name {
	case "op":
		n.Op = string(text)
	case "id":
		n.ID = string(text)
	case "end":
		n.Detail = string(text)
	case "tag":
		n.Tag = string(text)
	case "body":
		if n.Body, err = base64.StdEncoding.AppendDecode(nil, text); err != nil {
			return fmt.Errorf("interp: body: %w", err)
		}
	case "seq":
		n.Seq, err = s.whole()
	case "ms":
		n.Milliseconds, err = strconv.ParseFloat(string(s.word()), 64)
	case "values":
		err = s.values(n)
	default:
		err = s.skip()
	}
	if err != nil {
		return fmt.Errorf("interp: field %s: %w", name, err)
	}
	return nil
}

// values reads a list of numbers.
func (s *scanner) values(n *notice) error {
	if !s.take('[') {
		return errNotice
	}
	for !s.take(']') {
		if len(n.Values) > 0 && !s.take(',') {
			return errNotice
		}
		v, err := strconv.ParseFloat(string(s.word()), 64)
		if err != nil {
			return err
		}
		n.Values = append(n.Values, v)
	}
	return nil
}

// space passes over white space.
func (s *scanner) space() {
	for s.i < len(s.p) && (s.p[s.i] == ' ' || s.p[s.i] == '\t' || s.p[s.i] == '\r' || s.p[s.i] == '\n') {
		s.i++
	}
}

// handleCommand passes over the character if it comes next.
func (s *scanner) take(c byte) bool {
	s.space()
	if s.i < len(s.p) && s.p[s.i] == c {
		s.i++
		return true
	}
	return false
}

// word reads up to the end of a number or literal.
func (s *scanner) word() []byte {
	s.space()
	n := bytes.IndexAny(s.p[s.i:], ",]} \t\r\n")
	if n < 0 {
		n = len(s.p) - s.i
	}
	s.i += n
	return s.p[s.i-n : s.i]
}

// whole reads a whole number, in any form that JSON has for one.
func (s *scanner) whole() (uint64, error) {
	word := string(s.word())
	n, err := strconv.ParseUint(word, 10, 64)
	if err == nil {
		return n, nil
	}
	f, ferr := strconv.ParseFloat(word, 64)
	if ferr != nil || f < 0 || f >= 1<<53 || f != math.Trunc(f) {
		return 0, err
	}
	return uint64(f), nil
}

// text reads a string; it is valid as long as the line.
func (s *scanner) text() ([]byte, error) {
	if !s.take('"') {
		return nil, errNotice
	}
	for j := s.i; j < len(s.p); j++ {
		switch s.p[j] {
		case '"':
			text := s.p[s.i:j]
			s.i = j + 1
			return text, nil
		case '\\':
			s.i--
			var text string
			err := s.general(&text)
			return []byte(text), err
		}
	}
	return nil, errNotice
}

// skip passes over any value.
func (s *scanner) skip() error {
	var any json.RawMessage
	return s.general(&any)
}

// general reads the next value by the general decoder.
func (s *scanner) general(to any) error {
	s.space()
	d := json.NewDecoder(bytes.NewReader(s.p[s.i:]))
	if err := d.Decode(to); err != nil {
		return fmt.Errorf("interp: %w", err)
	}
	s.i += int(d.InputOffset())
	return nil
}
