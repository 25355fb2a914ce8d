package servertest

import (
	"net"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

// Gateway is one connection to a server. Its methods fail the test on errors.
type Gateway struct {
	t testing.TB
	*fake.Gateway
}

// Dial connects to a server, which may still be starting.
func Dial(t testing.TB, addr string) *Gateway {
	t.Helper()
	var g *fake.Gateway
	WaitFor(t, "a connection to "+addr, func() (ok bool) {
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

// WaitResponse returns the next response to the request, or to any request where id is 0.
func (g *Gateway) WaitResponse(id uint16) fake.Response {
	g.t.Helper()
	response, err := g.TryResponse(id)
	if err != nil {
		g.t.Fatalf("no answer to request %d: %v", id, err)
	}
	return response
}

// TryResponse is WaitResponse for a response that may not come.
func (g *Gateway) TryResponse(id uint16) (fake.Response, error) {
	return g.ReadResponse(id, time.Now().Add(WaitTimeout))
}

// WaitClosed waits for the end of the connection, before which no further response may come.
func (g *Gateway) WaitClosed() {
	g.t.Helper()
	response, err := g.TryResponse(0)
	if err == nil {
		g.t.Fatalf("answer %+v instead of the end of the connection", response)
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		g.t.Fatal("the connection was not closed")
	}
}
