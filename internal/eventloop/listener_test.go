package eventloop

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// faultySystem is a machine that can't accept connections for a while.
type faultySystem struct {
	Kernel
	acceptErr   error
	isRecovered bool // calls are carried out
	acceptCalls int
}

func (s *faultySystem) Accept(fd int) (int, error) {
	if s.acceptCalls++; !s.isRecovered {
		s.isRecovered = s.acceptErr == unix.ECONNABORTED || s.acceptErr == unix.EINTR // which are of one connection, or one call
		return -1, s.acceptErr
	}
	return s.Kernel.Accept(fd)
}

// TestAcceptErrors has connections fail to be accepted, once and again: the next is taken in all the same, and the loop
// doesn't spin on a listener that stays ready.
func TestAcceptErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		told bool // the owner hears of it
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
		if (reported > 0) != c.told || s.acceptCalls > 20 { // however slow the machine, no more than one in each rest, and a few
			t.Errorf("%v: %d errors told, %d calls to accept one connection", c.err, reported, s.acceptCalls)
		}
		ln.Close()
		l.Close()
	}
}
