// Package capture records the events that the decision module receives and the actions that it decides on. It has the
// recorder that writes captures in a running server, the segment format and the reader.
//
// A capture is a directory of segments. Each segment starts with a snapshot of the module, so a replay can start at any
// segment. Records follow the snapshot: each event of the module's interface with the time of the module's clock, after it the
// actions that the event caused, and between them the notes of the host, such as the Request-Id and idempotency key of a
// request, or a change of the interpreter's link. A segment is a sequence of blocks. Each block has its position, length and
// checksums, so damage affects only its block and the other blocks can be read. docs/capture-format.md specifies the format.
//
// The recorder is called from the server's goroutine and does not wait for the disk while the server runs; a separate
// goroutine writes the blocks.
package capture
