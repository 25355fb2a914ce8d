// Package pool implements load balancing over the members of an upstream pool. It chooses the member for each attempt,
// decides whether a failed request is retried, and excludes failing or slow members for a limited time. It does no I/O
// and reads no clock: the caller passes in the time and the source of random numbers, so that every decision can be
// replayed.
//
// The balancing policies and member settings are those of nginx (ngx_http_upstream_module): smooth weighted round
// robin, least_conn, ip_hash, hash with and without consistent, random two least_conn; weight, max_conns, max_fails,
// fail_timeout, slow_start, backup, down. The package adds a retry budget (as in Finagle), outlier ejection bounded by a
// panic threshold (as in Envoy), and a single probing attempt to a member whose fail timeout or ejection has expired.
package pool
