package fake

import (
	"net"
	"time"
)

// Gateway is one connection to a server.
type Gateway struct {
	conn    net.Conn
	reader  ResponseReader
	answers []Response // read and not asked for yet
	buf     []byte
}

// Dial connects to a server.
func Dial(addr string) (*Gateway, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Gateway{conn: conn, buf: make([]byte, 32<<10)}, nil
}

// Conn is the connection itself.
func (g *Gateway) Conn() net.Conn { return g.conn }

// Write sends bytes as they are.
func (g *Gateway) Write(p []byte) error {
	_, err := g.conn.Write(p)
	return err
}

// ReadResponse waits until the deadline for an answer to the request, or to any where id is 0, or for the end of the
// connection. The zero deadline is none.
func (g *Gateway) ReadResponse(id uint16, deadline time.Time) (Response, error) {
	if err := g.conn.SetReadDeadline(deadline); err != nil {
		return Response{}, err
	}
	for {
		for i, a := range g.answers {
			if id == 0 || a.ID == id {
				g.answers = append(g.answers[:i], g.answers[i+1:]...)
				return a, nil
			}
		}
		n, err := g.conn.Read(g.buf)
		if err != nil {
			return Response{}, err
		}
		answers, err := g.reader.Feed(g.buf[:n])
		g.answers = append(g.answers, answers...)
		if err != nil {
			return Response{}, err
		}
	}
}

// Close ends the connection.
func (g *Gateway) Close() { g.conn.Close() }
