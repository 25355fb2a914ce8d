// Package interpreter speaks the platform's protocol to the interpreter, the process that runs requests: JSON objects,
// one a line, over one TCP connection.
//
// Link is the state of the dialogue and owns no socket; Client keeps a Link connected on an event loop. Neither is safe
// for concurrent use: both belong to the loop's goroutine.
package interpreter
