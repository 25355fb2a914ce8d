// Package simnet is a deterministic simulation of an operating system and a network: processes with descriptors and epoll,
// streams, datagrams and a clock. It uses a single thread and virtual time, and one seed determines every random choice, so
// a simulation can be repeated exactly.
//
// A Process implements eventloop.System, so the real server and its event loop run on it unchanged. Its peers, such as
// clients, implement StreamHandler: the simulation calls them when a stream is established, receives data or ends.
//
// The results of system calls follow the manual pages of epoll(7), tcp(7), connect(2), accept(2), read(2), write(2) and
// shutdown(2).
package simnet
