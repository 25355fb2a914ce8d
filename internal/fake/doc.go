// Package fake has the other side of everything that a server talks to: gateways that speak FastCGI, an interpreter,
// and members of a pool, all on loopback. Tests, load tests and simulated scenarios use the same ones. The package shares no
// code with the server, so that a mistake in one of them is not hidden by the same mistake in the other.
package fake
