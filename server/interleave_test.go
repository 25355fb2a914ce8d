package server

import (
	"errors"
	"io"
	"net"
	"testing"

	"tillerusher/internal/servertest"
	"tillerusher/internal/servertest/interleave"
)

// The tests named TestCross force one event to happen between two others: docs/design/interleavings.md lists them, and
// the interleavings that the code rules out.

// waitCleanEnd waits for the end of a connection, and fails where it was reset instead, or carried anything more.
func waitCleanEnd(t *testing.T, g *servertest.Gateway) {
	t.Helper()
	if a, err := g.TryResponse(0); !errors.Is(err, io.EOF) {
		t.Errorf("%+v, %v instead of a clean end", a, err)
	}
}

// beforeEnd calls a function just before the server ends its side of a connection, by whatever system call.
func beforeEnd(system *interleave.System, of net.Conn, do func()) <-chan bool {
	done := make(chan bool)
	system.BeforeCall(func(call interleave.Syscall, fd int) bool {
		if call != interleave.Shutdown && call != interleave.Close || !interleave.IsPeer(fd, of) {
			return false
		}
		do()
		close(done)
		return true
	})
	return done
}

// waitRound waits until the server has read all that was written to it before.
func waitRound(s *Server) {
	for range 2 { // what is posted may be called in the round that began before
		onLoop(s, func() {})
	}
}
