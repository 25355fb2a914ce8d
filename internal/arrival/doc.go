// Package arrival generates the times of requests for simulations in virtual time and for load tests on real sockets. A
// process is open-loop: it does not depend on how earlier requests were answered.
package arrival
