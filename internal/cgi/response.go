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

// ErrResponse says that a response makes no sense.
var ErrResponse = errors.New("cgi: response makes no sense")

// ParseResponse reads a whole response. Without a Status field its status is 200, as section 6.3.3 has it.
func ParseResponse(response []byte) (gateway.Response, error) {
	a := gateway.Response{Status: 200}
	rest := response
	for {
		line, after, ok := bytes.Cut(rest, []byte{'\n'})
		if !ok {
			return a, fmt.Errorf("%w: no empty line behind its header", ErrResponse)
		}
		rest = after
		text := strings.TrimSuffix(string(line), "\r")
		if text == "" {
			break
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return a, fmt.Errorf("%w: header line %.40q", ErrResponse, text)
		}
		value = strings.TrimSpace(value)
		if !strings.EqualFold(name, "Status") {
			a.Headers = append(a.Headers, gateway.Field{Name: name, Value: value})
			continue
		}
		code, _, _ := strings.Cut(value, " ")
		status, err := strconv.Atoi(code)
		if err != nil || status < 100 || status > 599 {
			return a, fmt.Errorf("%w: status %.40q", ErrResponse, value)
		}
		a.Status = status
	}
	a.Body = bytes.Clone(rest)
	return a, nil
}
