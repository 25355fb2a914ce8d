// Package simnet is a deterministic simulation of an operating system and a network: processes with descriptors and epoll,
// streams, datagrams and a clock. Everything runs in one thread and in virtual time, and every random choice comes from one
// seed, so a run can be repeated exactly.
//
// A Process implements eventloop.System, so the real server and its event loop run on it unchanged. The parties around it are
// StreamHandlers, which are called when something arrives.
//
// The results of calls follow the manual pages of epoll(7), tcp(7), connect(2), accept(2), read(2), write(2) and shutdown(2).
package simnet
