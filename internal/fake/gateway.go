package fake

import (
	"net"
	"slices"
	"time"
)

// Gateway is a gateway's connection to a server. One goroutine may write while another one reads.
type Gateway struct {
	conn    net.Conn
	reader  ResponseReader
	pending []Response // received, but not returned yet
	buf     []byte
}

// Dial connects to a server.
func Dial(addr string) (*Gateway, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Gateway{conn: conn, buf: make([]byte, readBufferSize)}, nil
}

// Conn returns the underlying connection.
func (g *Gateway) Conn() net.Conn { return g.conn }

// Write sends p unchanged.
func (g *Gateway) Write(p []byte) error {
	_, err := g.conn.Write(p)
	return err
}

// ReadResponse waits for a response to the request with the FastCGI request ID, or for any response or management record if
// id is 0. Other responses that arrive are kept for later calls. ReadResponse returns an error at the deadline, at the end of
// the connection and if the server breaks the protocol. A zero deadline is no deadline.
func (g *Gateway) ReadResponse(id uint16, deadline time.Time) (Response, error) {
	if err := g.conn.SetReadDeadline(deadline); err != nil {
		return Response{}, err
	}
	for {
		i := slices.IndexFunc(g.pending, func(r Response) bool { return id == 0 || r.ID == id })
		if i >= 0 {
			response := g.pending[i]
			g.pending = append(g.pending[:i], g.pending[i+1:]...)
			return response, nil
		}
		n, err := g.conn.Read(g.buf)
		if err != nil {
			return Response{}, err
		}
		responses, err := g.reader.Feed(g.buf[:n])
		g.pending = append(g.pending, responses...)
		if err != nil {
			return Response{}, err
		}
	}
}

// Close closes the connection.
func (g *Gateway) Close() { g.conn.Close() }
