package fake

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// The FastCGI record types (FastCGI specification 1.0, section 8).
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

const (
	protocolVersion  = 1
	recordHeaderSize = 8
	beginRequestSize = 8 // of the content
	roleResponder    = 1
	flagKeepConn     = 1

	// maxRecordContent is the longest content of a record that is written; the protocol allows 65535 bytes.
	maxRecordContent = 60000
	// maxShortLength is the longest name or value whose length takes one byte.
	maxShortLength = 127
	// longLengthBit marks a length of four bytes.
	longLengthBit = 1 << 31
	// endRequestMinSize is the part of an END_REQUEST record's content that is read: application and protocol status.
	endRequestMinSize = 5
	// protocolStatusOffset is where the protocol status is in that content.
	protocolStatusOffset = 4
)

// EncodeRecord returns a record of the type with so many bytes of padding.
func EncodeRecord(recordType byte, id uint16, content []byte, padding byte) []byte {
	b := []byte{protocolVersion, recordType}
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	b = append(b, padding, 0)
	return append(append(b, content...), make([]byte, padding)...)
}

// EncodeBeginRequest returns a BEGIN_REQUEST record; keepConn asks the server to keep the connection afterwards.
func EncodeBeginRequest(id uint16, role uint16, keepConn bool) []byte {
	content := make([]byte, beginRequestSize)
	binary.BigEndian.PutUint16(content, role)
	if keepConn {
		content[2] = flagKeepConn
	}
	return EncodeRecord(BeginRequest, id, content, 0)
}

// EncodePair returns a name-value pair, with four-byte lengths where longLengths is set or a length needs it.
func EncodePair(name, value string, longLengths bool) []byte {
	var b []byte
	for _, length := range []int{len(name), len(value)} {
		if longLengths || length > maxShortLength {
			b = binary.BigEndian.AppendUint32(b, uint32(length)|longLengthBit)
		} else {
			b = append(b, byte(length))
		}
	}
	b = append(b, name...)
	return append(b, value...)
}

// Request is a request as a gateway sends it.
type Request struct {
	Method, Path, Query string
	Headers             map[string]string // by HTTP header name
	Body                []byte
}

// EncodeParams returns the request's parameters as a list of name-value pairs. Equal requests give equal bytes.
func (r Request) EncodeParams() []byte {
	b := EncodePair("REQUEST_METHOD", r.Method, false)
	b = append(b, EncodePair("SCRIPT_NAME", r.Path, true)...)
	b = append(b, EncodePair("QUERY_STRING", r.Query, false)...)
	for _, header := range slices.Sorted(maps.Keys(r.Headers)) {
		name := "HTTP_" + strings.ReplaceAll(strings.ToUpper(header), "-", "_")
		b = append(b, EncodePair(name, r.Headers[header], false)...)
	}
	return b
}

// Encode returns all records of the request, which asks the server to keep the connection.
func (r Request) Encode(id uint16) []byte {
	b := EncodeBeginRequest(id, roleResponder, true)
	b = append(b, EncodeRecord(Params, id, r.EncodeParams(), 3)...)
	b = append(b, EncodeRecord(Params, id, nil, 0)...)
	for part := range slices.Chunk(r.Body, maxRecordContent) {
		b = append(b, EncodeRecord(Stdin, id, part, 1)...)
	}
	return append(b, EncodeRecord(Stdin, id, nil, 0)...)
}

// Response is a server's response to a request, or a management record where ID is 0.
type Response struct {
	ID             uint16
	ProtocolStatus byte
	Status         int
	Header         textproto.MIMEHeader
	Body           []byte
	RecordType     byte   // of a management record
	Content        []byte // of a management record
}

// ResponseReader assembles responses from the bytes that a server wrote on one connection. Its zero value is usable.
type ResponseReader struct {
	rest   []byte            // an incomplete record
	stdout map[uint16][]byte // by request ID
}

// Feed takes the next bytes and returns the responses that they complete.
func (r *ResponseReader) Feed(data []byte) ([]Response, error) {
	if r.stdout == nil {
		r.stdout = map[uint16][]byte{}
	}
	r.rest = append(r.rest, data...)
	var responses []Response
	for {
		recordType, id, content, ok := r.nextRecord()
		if !ok {
			return responses, nil
		}
		switch {
		case id == 0:
			responses = append(responses, Response{RecordType: recordType, Content: content})
		case recordType == Stdout:
			r.stdout[id] = append(r.stdout[id], content...)
		case recordType == EndRequest:
			response, err := r.endResponse(id, content)
			if err != nil {
				return responses, err
			}
			responses = append(responses, response)
		default:
			return responses, fmt.Errorf("record of type %d", recordType)
		}
	}
}

// nextRecord takes the first record off the bytes that are left, and returns false while it is incomplete.
func (r *ResponseReader) nextRecord() (recordType byte, id uint16, content []byte, ok bool) {
	if len(r.rest) < recordHeaderSize {
		return 0, 0, nil, false
	}
	contentEnd := recordHeaderSize + int(binary.BigEndian.Uint16(r.rest[4:]))
	recordEnd := contentEnd + int(r.rest[6])
	if len(r.rest) < recordEnd {
		return 0, 0, nil, false
	}
	recordType, id = r.rest[1], binary.BigEndian.Uint16(r.rest[2:])
	content = bytes.Clone(r.rest[recordHeaderSize:contentEnd])
	r.rest = r.rest[recordEnd:]
	return recordType, id, content, true
}

// endResponse returns the response that an END_REQUEST record completes.
func (r *ResponseReader) endResponse(id uint16, content []byte) (Response, error) {
	response, err := parseResponse(r.stdout[id])
	if err != nil {
		return Response{}, err
	}
	if len(content) < endRequestMinSize {
		return Response{}, fmt.Errorf("an end record of %d bytes", len(content))
	}
	delete(r.stdout, id)
	response.ID, response.ProtocolStatus = id, content[protocolStatusOffset]
	return response, nil
}

// parseResponse reads a CGI response. An empty one stands for an answer by the protocol status alone.
func parseResponse(text []byte) (Response, error) {
	if len(text) == 0 {
		return Response{}, nil
	}
	head, body, found := bytes.Cut(text, []byte("\r\n\r\n"))
	if !found {
		return Response{}, fmt.Errorf("response without an empty line: %q", text)
	}
	header, err := textproto.NewReader(bufio.NewReader(strings.NewReader(string(head) + "\r\n\r\n"))).ReadMIMEHeader()
	if err != nil {
		return Response{}, fmt.Errorf("response: %w", err)
	}
	code, _, _ := strings.Cut(header.Get("Status"), " ") // a reason phrase may follow
	status, err := strconv.Atoi(code)
	if err != nil {
		return Response{}, fmt.Errorf("response: %w", err)
	}
	return Response{Status: status, Header: header, Body: body}, nil
}
