package clustersim

import "math"

// Recovery describes whether and when the goodput of the cluster recovered after its incidents.
type Recovery struct {
	HadIncidents       bool    `json:"incidents"`
	GoodputShareBefore float64 `json:"before"` // goodput share before the first incident
	Recovered          bool    `json:"recovered"`
	RecoverySeconds    float64 `json:"after_s"` // from the end of the last incident to the recovery
	GoodputShareAfter  float64 `json:"left"`    // goodput share from the end of the last incident on
}

// Parameters of the detection of a recovery.
const (
	recoveryWindowSeconds = 5
	recoveredShare        = 0.95 // of the goodput share before the first incident
)

// detectRecovery finds the first second after the last incident from which on the goodput share of each window is at
// least recoveredShare of the share before the first incident. A metastable overload, which persists after its trigger
// has ended, shows as no recovery.
func (r *Result) detectRecovery() Recovery {
	first, last := math.Inf(1), 0.0
	for _, i := range r.config.Incidents {
		first = min(first, i.Start.Seconds())
		last = max(last, (i.Start + i.Duration).Seconds())
	}
	if math.IsInf(first, 1) {
		return Recovery{}
	}
	seconds := len(r.Timeline)
	recovery := Recovery{HadIncidents: true, GoodputShareBefore: 1}
	if begin := min(int(first), seconds); begin > 0 {
		recovery.GoodputShareBefore = r.goodputShare(0, begin)
	}
	end := min(int(math.Ceil(last)), seconds)
	recovery.GoodputShareAfter = r.goodputShare(end, seconds)
	recoveredAt := -1
	for i := seconds - recoveryWindowSeconds; i >= end; i-- {
		if r.goodputShare(i, i+recoveryWindowSeconds) < recoveredShare*recovery.GoodputShareBefore {
			break
		}
		recoveredAt = i
	}
	if recoveredAt >= 0 {
		recovery.Recovered = true
		recovery.RecoverySeconds = max(float64(recoveredAt)-last, 0)
	}
	return recovery
}
