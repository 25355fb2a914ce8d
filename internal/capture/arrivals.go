package capture

import (
	"fmt"
	"time"
)

// ReadArrivals are the times at which first tries reached the machine in a capture, counted from the first of them: what a
// storm or the model can play again.
func ReadArrivals(path string) ([]time.Duration, error) {
	segments, _, err := Open(path)
	if err != nil {
		return nil, err
	}
	var list []time.Duration
	for _, s := range segments {
		for i := range s.Blocks {
			err := s.Blocks[i].forEach(func(r *Record) error {
				if r.Kind == KindRequest && !r.Request.IsRetry {
					list = append(list, r.At-r.Request.QueueingDelay)
				}
				return nil
			})
			if err != nil {
				return nil, fmt.Errorf("%s: %w", s.Path, err)
			}
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%s: found no requests, want some whose arrivals can be played", path)
	}
	first := list[0]
	for i := range list {
		list[i] = max(list[i]-first, 0)
		if i > 0 {
			list[i] = max(list[i], list[i-1])
		}
	}
	return list, nil
}
