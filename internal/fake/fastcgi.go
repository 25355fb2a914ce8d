package fake

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"bufio"
)

// The record types.
const (
	Begin     = 1
	Abort     = 2
	End       = 3
	Params    = 4
	Stdin     = 5
	Stdout    = 6
	GetValues = 9
	Values    = 10
	Unknown   = 11
)

// Record returns one record with so much padding.
func Record(kind byte, id uint16, content []byte, padding byte) []byte {
	b := []byte{1, kind}
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	b = append(b, padding, 0)
	return append(append(b, content...), make([]byte, padding)...)
}

// BeginRecord returns a BEGIN_REQUEST record.
func BeginRecord(id uint16, role uint16, keep bool) []byte {
	content := make([]byte, 8)
	binary.BigEndian.PutUint16(content, role)
	if keep {
		content[2] = 1
	}
	return Record(Begin, id, content, 0)
}

// Pair returns one name and value, with four-byte lengths where long is set or needed.
func Pair(name, value string, long bool) []byte {
	var b []byte
	for _, n := range []int{len(name), len(value)} {
		if long || n > 127 {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|0x80000000)
		} else {
			b = append(b, byte(n))
		}
	}
	return append(append(b, name...), value...)
}

// Request is one request of a gateway.
type Request struct {
	Method, Path, Query string
	Fields              map[string]string // by header name
	Body                []byte
}

// ParamBytes returns the request's parameters as a list of pairs.
func (r Request) ParamBytes() []byte {
	b := Pair("REQUEST_METHOD", r.Method, false)
	b = append(b, Pair("SCRIPT_NAME", r.Path, true)...)
	b = append(b, Pair("QUERY_STRING", r.Query, false)...)
	for _, name := range slices.Sorted(maps.Keys(r.Fields)) { // the same request is the same bytes
		b = append(b, Pair("HTTP_"+strings.ReplaceAll(strings.ToUpper(name), "-", "_"), r.Fields[name], false)...)
	}
	return b
}

// Records returns the whole request, its connection to be kept.
func (r Request) Records(id uint16) []byte {
	b := BeginRecord(id, 1, true)
	b = append(b, Record(Params, id, r.ParamBytes(), 3)...)
	b = append(b, Record(Params, id, nil, 0)...)
	for part := range slices.Chunk(r.Body, 60000) {
		b = append(b, Record(Stdin, id, part, 1)...)
	}
	return append(b, Record(Stdin, id, nil, 0)...)
}

// Answer is one answer, or a management record.
type Answer struct {
	ID       uint16
	Protocol byte // the protocol status
	Status   int
	Header   textproto.MIMEHeader
	Body     []byte
	Kind     byte   // the type of a management record
	Content  []byte // of a management record
}

// Reader puts answers together from what a server wrote.
type Reader struct {
	rest   []byte
	stdout map[uint16][]byte
}

// Feed takes in bytes and returns the answers that they complete.
func (rd *Reader) Feed(p []byte) ([]Answer, error) {
	if rd.stdout == nil {
		rd.stdout = map[uint16][]byte{}
	}
	rd.rest = append(rd.rest, p...)
	var answers []Answer
	for len(rd.rest) >= 8 {
		n := int(binary.BigEndian.Uint16(rd.rest[4:]))
		whole := 8 + n + int(rd.rest[6])
		if len(rd.rest) < whole {
			break
		}
		kind, id := rd.rest[1], binary.BigEndian.Uint16(rd.rest[2:])
		content := bytes.Clone(rd.rest[8 : 8+n])
		rd.rest = rd.rest[whole:]
		switch {
		case id == 0:
			answers = append(answers, Answer{Kind: kind, Content: content})
		case kind == Stdout:
			rd.stdout[id] = append(rd.stdout[id], content...)
		case kind == End:
			a, err := parse(rd.stdout[id])
			if err == nil && n < 5 {
				err = fmt.Errorf("an end record of %d bytes", n)
			}
			if err != nil {
				return answers, err
			}
			delete(rd.stdout, id)
			a.ID, a.Protocol = id, content[4]
			answers = append(answers, a)
		default:
			return answers, fmt.Errorf("record of type %d", kind)
		}
	}
	return answers, nil
}

// parse reads a CGI response; none at all stands for an answer by protocol status alone.
func parse(text []byte) (Answer, error) {
	var a Answer
	if len(text) == 0 {
		return a, nil
	}
	head, body, found := bytes.Cut(text, []byte("\r\n\r\n"))
	if !found {
		return a, fmt.Errorf("response without an empty line: %q", text)
	}
	header, err := textproto.NewReader(bufio.NewReader(strings.NewReader(string(head) + "\r\n\r\n"))).ReadMIMEHeader()
	if err != nil {
		return a, fmt.Errorf("response: %w", err)
	}
	a.Header, a.Body = header, body
	code, _, _ := strings.Cut(header.Get("Status"), " ") // a reason may follow
	if a.Status, err = strconv.Atoi(code); err != nil {
		return a, fmt.Errorf("response: %w", err)
	}
	return a, nil
}
