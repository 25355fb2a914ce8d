package clustersim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerusher/internal/arrival"
)

// DayKind is a kind of day of the operators' brief.
type DayKind string

// The kinds of day.
const (
	Quiet    DayKind = "quiet"    // a third of what the cores can do, and nothing goes wrong
	Rough    DayKind = "rough"    // up to two thirds, and one to three incidents of the record
	Overload DayKind = "overload" // 0.9 to 1.1 of what the cores can do
	Big      DayKind = "big"      // more servers and gateways, and incidents
	Storm    DayKind = "storm"    // overload and incidents at once
)

// DayKinds are all kinds of day.
func DayKinds() []DayKind { return []DayKind{Quiet, Rough, Overload, Big, Storm} }

// between draws a figure of a range.
func between(rng *rand.Rand, from, to float64) float64 { return from + (to-from)*rng.Float64() }

// span draws a time of a range in seconds.
func span(rng *rand.Rand, from, to float64) time.Duration {
	return time.Duration(between(rng, from, to) * float64(time.Second))
}

// Day draws a day of a kind from the ranges of the operators' brief. The same number gives the same day.
func Day(kind DayKind, n uint64) World {
	rng := stream(n, "day "+string(kind), 0)
	w := Defaults()
	w.Name = fmt.Sprintf("%s-%d", kind, n)
	w.For = span(rng, 45, 55)
	s := &w.Servers
	s.N = 11 + rng.IntN(4)
	gateways := 3 + rng.IntN(3)
	if kind == Big {
		s.N, gateways = 14+rng.IntN(7), 3+rng.IntN(5)
	}
	s.Speed, s.SpeedCV = between(rng, 0.85, 1.1), between(rng, 0.05, 0.25)
	s.Thrash, s.ThrashAt = between(rng, 0.6, 0.8), between(rng, 1.2, 1.5)
	s.Read = between(rng, 0.22, 0.28)
	s.ColdShare, s.ColdFor = between(rng, 0.22, 0.48), span(rng, 5.5, 16)
	s.MemoryKB = between(rng, 13, 24) * float64(s.Cores) * s.RunFactor * (s.HoldKB[0] + s.HoldKB[1]) / 2
	lookup, reserve := &w.Classes[0], &w.Classes[1]
	lookup.Work, lookup.CV = span(rng, 0.18, 0.31), between(rng, 0.46, 1.1)
	reserve.Work, reserve.CV = span(rng, 0.3, 0.52), between(rng, 0.51, 1.2)
	w.Subjects, w.Skew = 4700+rng.IntN(24300), between(rng, 1.01, 1.2)
	w.Delay, w.ListDelay = span(rng, 0.0014, 0.0026), span(rng, 1.3, 4.6)
	w.habits(rng, gateways)
	load := map[DayKind][2]float64{Quiet: {0.25, 0.35}, Rough: {0.52, 0.66}, Overload: {0.9, 1.1}, Big: {0.62, 0.7}, Storm: {0.8, 1}}[kind]
	w.Load(between(rng, load[0], load[1]))
	for i := range w.Tenants {
		w.Tenants[i].Quota *= between(rng, 0.64, 0.92) / quotaPart
	}
	// What all keys of a window need is 15 to 33 % of the memory at full load.
	keys := w.Capacity() / float64(s.N) * reserve.Share * reserve.Window.Seconds()
	s.KeyKB = between(rng, 0.15, 0.33) * s.MemoryKB / keys
	if rng.IntN(2) == 0 {
		w.Arrival.Kind, w.Arrival.Burst, w.Arrival.Part, w.Arrival.Stay = arrival.Bursty, between(rng, 1.2, 1.6), 0.2, span(rng, 1, 4)
	} else {
		w.Arrival.Kind, w.Arrival.Swing, w.Arrival.Day = arrival.Diurnal, between(rng, 0.14, 0.3), 2*w.For
	}
	if kind == Rough || kind == Big || kind == Storm {
		for range 1 + rng.IntN(3) {
			w.Incidents = append(w.Incidents, w.incident(rng))
		}
	}
	return w
}

// habits draws one or two habits of gateways.
func (w *World) habits(rng *rand.Rand, gateways int) {
	kinds := []Gateway{{Choice: Round, Again: Unbounded, Tries: 4}, {Choice: Hash, Again: Unbounded, Tries: 4},
		{Choice: Least, Again: Budgeted, Budget: 0.2, Tries: 3}, {Choice: Two, Again: Hasty, Tries: 3, Wait: 0.7},
		{Choice: Fastest, Again: Budgeted, Budget: 0.2, Tries: 3}}
	w.Callers = nil
	n := 1 + rng.IntN(2)
	for i := range n {
		g := kinds[rng.IntN(len(kinds))]
		g.N, g.Share = max(gateways/n, 1), 1/float64(n)
		g.Heeds = i == 0 || rng.Float64() < 0.8 // 80 to 100 % of the gateways heed what they are told
		w.Callers = append(w.Callers, g)
	}
}

// incident draws one of the record.
func (w *World) incident(rng *rand.Rand) Incident {
	i := Incident{From: span(rng, 5, w.For.Seconds()*0.6)}
	switch rng.IntN(4) {
	case 0:
		i.What, i.For, i.Size, i.Rise = Jump, span(rng, 3.8, 9.2), between(rng, 1.3, 1.6), time.Second
	case 1:
		i.What, i.For, i.Part = Death, span(rng, 6.3, 24), between(rng, 0.08, 0.2)
	case 2:
		i.What, i.For, i.Part, i.Size = Slow, span(rng, 18, 35), between(rng, 0.05, 0.23), between(rng, 3.4, 9.3)
	default:
		i.What, i.For, i.Part, i.Size = Deploy, span(rng, 22, 39), between(rng, 0.49, 0.98), between(rng, 0.059, 0.2)
	}
	return i
}
