// Package eventloop runs one goroutine over epoll(7): connections, listeners, coarse timers and functions posted by other
// goroutines.
//
// A round reads all that is ready, reads the clock once, reports events in order, fires timers, calls the owner's settle
// function, and then sends the output of each connection in one write. Callbacks therefore see one time for a round, and a
// burst of requests is decided upon as a whole.
package eventloop
