// Package cgi reads the responses of CGI programs (RFC 3875, section 6), which members send over FastCGI and SCGI alike.
package cgi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/gateway"
)

// ErrResponse says that a response can't be read; errors of ParseResponse wrap it.
var ErrResponse = errors.New("cgi: invalid response")

// defaultStatus is the status of a response without a Status field (section 6.3.3).
const defaultStatus = 200

// The statuses that HTTP has.
const (
	minStatus = 100
	maxStatus = 599
)

// ParseResponse reads a whole response. The body is a copy.
func ParseResponse(response []byte) (gateway.Response, error) {
	parsed := gateway.Response{Status: defaultStatus}
	rest := response
	for {
		line, after, found := bytes.Cut(rest, []byte{'\n'})
		if !found {
			return parsed, fmt.Errorf("%w: no empty line behind its header", ErrResponse)
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

// parseField reads one header field.
func parseField(response *gateway.Response, text string) error {
	name, value, found := strings.Cut(text, ":")
	if !found || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: header line %.40q", ErrResponse, text)
	}
	value = strings.TrimSpace(value)
	if !strings.EqualFold(name, "Status") {
		response.Headers = append(response.Headers, gateway.Field{Name: name, Value: value})
		return nil
	}
	code, _, _ := strings.Cut(value, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %.40q", ErrResponse, value)
	}
	response.Status = status
	return nil
}
