package capture

import (
	"fmt"
	"time"
)

// ReadArrivals returns the times at which first attempts reached the machine in a capture, counted from the first of them,
// for load tests and simulations to replay. Times that would go back are raised to the one before.
func ReadArrivals(path string) ([]time.Duration, error) {
	segments, _, err := Open(path)
	if err != nil {
		return nil, err
	}
	var arrivals []time.Duration
	for _, s := range segments {
		err := s.ForEach(func(_ Position, r *Record) error {
			if r.Kind == KindRequest && !r.Request.IsRetry {
				arrivals = append(arrivals, r.At-r.Request.QueueingDelay)
			}
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Path, err)
		}
	}
	if len(arrivals) == 0 {
		return nil, fmt.Errorf("%s: found no requests, want some whose arrivals can be played", path)
	}
	first := arrivals[0]
	for i := range arrivals {
		arrivals[i] = max(arrivals[i]-first, 0)
		if i > 0 {
			arrivals[i] = max(arrivals[i], arrivals[i-1])
		}
	}
	return arrivals, nil
}
