package clustersim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerusher/internal/baseline"
)

// policies are all that a server may decide by.
func policies() map[string]Policy {
	return map[string]Policy{"module": Module, "line": baseline.Line(2, 4), "nolimit": baseline.NoLimit, "codel": baseline.CoDel, "worth": baseline.Worth,
		"gradient": baseline.Gradient}
}

func play(t testing.TB, w World, p Policy, seed uint64) *Result {
	t.Helper()
	r, err := Run(context.Background(), w, p, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// seeds is how many days TestDeterminism and TestRules play of each kind; docs/design/model.md has what 50 showed.
var seeds = flag.Int("seeds", 2, "how many days of each kind are played")

// TestDeterminism plays days of all kinds twice, with one processor and with four: the results are the same to the byte.
func TestDeterminism(t *testing.T) {
	text := func(w World, p Policy, seed uint64, procs int) []byte {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
		b, err := json.Marshal(play(t, w, p, seed))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, kind := range DayKinds() {
		for n := range uint64(*seeds) {
			for name, p := range policies() {
				w := Day(kind, n)
				w.For = 8 * time.Second
				if !bytes.Equal(text(w, p, n, 1), text(w, p, n, 4)) {
					t.Errorf("%s on %s plays otherwise on four processors", name, w.Name)
				}
			}
		}
	}
}

// TestRules has the module keep all rules on days of all kinds, checked from outside.
func TestRules(t *testing.T) {
	for _, kind := range DayKinds() {
		for n := range uint64(*seeds) {
			if r := play(t, Day(kind, 1000+n), Module, n); len(r.Breaches) > 0 || r.Prevented > 0 {
				t.Errorf("%s: %d second runs prevented, %v", r.World, r.Prevented, r.Breaches)
			}
		}
	}
}

// TestStreams has one cause of chance not shift the others: another habit of gateways leaves first tries as they were.
func TestStreams(t *testing.T) {
	w := Defaults()
	w.For = 10 * time.Second
	a := play(t, w, Module, 3)
	w.Callers = []Gateway{{N: 7, Share: 1, Choice: Two, Again: Hasty, Tries: 3, Wait: 0.3}}
	b := play(t, w, Module, 3)
	if a.Requests != b.Requests {
		t.Errorf("%d requests and %d", a.Requests, b.Requests)
	}
	for i := range a.Timeline {
		if a.Timeline[i].Asked != b.Timeline[i].Asked || a.Timeline[i].Work != b.Timeline[i].Work {
			t.Fatalf("second %d asks for another: %+v, %+v", i, a.Timeline[i], b.Timeline[i])
		}
	}
}

// TestReasons tells each refusal's reason, and asking for it changes nothing.
func TestReasons(t *testing.T) {
	w := Day(Storm, 3)
	w.For = 20 * time.Second
	a := play(t, w, Module, 1)
	w.Reasons = true
	b := play(t, w, Module, 1)
	told := 0
	for _, n := range b.Reasons {
		told += n
	}
	if told == 0 || told != b.Answers[kindWords[refused]] || len(b.Reasons) < 3 {
		t.Errorf("%d refusals, %v", b.Answers[kindWords[refused]], b.Reasons)
	}
	if a.G != b.G || a.Events != b.Events {
		t.Errorf("asking changes the run: %v and %v, %d and %d events", a.G, b.G, a.Events, b.Events)
	}
}

// TestIncidents has each kind of incident strike and be over: the share sinks or stays, all that is owed is answered, and
// the fleet is as before in the end.
func TestIncidents(t *testing.T) {
	for _, what := range Whats() {
		w := Defaults()
		w.For = 40 * time.Second
		w.Load(0.6)
		i := Incident{What: what, From: 10 * time.Second, For: 8 * time.Second, Part: 0.5, Size: 3}
		switch what {
		case Deploy:
			i.Size = 0.1
		case Failing:
			i.Size = 0.5
		case Freeze:
			w.Incidents = append(w.Incidents, Incident{What: Death, From: 11 * time.Second, For: 5 * time.Second, Part: 0.2})
		}
		w.Incidents = append(w.Incidents, i)
		r := play(t, w, Module, 1)
		if len(r.Breaches) > 0 {
			t.Errorf("%v: %v", i, r.Breaches)
		}
		before, during := 0.0, 1.0
		for n, s := range r.Timeline {
			switch share := over(s.Earned, s.Asked); {
			case n < 10:
				before += share / 10
			case n < 18:
				during = min(during, share)
			}
		}
		if what != Deploy && during > before-0.02 {
			t.Errorf("%v: the share is %.3f before and %.3f at the least in it: it did not strike", i, before, during)
		}
		if !r.Recovery.Recovered {
			t.Errorf("%v: not recovered: %+v", i, r.Recovery)
		}
	}
}

// TestMetastable has gateways that try again without end keep a fleet without limits down though the jump that tipped it is
// long over, and the module bring it back.
func TestMetastable(t *testing.T) {
	w := Defaults()
	w.For = 60 * time.Second
	w.Load(0.7)
	w.Callers = []Gateway{{N: 4, Share: 1, Choice: Round, Again: Hasty, Tries: 4, Wait: 0.7, Heeds: true}}
	w.Incidents = []Incident{{What: Jump, From: 15 * time.Second, For: 6 * time.Second, Size: 2.5}}
	if r := play(t, w, baseline.NoLimit, 1); r.Recovery.Recovered {
		t.Errorf("without limits it recovers: %+v", r.Recovery)
	}
	if r := play(t, w, Module, 1); !r.Recovery.Recovered || len(r.Breaches) > 0 {
		t.Errorf("the module does not bring it back: %+v, %v", r.Recovery, r.Breaches)
	}
}

// TestFeedback has a gateway read each kind of value as PROTOCOL and WIRE say, and a world of each kind keep the rules.
func TestFeedback(t *testing.T) {
	for _, c := range []struct {
		feedback Feedback
		value    float64
		open     int
		rank     float64
		want     bool
	}{
		{"", 0.5, 0, 0.4, false}, {Level, 0.5, 0, 0.4, false}, {Level, 0.5, 9, 0.5, true},
		{Credit, 2, 1, 0, true}, {Credit, 2, 2, 0.9, false}, {Credit, 0, 0, 0.9, false},
		{Probability, 1, 9, 0, true}, {Probability, 0, 0, 0.9, false},
		{Silent, 0, 9, 0, true},
	} {
		w := Defaults()
		w.Servers.Feedback = c.feedback
		g := &gateway{sim: &sim{world: w}, heed: stream(1, "heed", 0)}
		if got := g.wanted(&view{open: c.open, value: c.value}, &request{rank: c.rank}); got != c.want {
			t.Errorf("%q: with the value %v and %d open, a request of rank %v is wanted: %v", c.feedback, c.value, c.open, c.rank, got)
		}
	}
	for _, f := range []Feedback{Silent, Level, Credit, Probability} {
		w := Defaults()
		w.For = 10 * time.Second
		w.Load(1.5)
		w.Servers.Feedback = f
		if r := play(t, w, Module, 1); len(r.Breaches) > 0 {
			t.Errorf("%s: %v", f, r.Breaches)
		}
	}
}

// TestUnsafe has requests of a class without keys that must run once only: a gateway tries none of them again that may have run.
func TestUnsafe(t *testing.T) {
	w := Defaults()
	w.For = 10 * time.Second
	w.Classes = []Class{{Name: "gate-open", Share: 1, Work: 200 * time.Millisecond, Aim: time.Second, Deadline: 3 * time.Second,
		Worth: 1, Dist: Constant, Unsafe: true}}
	w.Load(0.2) // nothing is refused, which would be tried again
	w.Incidents = []Incident{{What: Failing, From: time.Second, For: 8 * time.Second, Part: 1, Size: 0.5}}
	r := play(t, w, Module, 1)
	if r.Answers[kindWords[failed]] == 0 {
		t.Fatal("no run failed: the test shows nothing")
	}
	if r.Again != 0 || len(r.Breaches) > 0 {
		t.Errorf("%d tries were made again after runs that failed, breaches %v", r.Again, r.Breaches)
	}
}

// TestNoServers has clients of a fleet without servers be told so, at once.
func TestNoServers(t *testing.T) {
	w := Defaults()
	w.For, w.Servers.N, w.Arrival.Rate = 3*time.Second, 0, 100
	r := play(t, w, Module, 1)
	if r.Served != 0 || r.Requests < 200 || r.Unserved[kindWords[unreachable]] != r.Requests {
		t.Errorf("%d of %d served, %v", r.Served, r.Requests, r.Unserved)
	}
}

// TestTails plays work of a Pareto distribution whose variance has no bound.
func TestTails(t *testing.T) {
	w := Defaults()
	w.For = 20 * time.Second
	for i := range w.Classes {
		w.Classes[i].Dist, w.Classes[i].CV = Pareto, 1.3
	}
	w.Load(0.7)
	if r := play(t, w, Module, 1); len(r.Breaches) > 0 || r.Share < 0.3 {
		t.Errorf("share %.3f, %v", r.Share, r.Breaches)
	}
}

// TestCheck names what makes no sense in a world.
func TestCheck(t *testing.T) {
	for name, change := range map[string]func(w *World){
		"length": func(w *World) { w.For = 0 }, "cores": func(w *World) { w.Servers.Cores = 0 }, "speed": func(w *World) { w.Servers.Speed = math.NaN() },
		"memory": func(w *World) { w.Servers.MemoryKB = 100 }, "classes": func(w *World) { w.Classes = nil },
		"a tail without a mean": func(w *World) { w.Classes[0].Dist, w.Classes[0].CV = Pareto, 1 },
		"a scan of all":         func(w *World) { w.Servers.N, w.Callers[0].Choice = 1000, Least },
		"feedback":              func(w *World) { w.Servers.Feedback = "semaphore" },
		"both effects":          func(w *World) { w.Classes[1].Unsafe = true },
		"an incident":           func(w *World) { w.Incidents = []Incident{{What: "flood"}} }, "arrivals": func(w *World) { w.Arrival.Kind = "odd" },
	} {
		w := Defaults()
		w.Classes, w.Callers = slices.Clone(w.Classes), slices.Clone(w.Callers)
		change(&w)
		if _, err := Run(context.Background(), w, Module, 1); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, Defaults(), Module, 1); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped: %v", err)
	}
}

// TestQueue compares the queue with a sorted list.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		var waiting []*event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what < 3 || len(waiting) == 0:
				waiting = append(waiting, q.set(at, nil, 0, nil))
			case what == 3:
				q.put(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "moved")], at)
			case what == 4:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "dropped")
				q.drop(waiting[i])
				q.drop(waiting[i])
				waiting = slices.Delete(waiting, i, i+1)
			default:
				i := 0
				for k, e := range waiting {
					if before(e, waiting[i]) {
						i = k
					}
				}
				if got := q.next(); got != waiting[i] {
					t.Fatalf("%v comes next, want %v", got.at, waiting[i].at)
				}
				waiting = slices.Delete(waiting, i, i+1)
			}
		}
		if len(q.heap) != len(waiting) {
			t.Fatalf("%d wait, want %d", len(q.heap), len(waiting))
		}
	})
}

// TestObserver has the observer see each kind of breach: one that can't fail checks nothing.
func TestObserver(t *testing.T) {
	w := Defaults()
	w.Servers.N = 1
	c := &w.Classes[1]
	for rule, breach := range map[Rule]func(o *observer){
		RuleLost: func(o *observer) { o.answered(1, served, c.Deadline+time.Second) },
		RuleDuplicate: func(o *observer) {
			o.ran(1, 0, 1)
			o.ended(1, 0)
			o.answered(1, refused, 2)
		},
		RuleDrain: func(o *observer) {
			o.drained(0, 0)
			o.died(0, 1, false)
		},
		RuleFallOver: func(o *observer) {
			w.Servers.MemoryKB = 1
			o.memory(0, 1)
			w.Servers.MemoryKB = 1e6
		},
	} {
		o := newObserver(&w)
		o.began(0)
		o.sent(1, 7, c, 10)
		o.arrived(1, 0, 0)
		o.wasRead(1, 0)
		if breach(o); o.broken[rule] == 0 {
			t.Errorf("%s: not seen", rule)
		}
	}
	o := newObserver(&w)
	o.began(0)
	for n := range uint64(2) {
		o.sent(n, 7, c, 10)
		o.arrived(n, 0, 0)
		o.wasRead(n, 0)
		o.ran(n, 0, 1)
	}
	if o.broken[RuleDuplicate] == 0 {
		t.Error("a second run of one key is not seen")
	}
	o.finish(time.Hour)
	if o.broken[RuleLost] == 0 {
		t.Error("what is never answered is not seen")
	}
}

// BenchmarkFleet plays fleets of all sizes at one load: what a request costs should not grow with them.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := Defaults()
			w.Servers.N = n
			for i := range w.Callers {
				w.Callers[i].N = max(2, min(n/20, 50))
			}
			w.Load(0.8)
			w.For = time.Duration(max(200_000/w.Arrival.Rate, 1) * float64(time.Second))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			requests, events := 0, uint64(0)
			for b.Loop() {
				r := play(b, w, Module, rand.Uint64())
				requests, events = requests+r.Requests, events+r.Events
			}
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(after.HeapSys-before.HeapSys)/float64(n), "B/server")
		})
	}
}
