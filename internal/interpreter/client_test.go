package interpreter

import (
	"io"
	"net"
	"testing"
	"time"

	"tillerusher/internal/eventloop"
)

// TestRedialsImmediatelyAfterLoss loses a connection that lasted longer than minRedialInterval. The client must redial
// immediately, since no run starts before it is connected.
func TestRedialsImmediatelyAfterLoss(t *testing.T) {
	l, err := eventloop.New(eventloop.Kernel{}, time.Millisecond, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := Dial(l, listener.Addr().(*net.TCPAddr).AddrPort(), newRecordingHandler(t))
	defer client.Close()
	dialled := false
	l.AfterFunc(2*minRedialInterval, func() {
		client.conn.Close()
		client.Closed(client.conn, io.EOF)
		l.AfterFunc(minRedialInterval/2, func() { // timers fire in order, however late they are
			dialled = client.conn != nil
			l.Stop()
		})
	})
	if err := l.Run(func() bool { return false }); err != nil {
		t.Fatal(err)
	}
	if !dialled {
		t.Error("the client did not redial immediately after it lost the connection")
	}
}
