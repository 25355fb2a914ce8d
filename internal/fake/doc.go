// Package fake implements the peers of a server: gateways that speak FastCGI, an interpreter, and members of a pool. They
// use loopback sockets; the interpreter and ResponseReader also work without sockets. Tests, load tests and simulated
// scenarios share the fakes. The package shares no code with the server, so that a mistake in one of them is not hidden by
// the same mistake in the other.
package fake
