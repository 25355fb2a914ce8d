package loadtest

import "time"

const (
	// pauseCheckInterval is the interval between two checks for pauses of the machine. minPause is the shortest pause that is
	// reported.
	pauseCheckInterval = 5 * time.Millisecond
	minPause           = 20 * time.Millisecond
)

// watchPauses reports the durations for which this process got no processor time, until done is closed. The daemon gets none
// during such a pause either, so an answer may be late without a fault of the daemon.
func watchPauses(report func(time.Duration), done <-chan struct{}) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if late := now.Sub(last) - pauseCheckInterval; late >= minPause {
			report(late)
		}
		last = now
	}
}
