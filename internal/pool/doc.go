// Package pool balances attempts over the members of an upstream pool: it chooses the member for an attempt, decides
// whether a failed request is retried, and takes failing or slow members out for a while. It does no I/O and reads no
// clock. Time and random numbers come from the caller, so that every decision can be replayed.
//
// Balancing policies and the limits of members are those of nginx (the manual's ngx_http_upstream_module): smooth
// weighted round robin, least_conn, ip_hash, hash with and without consistent, random two least_conn; weight, max_conns,
// max_fails, fail_timeout, slow_start, backup, down. Added to them are a retry budget (as in Finagle), outlier ejection
// bounded by a panic threshold (as in Envoy), and a single probing attempt at a member whose time out is over.
package pool
