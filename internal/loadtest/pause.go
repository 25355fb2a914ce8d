package loadtest

import "time"

const (
	// pauseCheckInterval is how often pauses of the machine are looked for, and minPause the shortest that counts.
	pauseCheckInterval = 5 * time.Millisecond
	minPause           = 20 * time.Millisecond
)

// watchPauses reports the times for which this process got no processor, until done is closed. The daemon gets none in such
// a time either, so an answer may be late through no fault of its own.
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
