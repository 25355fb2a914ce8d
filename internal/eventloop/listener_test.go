package eventloop

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// faultySystem is a System whose Accept fails until isRecovered is set.
type faultySystem struct {
	Kernel
	acceptErr   error
	isRecovered bool // Accept succeeds
	acceptCalls int
}

func (s *faultySystem) Accept(fd int) (int, error) {
	s.acceptCalls++
	if !s.isRecovered {
		// These two errors concern one connection or one call, so the next call may succeed.
		s.isRecovered = s.acceptErr == unix.ECONNABORTED || s.acceptErr == unix.EINTR
		return -1, s.acceptErr
	}
	return s.Kernel.Accept(fd)
}

// TestAcceptErrors makes Accept fail, either once or for a while. The connection must still be accepted afterwards, and the
// loop must not spin on a listener that stays ready.
func TestAcceptErrors(t *testing.T) {
	for _, c := range []struct {
		err        error
		isReported bool // OnError is called
	}{{unix.EPROTO, true}, {unix.EPERM, true}, {unix.ECONNABORTED, false}, {unix.EINTR, false}} {
		s := &faultySystem{acceptErr: c.err}
		l, err := New(s, testTick, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		reported := 0
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), AcceptOptions{
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
		if (reported > 0) != c.isReported || s.acceptCalls > 20 { // at most one call per pause and a few more, however slow the machine is
			t.Errorf("%v: %d errors reported, %d Accept calls for one connection", c.err, reported, s.acceptCalls)
		}
		ln.Close()
		l.Close()
	}
}
