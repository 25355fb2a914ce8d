package capture

import (
	"fmt"
	"time"
)

// ReadArrivals returns the times at which the first attempts of a capture reached the machine, for load tests and simulations
// to replay. The times are relative to the first one and never decrease: a time before its predecessor is raised to the
// predecessor.
// ReadArrivals returns an error if the capture has no first attempts.
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
		return nil, fmt.Errorf("%s: capture has no first attempts, want at least one", path)
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
