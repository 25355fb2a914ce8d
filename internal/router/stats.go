package router

import (
	"time"

	"tillerusher/internal/forward"
	"tillerusher/server"
)

// Stats contains the counters of a router's backend and the state of its pools.
type Stats struct {
	Counters []server.Counter
	Pools    []forward.PoolState
}

// statsTimeout limits how long Stats waits for the event loop.
const statsTimeout = time.Second

// Stats returns the counters and the state of the pools; any goroutine may call it. It returns false if the event loop has
// ended or does not respond within statsTimeout.
func (r *Router) Stats() (Stats, bool) {
	answer := make(chan Stats, 1)
	r.Post(func() {
		answer <- Stats{Counters: r.backend.Counters(), Pools: r.backend.forwarder.PoolStates()}
	})
	select {
	case stats := <-answer:
		return stats, true
	case <-time.After(statsTimeout):
		return Stats{}, false
	}
}
