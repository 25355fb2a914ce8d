// Package interpreter is the client of the interpreter, the process that runs requests. The platform's protocol consists of
// JSON objects, one per line, over one TCP connection.
//
// Link holds the protocol state and owns no socket. Client keeps a Link connected on an event loop. Neither is safe for
// concurrent use: both must be used on the loop's goroutine.
package interpreter
