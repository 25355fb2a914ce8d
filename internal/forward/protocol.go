package forward

import (
	"fmt"

	"tillerusher/internal/fastcgi"
	"tillerusher/internal/gateway"
	"tillerusher/internal/scgi"
)

// response puts together a member's answer from what its connection brings.
type response interface {
	// Feed takes in the next bytes, and tells whether the answer is whole.
	Feed(p []byte) (whole bool, err error)
	// Closed tells whether it is whole now that the member has ended the connection.
	CompleteAtEOF() bool
	// Overloaded tells whether the member turned the request away unseen.
	Overloaded() bool
	// Answer reads the whole answer.
	Response() (gateway.Response, error)
}

// protocol is how members of a pool are spoken to.
type protocol struct {
	request  func(b []byte, number uint16, params []gateway.Field, body []byte) []byte
	response func(number uint16) response
	keeps    bool // connections can be used again
}

// protocolOf is the protocol of that name.
func protocolOf(name string) (*protocol, error) {
	switch name {
	case "fastcgi":
		return &protocol{request: fastcgi.AppendRequest, response: func(number uint16) response {
			return &fastcgi.ResponseParser{RequestID: number, MaxBytes: maxAnswer}
		}, keeps: true}, nil
	case "scgi":
		return &protocol{request: func(b []byte, _ uint16, params []gateway.Field, body []byte) []byte {
			return scgi.AppendRequest(b, params, body)
		}, response: func(uint16) response { return &scgi.ResponseParser{MaxBytes: maxAnswer} }}, nil
	}
	return nil, fmt.Errorf("forward: no protocol is called %q, want fastcgi or scgi", name)
}
