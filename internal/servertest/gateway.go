package servertest

import (
	"net"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

// Gateway is one connection to a server, which fails the test where it can't go on.
type Gateway struct {
	t testing.TB
	*fake.Gateway
}

// Dial connects to a server, which may still be starting.
func Dial(t testing.TB, addr string) *Gateway {
	t.Helper()
	var g *fake.Gateway
	Wait(t, "a connection to "+addr, func() (ok bool) {
		var err error
		g, err = fake.Dial(addr)
		return err == nil
	})
	t.Cleanup(g.Close)
	return &Gateway{t, g}
}

// Write sends bytes as they are.
func (g *Gateway) Write(parts ...[]byte) {
	g.t.Helper()
	for _, p := range parts {
		if err := g.Gateway.Write(p); err != nil {
			g.t.Fatal(err)
		}
	}
}

// Answer returns the next answer to the request, or to any where id is 0.
func (g *Gateway) Answer(id uint16) fake.Answer {
	g.t.Helper()
	a, err := g.TryAnswer(id)
	if err != nil {
		g.t.Fatalf("no answer to request %d: %v", id, err)
	}
	return a
}

// TryAnswer returns the next answer to the request, or why there is none.
func (g *Gateway) TryAnswer(id uint16) (fake.Answer, error) {
	return g.Read(id, time.Now().Add(Patience))
}

// Ended waits for the end of the connection and fails on any further answer.
func (g *Gateway) Ended() {
	g.t.Helper()
	a, err := g.TryAnswer(0)
	if err == nil {
		g.t.Fatalf("answer %+v instead of the end of the connection", a)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		g.t.Fatal("the connection was not closed")
	}
}
