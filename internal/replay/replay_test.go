package replay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// shelf is a folder in memory.
type shelf struct {
	mu    sync.Mutex
	files map[string]*bytes.Buffer
}

type shelved struct {
	s *shelf
	b *bytes.Buffer
}

func (f shelved) Write(p []byte) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	return f.b.Write(p)
}

func (f shelved) Close() error { return nil }

func (s *shelf) Create(name string) (io.WriteCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[name] = &bytes.Buffer{}
	return shelved{s, s.files[name]}, nil
}

func (s *shelf) List() (map[string]int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes := map[string]int64{}
	for name, b := range s.files {
		sizes[name] = int64(b.Len())
	}
	return sizes, nil
}

func (s *shelf) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.files, name)
	return nil
}

func testSettings() admission.Settings {
	return admission.Settings{Servers: 2, Callers: 3, Cores: 2, Tick: 5 * time.Millisecond, MemoryKB: 10000, KeyKB: 50,
		RunningMemoryFactor: 16, MaxConcurrencyFactor: 8, MaxRetryAfter: time.Second, CallerIdleTimeout: 15 * time.Second, HasDeadlines: true,
		DrainGracePeriod: 300 * time.Millisecond, StopMode: admission.StopDiscard, Downstream: admission.DependencyTier,
		ResultFreshness: time.Second, Feedback: admission.FeedbackCredit,
		Classes: []admission.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Weight: 1, SkippedCallWeight: 0.5},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2, Effect: admission.IdempotentByKey, KeyWindow: 5 * time.Second},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2, Effect: admission.NonIdempotent}},
		Tenants: []admission.Tenant{{Quota: 55}, {Quota: 26}}}
}

// draw makes up a stream of events, legal or not, for a module behind a tap.
func draw(t *rapid.T, e admission.Events) {
	now, last := time.Duration(0), admission.RequestID(0)
	for range rapid.IntRange(1, 60).Draw(t, "rounds") {
		// The clock stands, goes on, or jumps by minutes.
		now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 7 * time.Millisecond, 90 * time.Millisecond,
			3 * time.Minute}).Draw(t, "wait")
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			id := admission.RequestID(rapid.Uint32Range(0, uint32(last)).Draw(t, "id"))
			outcome := admission.Outcome(rapid.IntRange(0, int(admission.NotStarted)).Draw(t, "outcome"))
			switch rapid.IntRange(0, 12).Draw(t, "kind") {
			case 0:
				e.Cancel(now, id)
			case 1, 2, 3:
				e.RunFinished(now, id, outcome)
			case 4:
				e.CallRequested(now, id)
			case 5:
				e.CallFinished(now, id, outcome, time.Duration(id)*time.Millisecond)
			case 6:
				e.Timer(now, 0, admission.Gauges{Utilization: rapid.Float64Range(-1, 1).Draw(t, "busy"),
					Runnable: float64(rapid.IntRange(-1, 5).Draw(t, "runnable"))})
			case 7:
				if last > 40 {
					e.Drain(now, 3*time.Second)
				}
			default:
				last++
				e.Request(now, admission.Request{ID: last, Class: rapid.IntRange(0, 2).Draw(t, "class"),
					Tenant: int(last % 2), Caller: int(last % 3), ResourceID: uint64(id), IsRetry: id%3 == 0, RetryOf: id,
					QueueingDelay: time.Duration(id) * time.Millisecond, RemainingTime: time.Second, SizeKB: 24.5})
			}
		}
		e.Settle(now)
	}
}

// TestRandomStreams records any stream of events and replays it: the module must decide by its events alone, from
// every segment's state too.
func TestRandomStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir := &shelf{files: map[string]*bytes.Buffer{}}
		cfg := capture.DefaultConfig()
		cfg.SegmentAge = time.Duration(rapid.IntRange(1, 200).Draw(t, "age")) * time.Millisecond
		rec, err := capture.NewRecorder(dir, cfg, capture.Meta{Server: "n3"}, time.Now, func(err error) { t.Error(err) })
		if err != nil {
			t.Fatal(err)
		}
		tap := capture.NewTap(rec, &ActionRecorder{})
		m, err := admission.New(testSettings(), tap)
		if err != nil {
			t.Fatal(err)
		}
		tap.Attach(m, 0)
		draw(t, tap)
		rec.Close(time.Minute)
		segments := dir.segments(t)
		for _, fresh := range []bool{false, true} {
			r, err := Run(segments, fresh, Visitor{})
			if err != nil {
				t.Fatal(err)
			}
			if r.FirstDifference != nil || r.Skipped > 0 {
				t.Fatalf("fresh %t: %v, %d skipped", fresh, r.FirstDifference, r.Skipped)
			}
		}
		from := time.Duration(rapid.IntRange(0, 2000).Draw(t, "from")) * time.Millisecond
		piece, err := Cut(segments, Span{from, from + time.Duration(rapid.IntRange(0, 500).Draw(t, "for"))*time.Millisecond})
		if errors.Is(err, ErrEmptySpan) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		again, err := piece.Replay(nil)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(again.Records, piece.Records) {
			t.Fatal("a piece replays to other decisions")
		}
	})
}

// segments reads what is on the shelf.
func (s *shelf) segments(t interface{ Fatal(...any) }) []*capture.Segment {
	var list []*capture.Segment
	for i := range len(s.files) {
		b := s.files[fmt.Sprintf("%010d.capture", i+1)]
		if b == nil {
			t.Fatal("a segment is missing")
		}
		seg, err := capture.Parse(b.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, seg)
	}
	return list
}

// TestDifference has a record that was tampered with found at its event, with what the module knew before it.
func TestDifference(t *testing.T) {
	segments := []*capture.Segment{storm(t)}
	piece, err := LoadExcerpt(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	for i := range piece.Records {
		if r := &piece.Records[i]; r.Kind == capture.KindReject {
			r.Kind = capture.KindFail
			break
		}
	}
	path := t.TempDir() + "/x.capture"
	if err := piece.Write(path, "tampered with"); err != nil {
		t.Fatal(err)
	}
	bad, err := capture.ReadSegment(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run([]*capture.Segment{bad}, false, Visitor{})
	if err != nil || r.FirstDifference == nil || r.FirstDifference.Recorded.Kind != capture.KindFail || r.FirstDifference.Replayed.Kind != capture.KindReject ||
		r.FirstDifference.StateBefore.Queued == 0 || r.FirstDifference.Event == nil {
		t.Errorf("%v, %v", err, r.FirstDifference)
	}
	if err := piece.Write(path, "again"); err == nil {
		t.Error("a file was overwritten")
	}
}

// storm is a committed capture of a whole storm: overload, lost links, a reload and a drain.
func storm(t testing.TB) *capture.Segment {
	t.Helper()
	s, err := capture.ReadSegment("testdata/storm.capture")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestExplain tells why requests of a real storm were refused, and of what was served.
func TestExplain(t *testing.T) {
	segments := []*capture.Segment{storm(t)}
	outcomes, err := RecordedAttempts(segments, 2)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[EndStatus]int{}
	for _, o := range outcomes {
		if seen[o.Status]++; seen[o.Status] > 2 {
			continue
		}
		stories, err := Explain(segments, o.WireID)
		if err != nil || len(stories) != 1 || stories[0].Status != o.Status || stories[0].AdmissionCheck == nil {
			t.Fatalf("%+v: %v, %+v", o, err, stories)
		}
		s := stories[0]
		words := strings.Join(s.Lines(), "\n")
		if !strings.Contains(words, o.WireID) || !strings.Contains(words, "before it in the hold") {
			t.Errorf("told: %s", words)
		}
		if o.Status == StatusRejected && s.EndedOnRead && s.AdmissionCheck.Reason == admission.Admitted {
			t.Errorf("%s was refused as it was read, and no reason is told", o.WireID)
		}
	}
	if seen[StatusRejected] == 0 || seen[StatusServed] == 0 {
		t.Errorf("the storm has %v", seen)
	}
	if _, err := Explain(segments, "0123456789abcdef"); !errors.Is(err, ErrNotInCapture) {
		t.Errorf("of an unknown request: %v", err)
	}
	m, err := InspectAt(segments, segments[0].Meta.ModuleTime+time.Second, 50*time.Millisecond)
	if err != nil || m.State.Now == 0 || len(m.Decisions) == 0 {
		t.Errorf("of a moment: %v, %+v", err, m)
	}
}

// TestModel has a replay that changes nothing come near what was recorded, and more cores serve more.
func TestModel(t *testing.T) {
	segments := []*capture.Segment{storm(t)}
	recorded, err := RecordedAttempts(segments, 2)
	if err != nil {
		t.Fatal(err)
	}
	base, set, err := Simulate(segments, nil)
	if err != nil || len(base) != len(recorded) {
		t.Fatalf("%v, %d of %d outcomes", err, len(base), len(recorded))
	}
	again, _, _ := Simulate(segments, nil)
	if !reflect.DeepEqual(base, again) {
		t.Error("two modelled replays differ")
	}
	served := func(list []*Attempt) float64 {
		return float64(Summarize(list, segments[0].Meta, set.Classes)[0].Served) / float64(len(list))
	}
	if d := served(base) - served(recorded); d > 0.1 || d < -0.1 {
		t.Errorf("modelled %.3f, recorded %.3f", served(base), served(recorded))
	}
	four, _, err := Simulate(segments, ApplySettingChanges([]SettingChange{{"cores", "8"}}, segments[0].Meta))
	if err != nil || served(four) <= served(base) {
		t.Errorf("8 cores serve %.3f, 2 serve %.3f: %v", served(four), served(base), err)
	}
	c := Compare(base, four, segments[0].Meta, set.Classes)
	if len(c.Changes) == 0 {
		t.Error("no request ends otherwise")
	}
	var file bytes.Buffer
	if err := WriteAttempts(&file, segments[0].Meta, base); err != nil {
		t.Fatal(err)
	}
	back, err := ReadAttempts(&file, segments[0].Meta)
	if err != nil || !reflect.DeepEqual(back, base) {
		t.Errorf("outcomes do not come back: %v", err)
	}
	if _, _, err := Simulate(segments, ApplySettingChanges([]SettingChange{{"quota.nowhere", "8"}}, segments[0].Meta)); err == nil {
		t.Error("a tenant that is not there is changed")
	}
}

// TestCutAndShrink cuts around one refusal, shrinks it, and replays both.
func TestCutAndShrink(t *testing.T) {
	segments := []*capture.Segment{storm(t)}
	outcomes, err := RecordedAttempts(segments, 2)
	if err != nil {
		t.Fatal(err)
	}
	var last *Attempt
	for _, o := range outcomes {
		if o.Status == StatusRejected {
			last = o
		}
	}
	stories, err := Explain(segments, last.WireID)
	if err != nil {
		t.Fatal(err)
	}
	piece, err := Cut(segments, SpanOf(stories))
	if err != nil {
		t.Fatal(err)
	}
	predicate, err := ParsePredicate(fmt.Sprint("refused:", last.ID))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := LoadExcerpt(segments[0])
	if err != nil || len(piece.Records) >= len(whole.Records) {
		t.Fatalf("%v: the cut has %d of %d records", err, len(piece.Records), len(whole.Records))
	}
	small, _, err := Shrink(whole, predicate)
	if err != nil || len(small.Records) >= len(whole.Records)/2 {
		t.Fatalf("%v: %d of %d records are left", err, len(small.Records), len(whole.Records))
	}
	for name, p := range map[string]*Excerpt{"cut": piece, "small": small} {
		path := t.TempDir() + "/" + name + ".capture"
		if err := p.Write(path, name); err != nil {
			t.Fatal(err)
		}
		s, err := capture.ReadSegment(path)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run([]*capture.Segment{s}, false, Visitor{})
		if err != nil || r.FirstDifference != nil || r.Rejected == 0 {
			t.Errorf("%s: %v, %+v", name, err, r)
		}
	}
	if _, _, err := Shrink(whole, func() Predicate { return &StuckBacklog{MinDuration: time.Hour} }); !errors.Is(err, ErrNotMatched) {
		t.Errorf("a predicate that never holds: %v", err)
	}
}
