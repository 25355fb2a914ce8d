package servertest

import (
	"testing"

	"tillerusher/internal/fake"
)

// Sizes of the incomplete requests of FillRequestMemory: a client has as many open requests as a connection may have, and the
// largest ones have as many bytes of parameters as a request may have.
const (
	incompletePerClient = 32
	largestIncomplete   = 16 << 10
	mediumIncomplete    = 1000
	smallestIncomplete  = 60
)

// FillRequestMemory has clients send incomplete requests until the memory of a server for requests is full: first large ones,
// and then smaller ones, which fit in the rest. countEnded returns the server's counter of incomplete requests that were ended
// for lack of memory, after the server has read what was written to it.
func FillRequestMemory(t testing.TB, addr string, countEnded func() uint64) {
	t.Helper()
	for _, size := range []int{largestIncomplete, mediumIncomplete, smallestIncomplete} {
		for endedBefore := countEnded(); countEnded() == endedBefore; {
			client := Dial(t, addr)
			for id := range uint16(incompletePerClient) {
				client.Write(fake.EncodeIncomplete(id+1, size))
			}
		}
	}
}
