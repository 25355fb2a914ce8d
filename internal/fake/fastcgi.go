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
	beginRequestSize = 8 // of the content, in bytes
	roleResponder    = 1
	flagKeepConn     = 1

	// maxRecordContent is the maximum content length, in bytes, of the records that bodies and responses are split into; the
	// protocol allows 65535.
	maxRecordContent = 60000
	// maxShortLength is the maximum length of a name or value, in bytes, that is encoded in one byte.
	maxShortLength = 127
	// longLengthBit marks a length that is encoded in four bytes.
	longLengthBit = 1 << 31
	// endRequestMinSize is the size, in bytes, of the part of an END_REQUEST record's content that is used: the application
	// status and the protocol status.
	endRequestMinSize = 5
	// protocolStatusOffset is the offset of the protocol status in that content.
	protocolStatusOffset = 4
)

// EncodeRecord returns a FastCGI record with the given number of padding bytes. content must not exceed 65535 bytes.
func EncodeRecord(recordType byte, id uint16, content []byte, padding byte) []byte {
	b := []byte{protocolVersion, recordType}
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	b = append(b, padding, 0)
	return append(append(b, content...), make([]byte, padding)...)
}

// EncodeBeginRequest returns a BEGIN_REQUEST record. keepConn asks the server to keep the connection open after its response.
func EncodeBeginRequest(id uint16, role uint16, keepConn bool) []byte {
	content := make([]byte, beginRequestSize)
	binary.BigEndian.PutUint16(content, role)
	if keepConn {
		content[2] = flagKeepConn
	}
	return EncodeRecord(BeginRequest, id, content, 0)
}

// EncodePair returns an encoded name-value pair. A length is encoded in four bytes if longLengths is set or the length
// exceeds 127, and in one byte otherwise.
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

// Request is a request that a gateway sends.
type Request struct {
	Method, Path, Query string
	Headers             map[string]string // by HTTP header name
	Body                []byte
}

// EncodeParams returns the request's parameters as an encoded list of name-value pairs. Equal requests have equal encodings.
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

// Encode returns all records of the request. The request asks the server to keep the connection open.
func (r Request) Encode(id uint16) []byte {
	b := EncodeBeginRequest(id, roleResponder, true)
	b = append(b, EncodeRecord(Params, id, r.EncodeParams(), 3)...)
	b = append(b, EncodeRecord(Params, id, nil, 0)...)
	for part := range slices.Chunk(r.Body, maxRecordContent) {
		b = append(b, EncodeRecord(Stdin, id, part, 1)...)
	}
	return append(b, EncodeRecord(Stdin, id, nil, 0)...)
}

// EncodeIncomplete returns the records of a request that stops within its parameters, of which it has size bytes.
func EncodeIncomplete(id uint16, size int) []byte {
	params := EncodePair("HTTP_X", strings.Repeat("x", size), true)
	return append(EncodeBeginRequest(id, roleResponder, true), EncodeRecord(Params, id, params[:size], 0)...)
}

// Response is a server's response to a request, or a management record if ID is 0.
type Response struct {
	ID             uint16 // FastCGI request ID
	ProtocolStatus byte
	Status         int // HTTP status; 0 if the server answered with the protocol status alone
	Header         textproto.MIMEHeader
	Body           []byte
	RecordType     byte   // of a management record
	Content        []byte // of a management record
}

// ResponseReader assembles responses from the bytes received on one connection. Its zero value is ready to use.
type ResponseReader struct {
	rest   []byte            // received bytes that are not parsed yet
	stdout map[uint16][]byte // content of the STDOUT records of open requests, by request ID
}

// Feed processes the next received bytes and returns the responses that they complete. Together with an error it returns the
// responses before the error.
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

// nextRecord removes the first record from the unparsed bytes. ok is false if that record is incomplete.
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

// endResponse returns the response that an END_REQUEST record with the content completes.
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

// parseResponse parses a CGI response. It accepts an empty one: the server answered with the protocol status alone.
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
