package forward

import (
	"fmt"

	"tillerusher/internal/fastcgi"
	"tillerusher/internal/gateway"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/scgi"
)

// maxResponseBytes limits the size of a member's response.
const maxResponseBytes = 1 << 20

// responseParser parses a member's response from the bytes that are read from its connection.
type responseParser interface {
	// Feed parses the next bytes, and reports whether the response is complete.
	Feed(p []byte) (complete bool, err error)
	// CompleteAtEOF reports whether the response is complete if the member closes the connection now.
	CompleteAtEOF() bool
	// Overloaded reports whether the member rejected the request as overloaded, without processing it.
	Overloaded() bool
	// Response returns the complete response.
	Response() (gateway.Response, error)
}

// protocol encodes requests to the members of a pool and parses their responses.
type protocol struct {
	appendRequest func(buf []byte, id uint16, params []gateway.Field, body []byte) []byte
	newParser     func(id uint16) responseParser
	reusesConns   bool // a connection can be used for more than one request
}

// newProtocol returns the protocol with the name in the configuration.
func newProtocol(name string) (*protocol, error) {
	switch name {
	case routeconfig.ProtocolFastCGI:
		return newFastCGI(), nil
	case routeconfig.ProtocolSCGI:
		return newSCGI(), nil
	}
	return nil, fmt.Errorf("forward: unknown protocol %q, want fastcgi or scgi", name)
}

// newFastCGI returns the FastCGI protocol.
func newFastCGI() *protocol {
	return &protocol{
		appendRequest: fastcgi.AppendRequest,
		newParser: func(id uint16) responseParser {
			return &fastcgi.ResponseParser{RequestID: id, MaxBytes: maxResponseBytes}
		},
		reusesConns: true,
	}
}

// newSCGI returns the SCGI protocol, in which the member closes the connection after the response.
func newSCGI() *protocol {
	return &protocol{
		appendRequest: func(buf []byte, _ uint16, params []gateway.Field, body []byte) []byte {
			return scgi.AppendRequest(buf, params, body)
		},
		newParser: func(uint16) responseParser {
			return &scgi.ResponseParser{MaxBytes: maxResponseBytes}
		},
	}
}
