package server

import (
	"time"

	"tillerusher/internal/forward"
)

// Counter is one counter by its name in the log.
type Counter struct {
	Name  string
	Value uint64
}

// RoutingStats is what a server that routes did and how its pools are.
type RoutingStats struct {
	Counters []Counter
	Pools    []forward.PoolState
}

// statsTimeout is how long the loop may take to tell.
const statsTimeout = time.Second

// RoutingStats asks the loop for its readings; any goroutine may call it. It returns false where the server does not route,
// has ended, or does not answer in a second.
func (s *Server) RoutingStats() (RoutingStats, bool) {
	answer := make(chan RoutingStats, 1)
	s.loop.Post(func() {
		r, ok := s.backend.(*router)
		if !ok {
			close(answer)
			return
		}
		var told RoutingStats
		for _, c := range r.Counters() {
			told.Counters = append(told.Counters, Counter{c.name, c.value})
		}
		told.Pools = r.PoolStates()
		answer <- told
	})
	select {
	case told, ok := <-answer:
		return told, ok
	case <-time.After(statsTimeout):
		return RoutingStats{}, false
	}
}
