package loadtest

import "time"

const (
	// lookEvery is how often pauses of the machine are looked for, and pauseLeast the shortest that counts.
	lookEvery  = 5 * time.Millisecond
	pauseLeast = 20 * time.Millisecond
)

// watchPauses tells of the times for which this process got no processor: on such a machine the daemon gets none
// either, and an answer is late through no fault of its own.
func watchPauses(pause func(time.Duration), over <-chan struct{}) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		now := time.Now()
		if late := now.Sub(last) - lookEvery; late >= pauseLeast {
			pause(late)
		}
		last = now
	}
}
