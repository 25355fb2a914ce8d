package fake

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
)

// malformedResponse is not a valid response in FastCGI or SCGI.
const malformedResponse = "HTTP/1.1 200 OK\r\n\r\n"

// endRequestSize is the length, in bytes, of an END_REQUEST record's content.
const endRequestSize = 8

// endOverloaded is the content of an END_REQUEST record that rejects the request with FCGI_OVERLOADED.
var endOverloaded = []byte{0, 0, 0, 0, 2, 0, 0, 0}

// answerFastCGI answers one request and reports whether the connection is to be kept open.
func (m *Member) answerFastCGI(conn net.Conn, behavior Behavior, status int, request memberRequest) bool {
	end := EncodeRecord(EndRequest, request.id, make([]byte, endRequestSize), 0)
	text := fmt.Sprintf("Status: %d\r\nX-Member: %s\r\n\r\n%s %s %s", status, m.Name, m.Name, request.params["SCRIPT_NAME"],
		request.body)
	var response []byte
	for part := range slices.Chunk([]byte(text), maxRecordContent) {
		response = append(response, EncodeRecord(Stdout, request.id, part, 5)...)
	}
	response = append(response, end...)
	switch behavior {
	case Silent:
		io.Copy(io.Discard, conn) // until the peer closes the connection
		return false
	case Truncated:
		conn.Write(response[:len(response)/2])
		return false
	case Duplicated:
		conn.Write(slices.Concat(response, response))
		return true
	case Failing:
		conn.Write(append(EncodeRecord(Stdout, request.id, []byte("Status: 500\r\n\r\n"), 0), end...))
		return true
	case Overloaded:
		conn.Write(EncodeRecord(EndRequest, request.id, endOverloaded, 0))
		return true
	case Closing:
		return false
	case Malformed:
		conn.Write([]byte(malformedResponse))
		return false
	}
	conn.Write(response)
	return true
}

// readFastCGI reads the records of one request.
func readFastCGI(reader io.Reader) (memberRequest, error) {
	var params, body []byte
	for {
		var header [recordHeaderSize]byte
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			return memberRequest{}, err
		}
		contentSize, padding := int(binary.BigEndian.Uint16(header[4:])), int(header[6])
		content := make([]byte, contentSize+padding)
		if _, err := io.ReadFull(reader, content); err != nil {
			return memberRequest{}, err
		}
		content = content[:contentSize]
		switch header[1] {
		case Params:
			params = append(params, content...)
		case Stdin:
			body = append(body, content...)
			if len(content) == 0 { // an empty STDIN record ends the request
				id := binary.BigEndian.Uint16(header[2:])
				return memberRequest{id: id, params: decodePairs(params), body: body}, nil
			}
		}
	}
}

// decodePairs decodes a list of name-value pairs.
func decodePairs(p []byte) map[string]string {
	pairs := map[string]string{}
	for len(p) > 1 {
		var nameSize, valueSize int
		nameSize, p = decodeLength(p)
		valueSize, p = decodeLength(p)
		pairs[string(p[:nameSize])] = string(p[nameSize : nameSize+valueSize])
		p = p[nameSize+valueSize:]
	}
	return pairs
}

// decodeLength decodes a length of one or four bytes. It returns the length and the bytes after it.
func decodeLength(p []byte) (int, []byte) {
	if p[0] <= maxShortLength {
		return int(p[0]), p[1:]
	}
	return int(binary.BigEndian.Uint32(p) &^ longLengthBit), p[4:]
}
