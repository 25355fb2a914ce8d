// Package cgi parses CGI responses (RFC 3875, section 6), which members send over both FastCGI and SCGI.
package cgi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/gateway"
)

// ErrResponse reports an invalid response. All errors of ParseResponse wrap it.
var ErrResponse = errors.New("cgi: invalid response")

// defaultStatus is the status of a response without a Status field (RFC 3875, section 6.3.3).
const defaultStatus = 200

// The range of HTTP status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// ParseResponse parses a complete response. The body of the result is a copy.
func ParseResponse(response []byte) (gateway.Response, error) {
	parsed := gateway.Response{Status: defaultStatus}
	rest := response
	for {
		line, after, found := bytes.Cut(rest, []byte{'\n'})
		if !found {
			return parsed, fmt.Errorf("%w: no empty line after the header", ErrResponse)
		}
		rest = after
		text := strings.TrimSuffix(string(line), "\r")
		if text == "" {
			break
		}
		if err := parseField(&parsed, text); err != nil {
			return parsed, err
		}
	}
	parsed.Body = bytes.Clone(rest)
	return parsed, nil
}

// parseField parses one header field and stores it in the response.
func parseField(response *gateway.Response, text string) error {
	name, value, found := strings.Cut(text, ":")
	if !found || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: invalid header line %.40q", ErrResponse, text)
	}
	value = strings.TrimSpace(value)
	if !strings.EqualFold(name, "Status") {
		response.Headers = append(response.Headers, gateway.Field{Name: name, Value: value})
		return nil
	}
	code, _, _ := strings.Cut(value, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: invalid status %.40q, want a number from 100 to 599", ErrResponse, value)
	}
	response.Status = status
	return nil
}
