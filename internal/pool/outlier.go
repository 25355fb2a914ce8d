package pool

import (
	"fmt"
	"slices"
	"time"
)

// windowSize is how many of its last tries a member is judged by.
const windowSize = 32

// window is a member's last tries.
type window struct {
	took   [windowSize]time.Duration
	failed [windowSize]bool
	n      int // of all tries
}

func (w *window) add(failed bool, took time.Duration) {
	w.took[w.n%windowSize], w.failed[w.n%windowSize] = took, failed
	w.n++
}

// size is how many tries are in the window.
func (w *window) size() int { return min(w.n, windowSize) }

// errors is the part of them that failed.
func (w *window) errors() float64 {
	failed := 0
	for _, f := range w.failed[:w.size()] {
		if f {
			failed++
		}
	}
	return float64(failed) / float64(max(w.size(), 1))
}

// median is the middle of how long they took.
func (w *window) median() time.Duration {
	if w.n == 0 {
		return 0
	}
	list := w.took
	slices.Sort(list[:w.size()])
	return list[w.size()/2]
}

// watch judges a member by its last tries, and tells whether it is as the others are. A probing try that goes well
// brings it back with an empty window; one that does not keeps it out for twice as long.
func (p *Pool) watch(m *member, failed bool, took, now time.Duration) bool {
	m.seen.add(failed, took)
	if m.out && now >= m.ejected {
		if failed {
			p.eject(m, now, "its probing try failed")
			return false
		}
		m.out, m.seen = false, window{}
		p.ejected--
		p.settle()
		p.startSlowly(m, now)
		p.note(now, m.Addr, "in", "its probing try went well")
		return true
	}
	if m.out || m.seen.n < p.cfg.EjectionMinAttempts || p.alone() {
		return true
	}
	if e := m.seen.errors(); p.cfg.EjectionErrorRate > 0 && e >= p.cfg.EjectionErrorRate && e > 2*p.others(m, (*window).errors) {
		p.eject(m, now, fmt.Sprintf("%.0f %% of its tries failed", 100*e))
		return false
	}
	if m.seen.n%(windowSize/4) != 0 || p.cfg.EjectionLatencyFactor == 0 {
		return true // medians are looked at now and then only
	}
	mine := m.seen.median()
	theirs := time.Duration(p.others(m, func(w *window) float64 { return float64(w.median()) }))
	if theirs > 0 && float64(mine) > p.cfg.EjectionLatencyFactor*float64(theirs) {
		p.eject(m, now, fmt.Sprintf("it takes %v where others take %v", mine, theirs))
		return false
	}
	return true
}

// mostOthers bounds how many members one is compared with.
const mostOthers = 64

// others is the median of a figure over the members in that have been seen enough.
func (p *Pool) others(than *member, figure func(*window) float64) float64 {
	var list []float64
	step := max(len(p.members)/mostOthers, 1)
	for i := 0; i < len(p.members); i += step {
		if m := p.members[i]; m != than && !m.out && m.seen.n > 0 {
			list = append(list, figure(&m.seen))
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// longestOut bounds how often the time of an ejection is doubled.
const longestOut = 5

// eject takes a member out for a while, unless too many are out.
func (p *Pool) eject(m *member, now time.Duration, cause string) {
	if !m.out {
		if float64(p.ejected+1) > p.cfg.MaxEjectedRatio*float64(len(p.members)) {
			return
		}
		p.ejected++
	}
	p.settle()
	m.out, m.seen = true, window{}
	m.ejected = now + p.cfg.BaseEjectionTime<<min(m.times, longestOut)
	p.startSlowly(m, m.ejected)
	m.times++
	m.ejections++
	p.note(now, m.Addr, "ejected", cause)
}

// panicking tells whether so few members are in that ejections are passed over: a load that was shared by all would
// bring down the few.
func (p *Pool) panicking() bool {
	in := len(p.members) - p.ejected - p.failing
	return p.cfg.PanicThreshold > 0 && float64(in) < p.cfg.PanicThreshold*float64(len(p.members))
}
