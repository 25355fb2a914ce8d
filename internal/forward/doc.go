// Package forward sends requests to members of pools over FastCGI or SCGI, one at a time on each connection, and keeps
// idle FastCGI connections for use again. Which member an attempt goes to, and whether a retry follows, is decided by
// internal/pool; this package owns the connections, their time limits, and what is known of an attempt: whether any of
// it may have reached the member.
//
// A Forwarder belongs to the event loop's goroutine.
package forward
