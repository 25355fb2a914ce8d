package replay

import (
	"errors"
	"slices"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrNotMatched is returned where a predicate does not hold for the excerpt that is to be shrunk.
var ErrNotMatched = errors.New("replay: the predicate does not hold for the whole")

// Shrink drops events as long as the predicate holds, by the delta-debugging algorithm ddmin (Zeller and Hildebrandt,
// Simplifying and Isolating Failure-Inducing Input, 2002). All events of a request are dropped together. The result has this
// program's own actions; replays is how often the excerpt was replayed.
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
	small, err = excerpt.only(units).Replay(nil)
	return small, shrink.replays, err
}

// shrinker is the state of Shrink.
type shrinker struct {
	excerpt      *Excerpt
	newPredicate func() Predicate
	replays      int
}

// holds reports whether the predicate holds for an excerpt.
func (s *shrinker) holds(e *Excerpt) (bool, error) {
	s.replays++
	predicate := s.newPredicate()
	_, err := e.Replay(predicate)
	return err == nil && predicate.Matched(), err
}

// minimize returns units of which none of the last tried parts can be dropped: it tries to drop parts of the units, and
// smaller ones where no part can be dropped.
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

// dropOnePart returns the units without the first part of the size that can be dropped, and false where there is none.
func (s *shrinker) dropOnePart(units []unit, size int) ([]unit, bool, error) {
	for from := 0; from < len(units); from += size {
		to := min(from+size, len(units))
		rest := slices.Concat(units[:from], units[to:])
		ok, err := s.holds(s.excerpt.only(rest))
		if err != nil {
			return nil, false, err
		}
		if ok {
			return rest, true, nil
		}
	}
	return nil, false, nil
}

// unit is dropped as a whole: a request with all its events, or one other record by its index.
type unit struct {
	id    admission.RequestID
	index int
}

// unitOf returns the unit that a record belongs to, and false for the end of a round and for actions.
func unitOf(index int, record *capture.Record) (unit, bool) {
	switch {
	case record.Kind == capture.KindSettle || record.Kind.IsAction():
		return unit{}, false
	case record.ID != 0:
		return unit{id: record.ID}, true
	}
	return unit{index: index}, true
}

// unitsOf returns an excerpt's units in order.
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

// only returns the excerpt with the units alone. Rounds of which nothing is left are dropped too.
func (e *Excerpt) only(units []unit) *Excerpt {
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
