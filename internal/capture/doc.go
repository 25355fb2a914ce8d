// Package capture records the events that the decision module received and the actions that it decided on: the format, the
// recorder that writes it in a running server, and the reader.
//
// A capture is a directory of segments. Each segment begins with a snapshot of the module, so a replay can start at any of
// them, and continues with records: each event of the module's interface with the module's clock, behind it the actions that
// the event caused, and between them the host's notes (which Request-Id and key a request has, what happened to the
// interpreter's link). A segment is a sequence of blocks, each with its position, length and checksums, so damage is confined
// to its block and the rest can be read. docs/capture-format.md specifies the bytes.
//
// The recorder belongs to the server's goroutine and never waits for the disk; one goroutine of its own writes.
package capture
