// Package standin is the other side of everything that a server talks to: gateways that speak FastCGI, an
// interpreter and an announce service, all on loopback. Tests and the kit's storms use the same ones. It shares no
// code with the server, so that neither can hide the mistakes of the other.
package fake
