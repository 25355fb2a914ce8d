package replay

import (
	"errors"
	"slices"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrNotMatched is returned if the predicate does not hold for the excerpt to shrink.
var ErrNotMatched = errors.New("replay: the predicate does not hold for the unshrunk excerpt")

// Shrink removes events from the excerpt as long as the predicate holds. It uses the delta-debugging algorithm ddmin (Zeller and
// Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002), and removes all events of a request together. The
// returned excerpt has the actions of this program instead of the recorded ones. replays is the number of replays that tested
// the predicate.
func Shrink(excerpt *Excerpt, newPredicate func() Predicate) (small *Excerpt, replays int, err error) {
	shrink := shrinker{excerpt: excerpt, newPredicate: newPredicate}
	if ok, err := shrink.holds(excerpt); err != nil {
		return nil, shrink.replays, err
	} else if !ok {
		return nil, shrink.replays, ErrNotMatched
	}
	units, err := shrink.minimize(unitsOf(excerpt))
	if err != nil {
		return nil, shrink.replays, err
	}
	small, err = excerpt.withUnits(units).Replay(nil)
	return small, shrink.replays, err
}

// shrinker is the state of Shrink.
type shrinker struct {
	excerpt      *Excerpt
	newPredicate func() Predicate
	replays      int
}

// holds replays an excerpt and reports whether the predicate holds for it.
func (s *shrinker) holds(e *Excerpt) (bool, error) {
	s.replays++
	predicate := s.newPredicate()
	_, err := e.Replay(predicate)
	return err == nil && predicate.Matched(), err
}

// minimize removes parts of the units while the predicate holds. If no part can be removed, it tries smaller parts, down to
// single units. No single unit can be removed from the result. If only one unit is left, its removal is not tried.
func (s *shrinker) minimize(units []unit) ([]unit, error) {
	for parts := 2; len(units) > 1; {
		size := (len(units) + parts - 1) / parts
		rest, ok, err := s.dropOnePart(units, size)
		if err != nil {
			return nil, err
		}
		switch {
		case ok:
			units, parts = rest, max(parts-1, 2)
		case size <= 1:
			return units, nil
		default:
			parts = min(parts*2, len(units))
		}
	}
	return units, nil
}

// dropOnePart removes the first part of the size, in units, that can be removed. It returns false if there is none.
func (s *shrinker) dropOnePart(units []unit, size int) ([]unit, bool, error) {
	for from := 0; from < len(units); from += size {
		to := min(from+size, len(units))
		rest := slices.Concat(units[:from], units[to:])
		ok, err := s.holds(s.excerpt.withUnits(rest))
		if err != nil {
			return nil, false, err
		}
		if ok {
			return rest, true, nil
		}
	}
	return nil, false, nil
}

// unit identifies records that Shrink removes together: all events of the request id or, if id is 0, the record at the index.
type unit struct {
	id    admission.RequestID
	index int
}

// unitOf returns the unit of a record. It returns false for the end of a round and for actions, which belong to no unit.
func unitOf(index int, record *capture.Record) (unit, bool) {
	switch {
	case record.Kind == capture.KindSettle || record.Kind.IsAction():
		return unit{}, false
	case record.ID != 0:
		return unit{id: record.ID}, true
	}
	return unit{index: index}, true
}

// unitsOf returns the units of an excerpt in the order of their first records.
func unitsOf(e *Excerpt) []unit {
	var units []unit
	isListed := map[unit]bool{}
	for i := range e.Records {
		if u, ok := unitOf(i, &e.Records[i]); ok && !isListed[u] {
			isListed[u] = true
			units = append(units, u)
		}
	}
	return units
}

// withUnits returns the excerpt with only the given units. It removes actions and the ends of empty rounds.
func (e *Excerpt) withUnits(units []unit) *Excerpt {
	keep := make(map[unit]bool, len(units))
	for _, u := range units {
		keep[u] = true
	}
	small := &Excerpt{Meta: e.Meta, Snapshot: e.Snapshot}
	isRoundEmpty := true
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind.IsAction() {
			continue
		}
		if u, ok := unitOf(i, r); ok && !keep[u] {
			continue
		}
		isRoundEnd := r.Kind == capture.KindSettle
		if isRoundEnd && isRoundEmpty {
			continue
		}
		isRoundEmpty = isRoundEnd
		small.Records = append(small.Records, *r)
	}
	return small
}
