package eventloop

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// faultySystem is a system on which Accept fails for a while.
type faultySystem struct {
	Kernel
	acceptErr   error
	isRecovered bool // Accept works
	acceptCalls int
}

func (s *faultySystem) Accept(fd int) (int, error) {
	s.acceptCalls++
	if !s.isRecovered {
		// These two are of one connection or one call: the next may work.
		s.isRecovered = s.acceptErr == unix.ECONNABORTED || s.acceptErr == unix.EINTR
		return -1, s.acceptErr
	}
	return s.Kernel.Accept(fd)
}

// TestAcceptErrors has Accept fail, once or for a while: the next connection is still accepted, and the loop does
// not spin on a listener that stays ready.
func TestAcceptErrors(t *testing.T) {
	for _, c := range []struct {
		err        error
		isReported bool // to the owner
	}{{unix.EPROTO, true}, {unix.EPERM, true}, {unix.ECONNABORTED, false}, {unix.EINTR, false}} {
		s := &faultySystem{acceptErr: c.err}
		l, err := New(s, testTick, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		reported := 0
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), AcceptCallbacks{
			OnConn:  func(*Conn) ConnHandler { l.Stop(); return newEchoHandler() },
			OnError: func(err error) { reported++ }})
		if err != nil {
			t.Fatal(err)
		}
		addr, err := ln.Addr()
		if err != nil {
			t.Fatal(err)
		}
		dial(t, addr.String())
		l.AfterFunc(6*acceptPause, func() { s.isRecovered = true })
		if err := l.Run(func() bool { return false }); err != nil {
			t.Fatal(err)
		}
		if (reported > 0) != c.isReported || s.acceptCalls > 20 { // however slow the machine, no more than one in each pause, and a few
			t.Errorf("%v: %d errors reported, %d calls to accept one connection", c.err, reported, s.acceptCalls)
		}
		ln.Close()
		l.Close()
	}
}
