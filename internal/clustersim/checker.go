package clustersim

import (
	"fmt"
	"time"
)

// Rule is one of the four that hold whatever a server decides.
type Rule string

// The rules.
const (
	RuleLost      Rule = "lost"      // no request goes without one final answer in its time
	RuleDuplicate Rule = "duplicate" // a keyed request runs once in its window, and is not turned away after it ran
	RuleDrain     Rule = "drain"     // nothing runs that came after the grace, and all is answered before the end
	RuleCrash     Rule = "fall-over" // memory and cores bear what they are given
)

// breachesKept is how many breaches are told in words.
const breachesKept = 20

// observer checks the rules from outside: it is told what happens and keeps its own account of it, in its own structures.
type observer struct {
	world    *Config
	tries    map[uint64]*sighting
	servers  []watched
	open     int // tries that arrived and are owed an answer
	broken   map[Rule]int
	breaches []string
}

// sighting is what is known of one try.
type sighting struct {
	key      uint64
	keyed    bool
	window   time.Duration
	deadline time.Duration
	readAt   time.Duration
	sizeKB   float64
	server   int
	came     time.Duration
	excused  time.Duration // of the server, when it came
	here     bool
	read     bool
	running  bool
	ran      bool
	answered bool
}

// watched is what is known of a server's process.
type watched struct {
	kb       float64                  // held and running
	keys     []time.Duration          // until when each is kept, soonest first but for a few
	keyOf    map[uint64]time.Duration // by try
	ran      map[uint64]time.Duration // by key: when the try that ran came
	tries    map[uint64]bool          // that are here and not over
	graceEnd time.Duration            // 0 before the notice to leave
	leaving  bool
	excused  time.Duration // for which the machine stood still
}

func newObserver(w *Config) *observer {
	return &observer{world: w, tries: map[uint64]*sighting{}, servers: make([]watched, w.Servers.Count), broken: map[Rule]int{}}
}

func (o *observer) breach(r Rule, format string, args ...any) {
	o.broken[r]++
	if len(o.breaches) < breachesKept {
		o.breaches = append(o.breaches, string(r)+": "+fmt.Sprintf(format, args...))
	}
}

func (o *observer) began(server int) {
	o.servers[server] = watched{keyOf: map[uint64]time.Duration{}, ran: map[uint64]time.Duration{}, tries: map[uint64]bool{},
		excused: o.servers[server].excused}
}

func (o *observer) sent(try, key uint64, c *Class, sizeKB float64) {
	o.tries[try] = &sighting{key: key, keyed: c.IdempotentByKey, window: c.KeyWindow, deadline: c.Deadline, sizeKB: sizeKB}
}

func (o *observer) arrived(try uint64, server int, now time.Duration) {
	t, s := o.tries[try], &o.servers[server]
	t.server, t.came, t.here, t.excused = server, now, true, s.excused
	s.tries[try] = true
	o.open++
}

func (o *observer) wasRead(try uint64, now time.Duration) {
	t := o.tries[try]
	t.read, t.readAt = true, now
	o.servers[t.server].kb += t.sizeKB
}

// answered hears of every answer, those that tell that nothing was taken in included.
func (o *observer) answered(try uint64, k kind, now time.Duration) {
	t := o.tries[try]
	switch {
	case t == nil:
		o.breach(RuleLost, "try %d is answered after its end, at %v", try, now)
		return
	case t.answered:
		o.breach(RuleLost, "try %d is answered twice, at %v", try, now)
		return
	}
	t.answered = true
	if !t.here {
		delete(o.tries, try)
		return
	}
	o.open--
	s := &o.servers[t.server]
	if due := max(t.came+t.deadline, t.readAt) + o.world.Servers.ResponseTolerance + s.excused - t.excused; k != broken && now > due {
		o.breach(RuleLost, "try %d is answered at %v, %v late", try, now, now-due)
	}
	if k == refused && t.keyed && t.ran {
		o.breach(RuleDuplicate, "try %d ran and is turned away at %v", try, now)
	}
	if !t.running {
		o.over(try, t)
	}
}

// over forgets a try that is answered and does not run.
func (o *observer) over(try uint64, t *sighting) {
	s := &o.servers[t.server]
	if t.read {
		s.kb -= t.sizeKB
	}
	delete(s.tries, try)
	delete(o.tries, try)
}

func (o *observer) ran(try uint64, server int, now time.Duration) {
	t, s := o.tries[try], &o.servers[server]
	if t == nil {
		o.breach(RuleLost, "try %d runs after its end, at %v", try, now)
		return
	}
	if t.keyed {
		if came, ok := s.ran[t.key]; ok && t.came < came+t.window {
			o.breach(RuleDuplicate, "key %d runs again on server %d at %v, %v after the first came", t.key, server, now, t.came-came)
		}
		s.ran[t.key] = t.came
	}
	if s.leaving && t.came > s.graceEnd {
		o.breach(RuleDrain, "try %d came %v after the grace and runs", try, t.came-s.graceEnd)
	}
	t.running, t.ran = true, true
	s.kb += t.sizeKB * (o.world.Servers.RunningMemoryFactor - 1)
}

func (o *observer) ended(try uint64, server int) {
	t := o.tries[try]
	if t == nil {
		return
	}
	t.running = false
	o.servers[server].kb -= t.sizeKB * (o.world.Servers.RunningMemoryFactor - 1)
	if t.answered {
		o.over(try, t)
	}
}

func (o *observer) kept(server int, try uint64, until time.Duration) {
	s := &o.servers[server]
	if _, again := s.keyOf[try]; !again {
		s.keys = append(s.keys, until)
	}
	s.keyOf[try] = until
}

func (o *observer) forgot(server int, try uint64) {
	s := &o.servers[server]
	until, ok := s.keyOf[try]
	if !ok {
		return
	}
	delete(s.keyOf, try)
	for i := len(s.keys) - 1; i >= 0; i-- {
		if s.keys[i] == until {
			s.keys = append(s.keys[:i], s.keys[i+1:]...)
			return
		}
	}
}

// memory tells whether a server needs more than it has, which breaks a rule.
func (o *observer) memory(server int, now time.Duration) bool {
	s := &o.servers[server]
	for len(s.keys) > 0 && s.keys[0] < now {
		s.keys = s.keys[1:]
	}
	if len(s.keyOf) > 2*len(s.keys)+1000 {
		for try, until := range s.keyOf { // in any order: what is left does not depend on it
			if until < now {
				delete(s.keyOf, try)
			}
		}
	}
	need := s.kb + float64(len(s.keys))*o.world.Servers.KeyKB
	if need <= o.world.Servers.MemoryKB {
		return false
	}
	o.fell(server, now, fmt.Sprintf("a need of %.0f KB of %.0f", need, o.world.Servers.MemoryKB))
	return true
}

func (o *observer) fell(server int, now time.Duration, cause string) {
	o.breach(RuleCrash, "server %d fell over at %v by %s", server, now, cause)
}

func (o *observer) drained(server int, graceEnd time.Duration) {
	s := &o.servers[server]
	s.leaving, s.graceEnd = true, graceEnd
}

func (o *observer) paused(server int, d time.Duration) { o.servers[server].excused += d }

// died hears of the end of a process. One that leaves owes nothing that it has read by then; one that is killed is
// excused, and what lay unread was never taken in.
func (o *observer) died(server int, now time.Duration, killed bool) {
	s, owed := &o.servers[server], 0
	for try := range s.tries { // only counted, so that the order does not matter
		t := o.tries[try]
		if t.read && !t.answered && !killed {
			owed++
		}
		t.running = false
		if t.answered {
			delete(o.tries, try)
		} else {
			t.read = false // its memory is gone with the process
		}
	}
	if owed > 0 {
		o.breach(RuleDrain, "server %d ended at %v with %d tries that it had read unanswered", server, now, owed)
	}
	s.kb, s.tries = 0, map[uint64]bool{}
}

// finish looks for what was never answered.
func (o *observer) finish(now time.Duration) {
	for range o.open {
		o.broken[RuleLost]++
	}
	if o.open > 0 {
		o.breaches = append(o.breaches, fmt.Sprintf("%s: %d tries were not answered by the end at %v", RuleLost, o.open, now))
	}
}
