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
	BeginRequest    = 1
	AbortRequest    = 2
	EndRequest      = 3
	Params          = 4
	Stdin           = 5
	Stdout          = 6
	GetValues       = 9
	GetValuesResult = 10
	UnknownType     = 11
)

// EncodeRecord returns one record with so much padding.
func EncodeRecord(kind byte, id uint16, content []byte, padding byte) []byte {
	b := []byte{1, kind}
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	b = append(b, padding, 0)
	return append(append(b, content...), make([]byte, padding)...)
}

// EncodeBeginRequest returns a BEGIN_REQUEST record.
func EncodeBeginRequest(id uint16, role uint16, keep bool) []byte {
	content := make([]byte, 8)
	binary.BigEndian.PutUint16(content, role)
	if keep {
		content[2] = 1
	}
	return EncodeRecord(BeginRequest, id, content, 0)
}

// EncodePair returns one name and value, with four-byte lengths where long is set or needed.
func EncodePair(name, value string, long bool) []byte {
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
	Headers             map[string]string // by header name
	Body                []byte
}

// EncodeParams returns the request's parameters as a list of pairs.
func (r Request) EncodeParams() []byte {
	b := EncodePair("REQUEST_METHOD", r.Method, false)
	b = append(b, EncodePair("SCRIPT_NAME", r.Path, true)...)
	b = append(b, EncodePair("QUERY_STRING", r.Query, false)...)
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) { // the same request is the same bytes
		b = append(b, EncodePair("HTTP_"+strings.ReplaceAll(strings.ToUpper(name), "-", "_"), r.Headers[name], false)...)
	}
	return b
}

// Encode returns the whole request, its connection to be kept.
func (r Request) Encode(id uint16) []byte {
	b := EncodeBeginRequest(id, 1, true)
	b = append(b, EncodeRecord(Params, id, r.EncodeParams(), 3)...)
	b = append(b, EncodeRecord(Params, id, nil, 0)...)
	for part := range slices.Chunk(r.Body, 60000) {
		b = append(b, EncodeRecord(Stdin, id, part, 1)...)
	}
	return append(b, EncodeRecord(Stdin, id, nil, 0)...)
}

// Response is one answer, or a management record.
type Response struct {
	ID             uint16
	ProtocolStatus byte // the protocol status
	Status         int
	Header         textproto.MIMEHeader
	Body           []byte
	RecordType     byte   // the type of a management record
	Content        []byte // of a management record
}

// ResponseReader puts answers together from what a server wrote.
type ResponseReader struct {
	rest   []byte
	stdout map[uint16][]byte
}

// Feed takes in bytes and returns the answers that they complete.
func (rd *ResponseReader) Feed(p []byte) ([]Response, error) {
	if rd.stdout == nil {
		rd.stdout = map[uint16][]byte{}
	}
	rd.rest = append(rd.rest, p...)
	var answers []Response
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
			answers = append(answers, Response{RecordType: kind, Content: content})
		case kind == Stdout:
			rd.stdout[id] = append(rd.stdout[id], content...)
		case kind == EndRequest:
			a, err := parse(rd.stdout[id])
			if err == nil && n < 5 {
				err = fmt.Errorf("an end record of %d bytes", n)
			}
			if err != nil {
				return answers, err
			}
			delete(rd.stdout, id)
			a.ID, a.ProtocolStatus = id, content[4]
			answers = append(answers, a)
		default:
			return answers, fmt.Errorf("record of type %d", kind)
		}
	}
	return answers, nil
}

// parse reads a CGI response; none at all stands for an answer by protocol status alone.
func parse(text []byte) (Response, error) {
	var a Response
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
