//go:build review

package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tillerusher/internal/fake"
)

// crowd is a crowd of bad clients. Each connects, sends a part of one request or of a few, halts half way, stays for a while
// and closes its connection. A client sends the same again a little after it is turned away. It reads whatever it is sent.
type crowd struct {
	addr           string
	stay           time.Duration
	sent, rejected atomic.Int64
	wg             sync.WaitGroup
}

// halfRequest returns the beginning of a request: size bytes of parameters that do not end.
func halfRequest(id uint16, size int) []byte {
	value := string(bytes.Repeat([]byte("x"), size))
	b := fake.EncodeBeginRequest(id, 1, true)
	return append(b, fake.EncodeRecord(fake.Params, id, fake.EncodePair("HTTP_X", value, true), 0)...)
}

// turnedAwayWait is the time from a refusal until a client sends the same again, and from the end of its connection until it
// connects again.
const turnedAwayWait = 5 * time.Millisecond

// start starts clients that halt after a random number of bytes from low to high, in each of a number of requests.
func (c *crowd) start(random *rand.Rand, clients, requests, low, high int) {
	for range clients {
		var parts [][]byte
		for id := range requests {
			parts = append(parts, halfRequest(uint16(id+1), low+random.IntN(high-low)))
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for end := time.Now().Add(c.stay); time.Now().Before(end); time.Sleep(turnedAwayWait) {
				c.play(parts, end)
			}
		}()
	}
}

// play connects and sends parts of requests until the server ends the connection, at most until the end.
func (c *crowd) play(parts [][]byte, end time.Time) {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetReadDeadline(end)
	for _, part := range parts {
		c.sent.Add(1)
		conn.Write(part)
	}
	var reader fake.ResponseReader
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		answers, _ := reader.Feed(buf[:n])
		for _, a := range answers {
			c.rejected.Add(1)
			time.Sleep(turnedAwayWait)
			c.sent.Add(1)
			conn.Write(parts[a.ID-1])
		}
		if err != nil {
			return
		}
	}
}
