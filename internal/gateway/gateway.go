// Package front holds what the server and a gateway protocol agree on: requests come in, answers go out, and
// a connection may go away. A second protocol would implement Session beside the one for FastCGI.
package gateway

// StreamID names one open request of a connection.
type StreamID uint32

// RequestReceived is one whole request as a gateway sent it.
type Request struct {
	Method, Path, Query string
	URI                 string            // as the gateway's caller sent it, where the protocol keeps that
	Headers             map[string]string // header fields, by their names in lower case
	Params              map[string]string // all parameters as they came, where the protocol is asked for them
	Body                []byte            // not shared with the session
}

// Field is one header of an answer.
type Field struct{ Name, Value string }

// Response is the final answer to one request.
type Response struct {
	Status     int
	Overloaded bool // the protocol's own way to say that too much is open, in place of Status
	Headers    []Field
	Body       []byte
}

// RejectReason says why a request was not understood.
type RejectReason uint8

// The flaws that a session finds.
const (
	Malformed       RejectReason = iota // its parts contradict each other
	TooLarge                            // its fields or body are over the limits
	TooManyRequests                     // more requests than may be open on one connection
	UnsupportedRole                     // a role that is not served
)

// Handler takes in what sessions read.
type Handler interface {
	// RequestReceived hands over a whole request, which is owed one Answer.
	RequestReceived(s Session, id StreamID, r Request)
	// RequestAborted says that the gateway gave up an open request, which is still owed its Answer.
	RequestAborted(s Session, id StreamID)
	// RequestInvalid says that a request can't be handed over; it is owed its Answer all the same, and what may still
	// come of it is passed over.
	RequestInvalid(s Session, id StreamID, f RejectReason)
	// RequestRejected says that the session itself turned a request away at its first record.
	RequestRejected(f RejectReason)
}

// Output takes bytes for the peer; what one round writes is sent together.
type Output interface{ Write(p []byte) }

// Session is one connection of a gateway.
type Session interface {
	// Feed takes in the next bytes; after an error the connection can only be closed.
	Feed(p []byte) error
	// Response ends an open request; one that is not open any more is left alone.
	Respond(id StreamID, a Response)
	// OpenRequests is how many requests were begun and are not answered.
	OpenRequests() int
	// HasPartialInput tells whether something was begun that has not come whole.
	HasPartialInput() bool
	// Close gives up what is still coming: the connection has ended.
	Close()
	// ShouldClose tells whether the connection is to be closed once its output is sent.
	ShouldClose() bool
}

// Protocol starts a session on a new connection.
type Protocol func(out Output, h Handler) Session
