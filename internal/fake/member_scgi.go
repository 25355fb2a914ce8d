package fake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
)

// errSCGI is the error for a request that violates the SCGI protocol.
var errSCGI = errors.New("fake: invalid SCGI request")

// maxSCGIHeader limits the header's length in bytes. The limit is checked before a further digit of the length is added, so
// a length of up to 10*maxSCGIHeader+9 is accepted.
const maxSCGIHeader = 1 << 20

// answerSCGI answers the only request of a connection. SCGI has no status for overload, so an overloaded member answers with
// HTTP status 503.
func (m *Member) answerSCGI(conn net.Conn, behavior Behavior, status int, request memberRequest) {
	text := fmt.Sprintf("%s %s %s", m.Name, request.params["SCRIPT_NAME"], request.body)
	response := fmt.Appendf(nil, "Status: %d\r\nContent-Length: %d\r\nX-Member: %s\r\n\r\n%s", status, len(text), m.Name, text)
	switch behavior {
	case Silent:
		io.Copy(io.Discard, conn)
	case Truncated:
		conn.Write(response[:len(response)-len(text)/2-1])
	case Duplicated:
		conn.Write(append(response, response...))
	case Failing:
		conn.Write([]byte("Status: 500\r\n\r\n"))
	case Overloaded:
		conn.Write([]byte("Status: 503\r\n\r\n"))
	case Closing:
	case Malformed:
		conn.Write([]byte(malformedResponse))
	default:
		conn.Write(response)
	}
}

// readSCGI reads one request: a netstring of header names and values, with CONTENT_LENGTH first, and the body.
func readSCGI(reader io.Reader) (memberRequest, error) {
	header, err := readNetstring(reader)
	if err != nil {
		return memberRequest{}, err
	}
	params, err := parseSCGIHeader(header)
	if err != nil {
		return memberRequest{}, err
	}
	size, err := strconv.Atoi(params["CONTENT_LENGTH"])
	if err != nil || size < 0 {
		return memberRequest{}, fmt.Errorf("%w: CONTENT_LENGTH is not a non-negative number", errSCGI)
	}
	body := make([]byte, size)
	_, err = io.ReadFull(reader, body)
	return memberRequest{id: 1, params: params, body: body}, err
}

// readNetstring reads a netstring that ends with a zero byte, and returns it without that byte.
func readNetstring(reader io.Reader) ([]byte, error) {
	size, err := readNetstringLength(reader)
	if err != nil {
		return nil, err
	}
	header := make([]byte, size+1)
	if _, err := io.ReadFull(reader, header); err != nil {
		return nil, err
	}
	if size == 0 || header[size] != ',' || header[size-1] != 0 {
		return nil, fmt.Errorf("%w: the header does not end with a zero byte and a comma", errSCGI)
	}
	return header[:size-1], nil
}

// readNetstringLength reads the decimal length of a netstring and the colon after it.
func readNetstringLength(reader io.Reader) (int, error) {
	size := 0
	for {
		var digit [1]byte
		if _, err := io.ReadFull(reader, digit[:]); err != nil {
			return 0, err
		}
		if digit[0] == ':' {
			return size, nil
		}
		if digit[0] < '0' || digit[0] > '9' || size > maxSCGIHeader {
			return 0, fmt.Errorf("%w: the header's length is malformed or too large", errSCGI)
		}
		size = size*10 + int(digit[0]-'0')
	}
}

// parseSCGIHeader parses names and values that are separated by zero bytes.
func parseSCGIHeader(header []byte) (map[string]string, error) {
	fields := bytes.Split(header, []byte{0})
	if len(fields)%2 != 0 || string(fields[0]) != "CONTENT_LENGTH" {
		return nil, fmt.Errorf("%w: the header does not start with CONTENT_LENGTH, or a name has no value", errSCGI)
	}
	params := map[string]string{}
	for i := 0; i < len(fields); i += 2 {
		name := string(fields[i])
		if _, isDuplicate := params[name]; isDuplicate {
			return nil, fmt.Errorf("%w: %s is given twice", errSCGI, name)
		}
		params[name] = string(fields[i+1])
	}
	if params["SCGI"] != "1" {
		return nil, fmt.Errorf("%w: the header SCGI is not 1", errSCGI)
	}
	return params, nil
}
