package router

import (
	"time"

	"tillerusher/internal/forward"
	"tillerusher/server"
)

// Stats are the counters of a router's backend and the state of its pools.
type Stats struct {
	Counters []server.Counter
	Pools    []forward.PoolState
}

// statsTimeout is how long the loop may take to answer.
const statsTimeout = time.Second

// Stats asks the loop for the stats; any goroutine may call it. It returns false where the server has ended, or does not
// answer in time.
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
