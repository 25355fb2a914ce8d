// Package forward sends requests to members of pools over FastCGI or SCGI, one at a time on each connection, and keeps
// idle FastCGI connections for reuse. internal/pool decides which member an attempt goes to and whether a retry follows;
// this package owns the connections, their timeouts, and whether an attempt may have reached the member.
//
// A Forwarder belongs to the event loop's goroutine.
package forward
