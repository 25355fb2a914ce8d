package pool

import (
	"fmt"
	"slices"
	"time"
)

// windowSize is the number of a member's recent attempts that outlier detection considers.
const windowSize = 32

// medianInterval is the number of attempts to a member between two comparisons of median latencies. Each comparison
// needs sorting.
const medianInterval = windowSize / 4

// minErrorRateFactor is the multiple of the other members' median error rate above which a member can be ejected: if all
// members fail at a similar rate, none is an outlier.
const minErrorRateFactor = 2

// outlierSampleSize determines how many members one member is compared with. In a large pool medianOfOthers considers
// every n-th member, where n is the number of members divided by outlierSampleSize.
const outlierSampleSize = 64

// maxEjectionDoublings limits how often the ejection time is doubled.
const maxEjectionDoublings = 5

// attemptWindow holds a member's recent attempts.
type attemptWindow struct {
	latencies [windowSize]time.Duration
	failed    [windowSize]bool
	total     int // attempts since the window was last cleared, including those that it no longer holds
}

// add adds an attempt to the window.
func (w *attemptWindow) add(failed bool, latency time.Duration) {
	w.latencies[w.total%windowSize] = latency
	w.failed[w.total%windowSize] = failed
	w.total++
}

// size returns the number of attempts in the window.
func (w *attemptWindow) size() int { return min(w.total, windowSize) }

// errorRate returns the fraction of the attempts in the window that failed.
func (w *attemptWindow) errorRate() float64 {
	failures := 0
	for _, failed := range w.failed[:w.size()] {
		if failed {
			failures++
		}
	}
	return float64(failures) / float64(max(w.size(), 1))
}

// medianLatency returns the median latency of the attempts in the window, or 0 if it is empty.
func (w *attemptWindow) medianLatency() time.Duration {
	if w.total == 0 {
		return 0
	}
	sorted := w.latencies
	slices.Sort(sorted[:w.size()])
	return sorted[w.size()/2]
}

// outlierState is a member's state in outlier detection.
type outlierState struct {
	recent               attemptWindow
	isEjected            bool // until an attempt succeeds that ends at or after ejectedUntil
	ejectedUntil         time.Duration
	consecutiveEjections int
}

// detectOutlier adds an attempt to a member's window and ejects the member if it is an outlier. If the member's ejection
// time has expired, a successful attempt ends the ejection and a failed one renews it. detectOutlier returns false if the
// member is found to be an outlier, even if MaxEjectedRatio prevents the ejection.
func (p *Pool) detectOutlier(member *poolMember, failed bool, latency, now time.Duration) bool {
	member.recent.add(failed, latency)
	if member.isEjected && now >= member.ejectedUntil {
		return p.finishEjection(member, failed, now)
	}
	if member.isEjected || member.recent.total < p.cfg.EjectionMinAttempts || p.hasSingleMember() {
		return true
	}
	if rate := member.recent.errorRate(); p.isErrorOutlier(member, rate) {
		p.eject(member, now, fmt.Sprintf("%.0f %% of its tries failed", 100*rate))
		return false
	}
	if member.recent.total%medianInterval != 0 || p.cfg.EjectionLatencyFactor == 0 {
		return true
	}
	own := member.recent.medianLatency()
	others := time.Duration(p.medianOfOthers(member, func(w *attemptWindow) float64 { return float64(w.medianLatency()) }))
	if others > 0 && float64(own) > p.cfg.EjectionLatencyFactor*float64(others) {
		p.eject(member, now, fmt.Sprintf("it takes %v where others take %v", own, others))
		return false
	}
	return true
}

// finishEjection handles an attempt to a member whose ejection time has expired: a successful attempt makes the member
// available again, a failed one ejects it again. It reports whether the attempt succeeded.
func (p *Pool) finishEjection(member *poolMember, failed bool, now time.Duration) bool {
	if failed {
		p.eject(member, now, "its probing try failed")
		return false
	}
	member.isEjected = false
	member.recent = attemptWindow{}
	p.ejected--
	p.stopRotation()
	p.beginSlowStart(member, now)
	p.recordChange(now, member.Addr, memberIn, "its probing try went well")
	return true
}

// isErrorOutlier reports whether a member's error rate has reached EjectionErrorRate and is more than minErrorRateFactor
// times the median of the others.
func (p *Pool) isErrorOutlier(member *poolMember, rate float64) bool {
	return p.cfg.EjectionErrorRate > 0 && rate >= p.cfg.EjectionErrorRate &&
		rate > minErrorRateFactor*p.medianOfOthers(member, (*attemptWindow).errorRate)
}

// medianOfOthers returns the median of a metric over the other members that are not ejected and have attempts in their
// windows, or 0 if there are none. In a large pool it considers only every n-th member.
func (p *Pool) medianOfOthers(excluded *poolMember, metric func(*attemptWindow) float64) float64 {
	var values []float64
	step := max(len(p.members)/outlierSampleSize, 1)
	for i := 0; i < len(p.members); i += step {
		member := p.members[i]
		if member != excluded && !member.isEjected && member.recent.total > 0 {
			values = append(values, metric(&member.recent))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// eject ejects a member for a limited time, if MaxEjectedRatio allows another ejection. A member that is already ejected,
// because its probe failed, is always ejected again, for longer.
func (p *Pool) eject(member *poolMember, now time.Duration, cause string) {
	if !member.isEjected {
		if float64(p.ejected+1) > p.cfg.MaxEjectedRatio*float64(len(p.members)) {
			return
		}
		p.ejected++
	}
	p.stopRotation()
	member.isEjected = true
	member.recent = attemptWindow{}
	member.ejectedUntil = now + p.cfg.BaseEjectionTime<<min(member.consecutiveEjections, maxEjectionDoublings)
	p.beginSlowStart(member, member.ejectedUntil)
	member.consecutiveEjections++
	member.ejections++
	p.recordChange(now, member.Addr, memberEjected, cause)
}

// isPanicking reports whether ejections are ignored because too few members are available: the load of the whole pool
// would overload them.
func (p *Pool) isPanicking() bool {
	available := len(p.members) - p.ejected - p.failing
	return p.cfg.PanicThreshold > 0 && float64(available) < p.cfg.PanicThreshold*float64(len(p.members))
}
