package interpreter

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"
)

// maxExactInteger is 2^53. From this value on, several integers are represented by the same float64.
const maxExactInteger = 1 << 53

// scanner reads the JSON tokens of one line. It is written by hand because every request causes a notice, and encoding/json
// takes many times as long. encoding/json is used only for rare parts of notices: strings with escapes, null and the values
// of unknown fields.
type scanner struct {
	line []byte
	pos  int
}

// parseNotice parses one line. Its error is a *ProtocolError.
func parseNotice(line []byte) (notice, error) {
	var n notice
	tokens := scanner{line: line}
	if !tokens.accept('{') {
		return n, &ProtocolError{Err: ErrMalformed}
	}
	for first := true; !tokens.accept('}'); first = false {
		if !first && !tokens.accept(',') {
			return n, &ProtocolError{Err: ErrMalformed}
		}
		name, err := tokens.readString()
		if err == nil && !tokens.accept(':') {
			err = ErrMalformed
		}
		if err != nil {
			return n, &ProtocolError{Err: err}
		}
		if err := tokens.readField(&n, name); err != nil {
			return n, &ProtocolError{Field: string(name), Err: err}
		}
	}
	tokens.skipSpace()
	if tokens.pos < len(tokens.line) {
		return n, &ProtocolError{Err: ErrMalformed}
	}
	return n, nil
}

// readField reads the value of the named field into the notice. Unknown fields are skipped, so that the interpreter can add
// fields to the protocol.
func (s *scanner) readField(n *notice, name []byte) (err error) {
	switch string(name) {
	case "op":
		return s.readStringInto(&n.Op)
	case "id":
		return s.readStringInto(&n.ID)
	case "end":
		return s.readStringInto(&n.Detail)
	case "tag":
		return s.readStringInto(&n.Tag)
	case "body":
		return s.readBody(n)
	case "seq":
		n.Seq, err = s.readUint()
	case "ms":
		n.Milliseconds, err = s.readFloat()
	case "values":
		err = s.readValues(n)
	default:
		err = s.skipValue()
	}
	return err
}

// readStringInto reads a string, or null, which leaves the field unchanged.
func (s *scanner) readStringInto(field *string) error {
	if s.atNull() {
		return s.skipValue()
	}
	text, err := s.readString()
	if err != nil {
		return err
	}
	*field = string(text)
	return nil
}

// readBody reads a base64 string into the body, or null, which leaves the body unchanged.
func (s *scanner) readBody(n *notice) error {
	if s.atNull() {
		return s.skipValue()
	}
	text, err := s.readString()
	if err != nil {
		return err
	}
	n.Body, err = base64.StdEncoding.AppendDecode(nil, text)
	return err
}

// readValues appends an array of numbers to the values.
func (s *scanner) readValues(n *notice) error {
	if !s.accept('[') {
		return ErrMalformed
	}
	for !s.accept(']') {
		if len(n.Values) > 0 && !s.accept(',') {
			return ErrMalformed
		}
		value, err := s.readFloat()
		if err != nil {
			return err
		}
		n.Values = append(n.Values, value)
	}
	return nil
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.pos < len(s.line) && isSpace(s.line[s.pos]) {
		s.pos++
	}
}

// isSpace reports whether c is JSON white space.
func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// atNull reports whether the next value starts with the letter n, which in valid JSON only null does.
func (s *scanner) atNull() bool {
	s.skipSpace()
	return s.pos < len(s.line) && s.line[s.pos] == 'n'
}

// accept consumes c if it is the next token, and reports whether it was.
func (s *scanner) accept(c byte) bool {
	s.skipSpace()
	if s.pos < len(s.line) && s.line[s.pos] == c {
		s.pos++
		return true
	}
	return false
}

// readLiteral consumes and returns the bytes up to the end of a number or literal.
func (s *scanner) readLiteral() []byte {
	s.skipSpace()
	start := s.pos
	if n := bytes.IndexAny(s.line[start:], ",]} \t\r\n"); n >= 0 {
		s.pos += n
	} else {
		s.pos = len(s.line)
	}
	return s.line[start:s.pos]
}

// readFloat reads a number.
func (s *scanner) readFloat() (float64, error) {
	return strconv.ParseFloat(string(s.readLiteral()), 64)
}

// readUint reads a non-negative integer in any JSON notation, such as 1e3. A number with an exponent or a fraction part
// must be less than maxExactInteger.
func (s *scanner) readUint() (uint64, error) {
	literal := string(s.readLiteral())
	n, err := strconv.ParseUint(literal, 10, 64)
	if err == nil {
		return n, nil
	}
	float, floatErr := strconv.ParseFloat(literal, 64)
	if floatErr != nil || float < 0 || float >= maxExactInteger || float != math.Trunc(float) {
		return 0, err
	}
	return uint64(float), nil
}

// readString reads a string. The result may alias the line and is valid only as long as the line.
func (s *scanner) readString() ([]byte, error) {
	if !s.accept('"') {
		return nil, ErrMalformed
	}
	for i := s.pos; i < len(s.line); i++ {
		switch s.line[i] {
		case '"':
			text := s.line[s.pos:i]
			s.pos = i + 1
			return text, nil
		case '\\':
			s.pos-- // back to the opening quote
			var text string
			err := s.decodeValue(&text)
			return []byte(text), err
		}
	}
	return nil, ErrMalformed
}

// skipValue skips a value of any type.
func (s *scanner) skipValue() error {
	var value json.RawMessage
	return s.decodeValue(&value)
}

// decodeValue reads the next value with encoding/json.
func (s *scanner) decodeValue(to any) error {
	s.skipSpace()
	decoder := json.NewDecoder(bytes.NewReader(s.line[s.pos:]))
	if err := decoder.Decode(to); err != nil {
		return err
	}
	s.pos += int(decoder.InputOffset())
	return nil
}
