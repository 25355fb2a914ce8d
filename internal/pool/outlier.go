package pool

import (
	"fmt"
	"slices"
	"time"
)

// windowSize is how many of its last tries a member is judged by.
const windowSize = 32

// attemptWindow is a member's last tries.
type attemptWindow struct {
	took   [windowSize]time.Duration
	failed [windowSize]bool
	total  int // of all tries
}

func (w *attemptWindow) add(failed bool, took time.Duration) {
	w.took[w.total%windowSize], w.failed[w.total%windowSize] = took, failed
	w.total++
}

// size is how many tries are in the window.
func (w *attemptWindow) size() int { return min(w.total, windowSize) }

// errorRate is the part of them that failed.
func (w *attemptWindow) errorRate() float64 {
	failed := 0
	for _, f := range w.failed[:w.size()] {
		if f {
			failed++
		}
	}
	return float64(failed) / float64(max(w.size(), 1))
}

// medianLatency is the middle of how long they took.
func (w *attemptWindow) medianLatency() time.Duration {
	if w.total == 0 {
		return 0
	}
	list := w.took
	slices.Sort(list[:w.size()])
	return list[w.size()/2]
}

// detectOutlier judges a member by its last tries, and tells whether it is as the others are. A probing try that goes well
// brings it back with an empty window; one that does not keeps it out for twice as long.
func (p *Pool) detectOutlier(m *member, failed bool, took, now time.Duration) bool {
	m.recent.add(failed, took)
	if m.isEjected && now >= m.ejectedUntil {
		if failed {
			p.eject(m, now, "its probing try failed")
			return false
		}
		m.isEjected, m.recent = false, attemptWindow{}
		p.ejected--
		p.stopRotation()
		p.beginSlowStart(m, now)
		p.recordChange(now, m.Addr, "in", "its probing try went well")
		return true
	}
	if m.isEjected || m.recent.total < p.cfg.EjectionMinAttempts || p.hasSingleMember() {
		return true
	}
	if e := m.recent.errorRate(); p.cfg.EjectionErrorRate > 0 && e >= p.cfg.EjectionErrorRate && e > 2*p.medianOfOthers(m, (*attemptWindow).errorRate) {
		p.eject(m, now, fmt.Sprintf("%.0f %% of its tries failed", 100*e))
		return false
	}
	if m.recent.total%(windowSize/4) != 0 || p.cfg.EjectionLatencyFactor == 0 {
		return true // medians are looked at now and then only
	}
	mine := m.recent.medianLatency()
	theirs := time.Duration(p.medianOfOthers(m, func(w *attemptWindow) float64 { return float64(w.medianLatency()) }))
	if theirs > 0 && float64(mine) > p.cfg.EjectionLatencyFactor*float64(theirs) {
		p.eject(m, now, fmt.Sprintf("it takes %v where others take %v", mine, theirs))
		return false
	}
	return true
}

// maxCompared bounds how many members one is compared with.
const maxCompared = 64

// medianOfOthers is the median of a figure over the members in that have been seen enough.
func (p *Pool) medianOfOthers(than *member, figure func(*attemptWindow) float64) float64 {
	var list []float64
	step := max(len(p.members)/maxCompared, 1)
	for i := 0; i < len(p.members); i += step {
		if m := p.members[i]; m != than && !m.isEjected && m.recent.total > 0 {
			list = append(list, figure(&m.recent))
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// maxEjectionDoublings bounds how often the time of an ejection is doubled.
const maxEjectionDoublings = 5

// eject takes a member out for a while, unless too many are out.
func (p *Pool) eject(m *member, now time.Duration, cause string) {
	if !m.isEjected {
		if float64(p.ejected+1) > p.cfg.MaxEjectedRatio*float64(len(p.members)) {
			return
		}
		p.ejected++
	}
	p.stopRotation()
	m.isEjected, m.recent = true, attemptWindow{}
	m.ejectedUntil = now + p.cfg.BaseEjectionTime<<min(m.consecutiveEjections, maxEjectionDoublings)
	p.beginSlowStart(m, m.ejectedUntil)
	m.consecutiveEjections++
	m.ejections++
	p.recordChange(now, m.Addr, "ejected", cause)
}

// isPanicking tells whether so few members are in that ejections are passed over: a load that was shared by all would
// bring down the few.
func (p *Pool) isPanicking() bool {
	in := len(p.members) - p.ejected - p.failing
	return p.cfg.PanicThreshold > 0 && float64(in) < p.cfg.PanicThreshold*float64(len(p.members))
}
