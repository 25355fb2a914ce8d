package interpreter

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
)

// appendTo adds the command as a line. Commands go out for each request, and a general encoder takes many times as
// long.
func (c *command) appendTo(b []byte) []byte {
	b = appendText(append(b, `{"op":`...), c.Op)
	if c.Seq != nil {
		b = strconv.AppendUint(append(b, `,"seq":`...), *c.Seq, 10)
	}
	for _, f := range [...]struct{ name, value string }{{`,"id":`, c.ID}, {`,"class":`, c.Class}, {`,"tag":`, c.Tag}} {
		if f.value != "" {
			b = appendText(append(b, f.name...), f.value)
		}
	}
	if c.Body != nil {
		b = base64.StdEncoding.AppendEncode(append(b, `,"body":"`...), *c.Body)
		b = append(b, '"')
	}
	return append(b, '}', '\n')
}

// appendText adds a string; only one with letters that need more than quotes is left to the general encoder.
func appendText(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always has a text
			return append(b, quoted...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
