// Package gateway defines the interface between the server and the protocols of gateways. A Session parses the bytes of a
// connection, passes requests to a Handler, and encodes the response to each request. The package has no sockets and no
// goroutines. FastCGI is the only protocol at present; another protocol would need its own implementation of Session.
package gateway

//go:generate go tool stringer -type=RejectReason

// StreamID identifies an open request on a connection.
type StreamID uint32

// Request is a complete request from a gateway.
type Request struct {
	Method, Path, Query string
	URI                 string            // as the gateway's client sent it; "" if the gateway does not send it
	Headers             map[string]string // by name in lower case
	Params              map[string]string // all parameters, unchanged; nil unless the protocol is configured to keep them
	Body                []byte            // not shared with the session
	// ExceedsLimits is set if the connection has too many open requests, or the open requests of all connections use too
	// much memory. The handler should respond immediately.
	ExceedsLimits bool
}

// Field is a name-value pair: a header field of a response, or a parameter of a request to a member.
type Field struct{ Name, Value string }

// Response is the response to one request.
type Response struct {
	Status     int
	Overloaded bool // reject the request with the protocol's status for overload; Status, Headers and Body are not sent
	Headers    []Field
	Body       []byte
}

// RejectReason is the reason why a session rejects a request.
type RejectReason uint8

// The reasons for which a session rejects a request.
const (
	Malformed       RejectReason = iota // its parameters are incomplete or can't be parsed
	TooLarge                            // its parameters or body exceed a limit
	TooManyRequests                     // the connection has too many open requests
	UnsupportedRole                     // its role is not implemented
	OutOfMemory                         // it was ended before its last byte, because the memory for requests is full
)

// Handler handles the requests that sessions read.
type Handler interface {
	// RequestReceived is called with a complete request. The handler must call Session.Respond once for it.
	RequestReceived(s Session, id StreamID, r Request)
	// RequestAborted is called if the gateway aborts a request that was passed to the handler and has no response yet. The
	// handler must still respond to the request.
	RequestAborted(s Session, id StreamID)
	// RequestInvalid is called if a request is invalid, instead of RequestReceived. The handler must still respond to the
	// request. The session skips the rest of the request.
	RequestInvalid(s Session, id StreamID, reason RejectReason)
	// RequestRejected is called after the session itself has rejected a request at its first record. The handler must not
	// respond to it.
	RequestRejected(reason RejectReason)
}

// Output buffers bytes for the peer. Bytes that are written in one iteration of the event loop are sent together.
type Output interface{ Write(p []byte) }

// Session is the protocol state of one connection from a gateway.
type Session interface {
	// Feed parses the next bytes of the connection. After an error it ignores all further input. Requests that were read
	// before still get responses, and the caller must close the connection once ShouldClose reports true.
	Feed(p []byte) error
	// Respond sends the response to an open request and ends the request. It does nothing if the request is not open.
	Respond(id StreamID, r Response)
	// OpenRequests returns the number of requests without a response, whether they were read completely or not.
	OpenRequests() int
	// HasPartialInput reports whether an incomplete record or request was read.
	HasPartialInput() bool
	// Close discards the open requests. The caller calls it when the connection has ended.
	Close()
	// ShouldClose reports whether the caller must close the connection once its output is sent.
	ShouldClose() bool
}

// Protocol returns the session of a new connection.
type Protocol func(out Output, h Handler) Session
