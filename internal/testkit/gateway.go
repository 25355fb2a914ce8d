package testkit

import (
	"net"
	"testing"
	"time"
)

// Gateway is one connection to a server.
type Gateway struct {
	t       testing.TB
	conn    net.Conn
	reader  Reader
	answers []Answer // read and not asked for yet
}

// Dial connects to a server, which may still be starting.
func Dial(t testing.TB, addr string) *Gateway {
	t.Helper()
	var conn net.Conn
	Wait(t, "a connection to "+addr, func() bool {
		c, err := net.Dial("tcp", addr)
		conn = c
		return err == nil
	})
	t.Cleanup(func() { conn.Close() })
	return &Gateway{t: t, conn: conn}
}

// Write sends bytes as they are.
func (g *Gateway) Write(parts ...[]byte) {
	g.t.Helper()
	for _, p := range parts {
		if _, err := g.conn.Write(p); err != nil {
			g.t.Fatal(err)
		}
	}
}

// Answer returns the next answer to the request, or to any where id is 0.
func (g *Gateway) Answer(id uint16) Answer {
	g.t.Helper()
	a, err := g.read(id)
	if err != nil {
		g.t.Fatalf("no answer to request %d: %v", id, err)
	}
	return a
}

// TryAnswer returns the next answer to the request, or why there is none.
func (g *Gateway) TryAnswer(id uint16) (Answer, error) { return g.read(id) }

// read waits for an answer or the end of the connection.
func (g *Gateway) read(id uint16) (Answer, error) {
	buf := make([]byte, 32<<10)
	g.conn.SetReadDeadline(time.Now().Add(Patience))
	for {
		for i, a := range g.answers {
			if id == 0 || a.ID == id {
				g.answers = append(g.answers[:i], g.answers[i+1:]...)
				return a, nil
			}
		}
		n, err := g.conn.Read(buf)
		if err != nil {
			return Answer{}, err
		}
		answers, err := g.reader.Feed(buf[:n])
		g.answers = append(g.answers, answers...)
		if err != nil {
			return Answer{}, err
		}
	}
}

// Ended waits for the end of the connection and fails on any further answer.
func (g *Gateway) Ended() {
	g.t.Helper()
	a, err := g.read(0)
	if err == nil {
		g.t.Fatalf("answer %+v instead of the end of the connection", a)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		g.t.Fatal("the connection was not closed")
	}
}

// Close ends the connection.
func (g *Gateway) Close() { g.conn.Close() }
