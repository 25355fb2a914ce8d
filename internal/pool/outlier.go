package pool

import (
	"fmt"
	"slices"
	"time"
)

// windowSize is how many of a member's recent attempts outlier detection considers.
const windowSize = 32

// medianInterval is how many attempts of a member lie between two comparisons of medians, which cost a sort each.
const medianInterval = windowSize / 4

// minErrorRateFactor is how many times the others' error rate a member's must be for an ejection: where all fail alike,
// no member is an outlier.
const minErrorRateFactor = 2

// maxCompared bounds how many members one is compared with.
const maxCompared = 64

// maxEjectionDoublings bounds how often the time of an ejection is doubled.
const maxEjectionDoublings = 5

// attemptWindow holds a member's recent attempts.
type attemptWindow struct {
	took   [windowSize]time.Duration
	failed [windowSize]bool
	total  int // attempts since the window was last cleared, also those that it no longer holds
}

// add counts an attempt.
func (w *attemptWindow) add(failed bool, took time.Duration) {
	w.took[w.total%windowSize] = took
	w.failed[w.total%windowSize] = failed
	w.total++
}

// size returns how many attempts the window holds.
func (w *attemptWindow) size() int { return min(w.total, windowSize) }

// errorRate returns the share of the attempts that failed.
func (w *attemptWindow) errorRate() float64 {
	failures := 0
	for _, failed := range w.failed[:w.size()] {
		if failed {
			failures++
		}
	}
	return float64(failures) / float64(max(w.size(), 1))
}

// medianLatency returns the median of how long the attempts took, 0 for an empty window.
func (w *attemptWindow) medianLatency() time.Duration {
	if w.total == 0 {
		return 0
	}
	sorted := w.took
	slices.Sort(sorted[:w.size()])
	return sorted[w.size()/2]
}

// outlierState is a member's part in outlier detection.
type outlierState struct {
	recent               attemptWindow
	isEjected            bool // until a probe at or after ejectedUntil succeeds
	ejectedUntil         time.Duration
	consecutiveEjections int
}

// detectOutlier adds an attempt to a member's window, and ejects the member if that makes it an outlier or ends its
// ejection if the attempt was a successful probe. It returns false where the member is found to be an outlier, also where
// no further member may be ejected.
func (p *Pool) detectOutlier(member *poolMember, failed bool, took, now time.Duration) bool {
	member.recent.add(failed, took)
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

// finishEjection takes a member whose ejection time is over back after a successful attempt, or ejects it again after a
// failed one.
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

// isErrorOutlier reports whether a member's error rate is too high, and far over that of the others.
func (p *Pool) isErrorOutlier(member *poolMember, rate float64) bool {
	return p.cfg.EjectionErrorRate > 0 && rate >= p.cfg.EjectionErrorRate &&
		rate > minErrorRateFactor*p.medianOfOthers(member, (*attemptWindow).errorRate)
}

// medianOfOthers returns the median of a figure over the members that are not ejected and have had attempts, or 0 if
// there are none. Of a large pool it takes every n-th member.
func (p *Pool) medianOfOthers(excluded *poolMember, figure func(*attemptWindow) float64) float64 {
	var figures []float64
	step := max(len(p.members)/maxCompared, 1)
	for i := 0; i < len(p.members); i += step {
		member := p.members[i]
		if member != excluded && !member.isEjected && member.recent.total > 0 {
			figures = append(figures, figure(&member.recent))
		}
	}
	if len(figures) == 0 {
		return 0
	}
	slices.Sort(figures)
	return figures[len(figures)/2]
}

// eject takes a member out for a while, unless it is in and no further one may be taken out. A member that is ejected
// already, whose probe failed, stays out for longer.
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

// isPanicking reports whether so few members are available that ejections are ignored: the load that all members share
// would overload the few.
func (p *Pool) isPanicking() bool {
	available := len(p.members) - p.ejected - p.failing
	return p.cfg.PanicThreshold > 0 && float64(available) < p.cfg.PanicThreshold*float64(len(p.members))
}
