package replay

import (
	"errors"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrNotMatched says that what a piece should be shrunk to is not seen in it.
var ErrNotMatched = errors.New("replay: the predicate does not hold for the whole")

// Shrink drops events as long as the predicate holds: all events of a request at once, and timers, by the
// delta-debugging algorithm ddmin (Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002).
// What is left has this program's own actions. Runs is how often the module was run.
func Shrink(p *Excerpt, predicate func() Predicate) (small *Excerpt, runs int, err error) {
	holds := func(of *Excerpt) (bool, error) {
		runs++
		seen := predicate()
		_, err := of.Replay(seen)
		return err == nil && seen.Matched(), err
	}
	if ok, err := holds(p); err != nil {
		return nil, runs, err
	} else if !ok {
		return nil, runs, ErrNotMatched
	}
	units := unitsOf(p)
	for parts := 2; len(units) > 1; {
		size := (len(units) + parts - 1) / parts
		dropped := false
		for from := 0; from < len(units); from += size {
			rest := append(append([]unit(nil), units[:from]...), units[min(from+size, len(units)):]...)
			ok, err := holds(p.only(rest))
			if err != nil {
				return nil, runs, err
			}
			if ok {
				units, parts, dropped = rest, max(parts-1, 2), true
				break
			}
		}
		if !dropped {
			if size <= 1 {
				break
			}
			parts = min(parts*2, len(units))
		}
	}
	small, err = p.only(units).Replay(nil)
	return small, runs, err
}

// unit is what is dropped at once: a request with all that happens to it, or one other event by its place.
type unit struct {
	id    admission.RequestID
	place int
}

// unitOf is the unit that a record belongs to; settling belongs to none.
func unitOf(place int, r *capture.Record) (unit, bool) {
	switch {
	case r.Kind == capture.KindSettle || r.Kind.IsAction():
		return unit{}, false
	case r.ID != 0:
		return unit{id: r.ID}, true
	}
	return unit{place: place}, true
}

// unitsOf lists a piece's units in order.
func unitsOf(p *Excerpt) []unit {
	var units []unit
	seen := map[unit]bool{}
	for i := range p.Records {
		if u, ok := unitOf(i, &p.Records[i]); ok && !seen[u] {
			seen[u] = true
			units = append(units, u)
		}
	}
	return units
}

// only is the piece with these units; rounds in which nothing is left are dropped too.
func (p *Excerpt) only(units []unit) *Excerpt {
	keep := make(map[unit]bool, len(units))
	for _, u := range units {
		keep[u] = true
	}
	small := &Excerpt{Meta: p.Meta, Snapshot: p.Snapshot}
	open := false // something stands in this round
	for i := range p.Records {
		r := &p.Records[i]
		if r.Kind.IsAction() {
			continue
		}
		if u, ok := unitOf(i, r); ok && !keep[u] || r.Kind == capture.KindSettle && !open {
			continue
		}
		open = r.Kind != capture.KindSettle
		small.Records = append(small.Records, *r)
	}
	return small
}
