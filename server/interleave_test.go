package server

import (
	"errors"
	"io"
	"net"
	"testing"

	"tillerusher/internal/servertest"
	"tillerusher/internal/servertest/interleave"
)

// The tests named TestCross force one event to happen between two others. docs/design/interleavings.md lists them, and
// the interleavings that the code rules out.

// waitCleanEnd waits for the end of a connection. It fails the test if the connection is reset or has another response.
func waitCleanEnd(t *testing.T, g *servertest.Gateway) {
	t.Helper()
	if a, err := g.TryResponse(0); !errors.Is(err, io.EOF) {
		t.Errorf("response %+v, error %v; want EOF", a, err)
	}
}

// beforeEnd has act called just before the server shuts down or closes its side of a connection. The channel is closed
// after that.
func beforeEnd(system *interleave.System, conn net.Conn, act func()) <-chan bool {
	done := make(chan bool)
	system.BeforeCall(func(call interleave.Syscall, fd int) bool {
		if call != interleave.Shutdown && call != interleave.Close || !interleave.IsPeer(fd, conn) {
			return false
		}
		act()
		close(done)
		return true
	})
	return done
}

// waitRound waits until the server has read everything that was written to it before the call.
func waitRound(s *Server) {
	for range 2 { // a posted function may be called in a round that began before the call
		onLoop(s, func() {})
	}
}
