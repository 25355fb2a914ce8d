// Package forward sends requests to pool members over FastCGI or SCGI, one at a time on each connection, and keeps idle
// FastCGI connections for reuse. Package pool chooses the member for each attempt and decides about retries. This package
// manages the connections and their timeouts, and tracks whether an attempt may have reached the member.
//
// A Forwarder must only be used on the event loop's goroutine.
package forward
