// Package eventloop implements a single-goroutine event loop on epoll(7) with connections, listeners, coarse timers and
// functions posted by other goroutines.
//
// Each round of the loop reads the ready descriptors, reads the clock once, calls the handlers in order, fires the timers
// that are due, calls the endRound function passed to Run, and then sends the output of each connection in one write.
// All callbacks of a round therefore see the same time, and endRound can decide on a burst of requests together.
package eventloop
