package eventloop

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// sick is a machine that can't accept connections for a while.
type sick struct {
	Kernel
	err    error
	well   bool // calls are carried out
	called int
}

func (s *sick) Accept(fd int) (int, error) {
	if s.called++; !s.well {
		s.well = s.err == unix.ECONNABORTED || s.err == unix.EINTR // which are of one connection, or one call
		return -1, s.err
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
		s := &sick{err: c.err}
		l, err := New(s, testTick, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		told := 0
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), AcceptCallbacks{
			OnConn:  func(*Conn) ConnHandler { l.Stop(); return newEcho() },
			OnError: func(err error) { told++ }})
		if err != nil {
			t.Fatal(err)
		}
		addr, err := ln.Addr()
		if err != nil {
			t.Fatal(err)
		}
		dial(t, addr.String())
		l.AfterFunc(6*acceptRest, func() { s.well = true })
		if err := l.Run(func() bool { return false }); err != nil {
			t.Fatal(err)
		}
		if (told > 0) != c.told || s.called > 20 { // however slow the machine, no more than one in each rest, and a few
			t.Errorf("%v: %d errors told, %d calls to accept one connection", c.err, told, s.called)
		}
		ln.Close()
		l.Close()
	}
}
