package servertest

import (
	"net"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

// Gateway is a fake gateway's connection to a server. Its own methods, except TryResponse, fail the test on errors.
type Gateway struct {
	t testing.TB
	*fake.Gateway
}

// Dial connects to a server. It retries until WaitTimeout, since the server may still be starting. The connection is closed
// when the test ends.
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

// Write sends the parts unchanged, each in a separate write.
func (g *Gateway) Write(parts ...[]byte) {
	g.t.Helper()
	for _, p := range parts {
		if err := g.Gateway.Write(p); err != nil {
			g.t.Fatal(err)
		}
	}
}

// WaitResponse waits for the next response to the request with the FastCGI request ID, or to any request if id is 0.
func (g *Gateway) WaitResponse(id uint16) fake.Response {
	g.t.Helper()
	response, err := g.TryResponse(id)
	if err != nil {
		g.t.Fatalf("no response to request %d: %v", id, err)
	}
	return response
}

// TryResponse is like WaitResponse, but returns an error if there is no response within WaitTimeout or the connection ends.
func (g *Gateway) TryResponse(id uint16) (fake.Response, error) {
	return g.ReadResponse(id, time.Now().Add(WaitTimeout))
}

// WaitClosed waits for the end of the connection; any error other than a timeout counts as the end. It fails the test if a
// response arrives before, or if the connection is still open after WaitTimeout.
func (g *Gateway) WaitClosed() {
	g.t.Helper()
	response, err := g.TryResponse(0)
	if err == nil {
		g.t.Fatalf("got response %+v, want the end of the connection", response)
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		g.t.Fatal("the server did not close the connection")
	}
}
