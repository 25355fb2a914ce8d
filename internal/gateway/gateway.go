// Package gateway is the interface between the server and the protocols that gateways speak: a Session reads bytes and
// hands over requests, and is given the response of each. The package owns no sockets and no goroutine. FastCGI is the
// protocol there is; another one would implement Session beside it.
package gateway

//go:generate go tool stringer -type=RejectReason

// StreamID identifies an open request of a connection.
type StreamID uint32

// Request is one whole request as a gateway sent it.
type Request struct {
	Method, Path, Query string
	URI                 string            // as the gateway's client sent it, where the protocol passes that on
	Headers             map[string]string // by their names in lower case
	Params              map[string]string // all parameters as they came, where the protocol is told to keep them
	Body                []byte            // not shared with the session
}

// Field is a name and a value: a header of a response, or a parameter of a request to a member.
type Field struct{ Name, Value string }

// Response is the response to one request.
type Response struct {
	Status     int
	Overloaded bool // the protocol's own way to say that too many requests are open, in place of Status
	Headers    []Field
	Body       []byte
}

// RejectReason is why a request can't be handed over.
type RejectReason uint8

// The reasons for which a session rejects a request.
const (
	Malformed       RejectReason = iota // its parts contradict each other
	TooLarge                            // its parameters or body are over the limits
	TooManyRequests                     // more requests than may be open, on one connection or in memory
	UnsupportedRole                     // a role that is not served
)

// Handler is told what sessions read.
type Handler interface {
	// RequestReceived hands over a whole request, which must be given one Response.
	RequestReceived(s Session, id StreamID, r Request)
	// RequestAborted says that the gateway gave up an open request, which must be given its Response all the same.
	RequestAborted(s Session, id StreamID)
	// RequestInvalid says that a request can't be handed over. It must be given its Response all the same; what still
	// comes of it is skipped.
	RequestInvalid(s Session, id StreamID, reason RejectReason)
	// RequestRejected says that the session rejected a request at its first record, and needs no Response.
	RequestRejected(reason RejectReason)
}

// Output takes bytes for the peer; what is written in one round is sent together.
type Output interface{ Write(p []byte) }

// Session is the state of one connection of a gateway.
type Session interface {
	// Feed reads the next bytes; after an error the connection can only be closed.
	Feed(p []byte) error
	// Respond ends an open request; one that is not open any more is left alone.
	Respond(id StreamID, r Response)
	// OpenRequests returns how many requests were begun and have no response.
	OpenRequests() int
	// HasPartialInput reports whether a record or request was begun that has not come whole.
	HasPartialInput() bool
	// Close drops what is open, since the connection has ended.
	Close()
	// ShouldClose reports whether the connection is to be closed once its output is sent.
	ShouldClose() bool
}

// Protocol starts a session on a new connection.
type Protocol func(out Output, h Handler) Session
