package interpreter

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
)

// appendTo appends the command to buf as one line. It is written by hand because a command is sent for every request, and
// encoding/json takes many times as long.
func (c *command) appendTo(buf []byte) []byte {
	buf = appendString(append(buf, `{"op":`...), c.Op)
	if c.Seq != nil {
		buf = strconv.AppendUint(append(buf, `,"seq":`...), *c.Seq, 10)
	}
	buf = appendOptional(buf, `,"id":`, c.ID)
	buf = appendOptional(buf, `,"class":`, c.Class)
	buf = appendOptional(buf, `,"tag":`, c.Tag)
	if c.Body != nil {
		buf = base64.StdEncoding.AppendEncode(append(buf, `,"body":"`...), *c.Body)
		buf = append(buf, '"')
	}
	return append(buf, '}', '\n')
}

// appendOptional appends an object member unless its value is empty. key consists of a comma, the quoted name and a colon.
func appendOptional(buf []byte, key, value string) []byte {
	if value == "" {
		return buf
	}
	return appendString(append(buf, key...), value)
}

// appendString appends s as a JSON string. It uses encoding/json only if s has characters that need escapes or are not
// printable ASCII.
func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // never fails for a string
			return append(buf, quoted...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}
