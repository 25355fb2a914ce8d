package replay

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

func testSettings() admission.Settings {
	safe := admission.Class{LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Weight: 1, SkippedCallWeight: 0.5}
	idempotent := admission.Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2,
		Effect: admission.IdempotentByKey, KeyWindow: 5 * time.Second}
	nonIdempotent := admission.Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2,
		Effect: admission.NonIdempotent}
	return admission.Settings{
		Servers: 2, Callers: 3, Cores: 2, Tick: 5 * time.Millisecond,
		MemoryKB: 10000, KeyKB: 50, RunningMemoryFactor: 16, MaxConcurrencyFactor: 8,
		MaxRetryAfter: time.Second, CallerIdleTimeout: 15 * time.Second, HasDeadlines: true,
		DrainGracePeriod: 300 * time.Millisecond, StopMode: admission.StopDiscard, Downstream: admission.DependencyTier,
		ResultFreshness: time.Second, Feedback: admission.FeedbackCredit,
		Classes: []admission.Class{safe, idempotent, nonIdempotent},
		Tenants: []admission.Tenant{{Quota: 55}, {Quota: 26}},
	}
}

// drawEvents passes random events, legal and illegal ones, to a module or to the tap in front of it.
func drawEvents(t *rapid.T, module admission.Events) {
	now, last := time.Duration(0), admission.RequestID(0)
	for range rapid.IntRange(1, 60).Draw(t, "rounds") {
		// The clock does not change, advances by milliseconds, or jumps by minutes.
		now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 7 * time.Millisecond, 90 * time.Millisecond,
			3 * time.Minute}).Draw(t, "wait")
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			id := admission.RequestID(rapid.Uint32Range(0, uint32(last)).Draw(t, "id"))
			outcome := admission.Outcome(rapid.IntRange(0, int(admission.NotStarted)).Draw(t, "outcome"))
			switch rapid.IntRange(0, 12).Draw(t, "kind") {
			case 0:
				module.Cancel(now, id)
			case 1, 2, 3:
				module.RunFinished(now, id, outcome)
			case 4:
				module.CallRequested(now, id)
			case 5:
				module.CallFinished(now, id, outcome, time.Duration(id)*time.Millisecond)
			case 6:
				module.Timer(now, 0, admission.Gauges{Utilization: rapid.Float64Range(-1, 1).Draw(t, "busy"),
					Runnable: float64(rapid.IntRange(-1, 5).Draw(t, "runnable"))})
			case 7:
				if last > 40 {
					module.Drain(now, 3*time.Second)
				}
			default:
				last++
				module.Request(now, admission.Request{ID: last, Class: rapid.IntRange(0, 2).Draw(t, "class"),
					Tenant: int(last % 2), Caller: int(last % 3), ResourceID: uint64(id), IsRetry: id%3 == 0, RetryOf: id,
					QueueingDelay: time.Duration(id) * time.Millisecond, RemainingTime: time.Second, SizeKB: 24.5})
			}
		}
		module.Settle(now)
	}
}

// TestRandomEventsReplayTheSame records random events, and checks that a replay makes the same decisions, continuously and from
// every segment's snapshot: the module's decisions may depend only on its events.
func TestRandomEventsReplayTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir := &memoryDir{files: map[string]*bytes.Buffer{}}
		config := capture.DefaultConfig()
		config.SegmentAge = time.Duration(rapid.IntRange(1, 200).Draw(t, "age")) * time.Millisecond
		recorder, err := capture.NewRecorder(dir, config, capture.Meta{Server: "n3"}, time.Now, func(err error) { t.Error(err) })
		if err != nil {
			t.Fatal(err)
		}
		tap := capture.NewTap(recorder, &ActionRecorder{})
		module, err := admission.New(testSettings(), tap)
		if err != nil {
			t.Fatal(err)
		}
		tap.Attach(module, 0)
		drawEvents(t, tap)
		recorder.Close(time.Minute)
		segments := dir.segments(t)
		for _, fresh := range []bool{false, true} {
			r, err := Run(segments, fresh, Visitor{})
			if err != nil {
				t.Fatal(err)
			}
			if r.FirstDifference != nil || r.Skipped > 0 {
				t.Fatalf("fresh %t: difference %v, %d events skipped, want none", fresh, r.FirstDifference, r.Skipped)
			}
		}
		from := time.Duration(rapid.IntRange(0, 2000).Draw(t, "from")) * time.Millisecond
		excerpt, err := Cut(segments, Span{from, from + time.Duration(rapid.IntRange(0, 500).Draw(t, "for"))*time.Millisecond})
		if errors.Is(err, ErrEmptySpan) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		again, err := excerpt.Replay(nil)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(again.Records, excerpt.Records) {
			t.Fatal("the replay of an excerpt differs from its records")
		}
	})
}

// TestTamperedRecordIsFound checks that a replay finds a changed action, and returns its event and the state before the event.
func TestTamperedRecordIsFound(t *testing.T) {
	segments := []*capture.Segment{stormSegment(t)}
	excerpt, err := LoadExcerpt(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	for i := range excerpt.Records {
		if r := &excerpt.Records[i]; r.Kind == capture.KindReject {
			r.Kind = capture.KindFail
			break
		}
	}
	path := t.TempDir() + "/x.capture"
	if err := excerpt.Write(path, "tampered with"); err != nil {
		t.Fatal(err)
	}
	bad, err := capture.ReadSegment(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run([]*capture.Segment{bad}, false, Visitor{})
	d := r.FirstDifference
	if err != nil || d == nil || d.Recorded.Kind != capture.KindFail || d.Replayed.Kind != capture.KindReject ||
		d.StateBefore.Queued == 0 || d.Event == nil {
		t.Errorf("error %v, difference %v, want recorded fail, replayed refuse and queued requests", err, d)
	}
	if err := excerpt.Write(path, "again"); err == nil {
		t.Error("Write succeeded for an existing file")
	}
}

// stormSegment reads the committed capture of a load test with overload, lost links, a reload and a drain.
func stormSegment(t testing.TB) *capture.Segment {
	t.Helper()
	s, err := capture.ReadSegment("testdata/storm.capture")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestExplainRequestsOfStorm explains two requests of each end status in the capture of a load test, an unknown request, and the
// state at a time.
func TestExplainRequestsOfStorm(t *testing.T) {
	segments := []*capture.Segment{stormSegment(t)}
	attempts, err := RecordedAttempts(segments, 2)
	if err != nil {
		t.Fatal(err)
	}
	counts := map[EndStatus]int{}
	for _, a := range attempts {
		if counts[a.Status]++; counts[a.Status] > 2 {
			continue
		}
		traces, err := Explain(segments, a.WireID)
		if err != nil || len(traces) != 1 || traces[0].Status != a.Status || traces[0].AdmissionCheck == nil {
			t.Fatalf("%+v: %v, %+v", a, err, traces)
		}
		trace := traces[0]
		text := strings.Join(trace.Lines(), "\n")
		if !strings.Contains(text, a.WireID) || !strings.Contains(text, "queued ahead of it") {
			t.Errorf("trace without the Request-Id or the requests ahead: %s", text)
		}
		if a.Status == StatusRejected && trace.EndedOnRead && trace.AdmissionCheck.Reason == admission.Admitted {
			t.Errorf("%s was rejected when it was read, but the reason is Admitted", a.WireID)
		}
	}
	if counts[StatusRejected] == 0 || counts[StatusServed] == 0 {
		t.Errorf("end statuses %v, want rejected and served attempts", counts)
	}
	if _, err := Explain(segments, "0123456789abcdef"); !errors.Is(err, ErrNotInCapture) {
		t.Errorf("unknown request: error %v, want ErrNotInCapture", err)
	}
	state, err := InspectAt(segments, segments[0].Meta.ModuleTime+time.Second, 50*time.Millisecond)
	if err != nil || state.State.Now == 0 || len(state.Decisions) == 0 {
		t.Errorf("state at a time: error %v, %+v", err, state)
	}
}

// TestSimulate checks that a simulation without changes serves about as many attempts as were recorded, and that one with more
// cores serves more.
func TestSimulate(t *testing.T) {
	segments := []*capture.Segment{stormSegment(t)}
	recorded, err := RecordedAttempts(segments, 2)
	if err != nil {
		t.Fatal(err)
	}
	base, settings, err := Simulate(segments, nil)
	if err != nil || len(base) != len(recorded) {
		t.Fatalf("error %v, %d of %d attempts", err, len(base), len(recorded))
	}
	again, _, _ := Simulate(segments, nil)
	if !reflect.DeepEqual(base, again) {
		t.Error("two simulations of the same capture differ")
	}
	served := func(list []*Attempt) float64 {
		return float64(Summarize(list, segments[0].Meta, settings.Classes)[0].Served) / float64(len(list))
	}
	if difference := served(base) - served(recorded); difference > 0.1 || difference < -0.1 {
		t.Errorf("share served: simulated %.3f, recorded %.3f, want a difference of at most 0.1", served(base), served(recorded))
	}
	eightCores, _, err := Simulate(segments, ApplySettingChanges([]SettingChange{{"cores", "8"}}, segments[0].Meta))
	if err != nil || served(eightCores) <= served(base) {
		t.Errorf("share served: %.3f with 8 cores, %.3f with 2, want more with 8: error %v", served(eightCores), served(base), err)
	}
	comparison := Compare(base, eightCores, segments[0].Meta, settings.Classes)
	if len(comparison.Changes) == 0 {
		t.Error("8 cores change the end status of no attempt")
	}
	var file bytes.Buffer
	if err := WriteAttempts(&file, segments[0].Meta, base); err != nil {
		t.Fatal(err)
	}
	read, err := ReadAttempts(&file, segments[0].Meta)
	if err != nil || !reflect.DeepEqual(read, base) {
		t.Errorf("attempts differ after they were written and read: error %v", err)
	}
	if _, _, err := Simulate(segments, ApplySettingChanges([]SettingChange{{"quota.nowhere", "8"}}, segments[0].Meta)); err == nil {
		t.Error("the quota of an unknown tenant was changed without an error")
	}
}

// TestCutAndShrink cuts an excerpt around one rejection and shrinks the capture to the rejection. It checks that both excerpts
// are smaller and replay without a difference.
func TestCutAndShrink(t *testing.T) {
	segments := []*capture.Segment{stormSegment(t)}
	attempts, err := RecordedAttempts(segments, 2)
	if err != nil {
		t.Fatal(err)
	}
	var last *Attempt
	for _, a := range attempts {
		if a.Status == StatusRejected {
			last = a
		}
	}
	traces, err := Explain(segments, last.WireID)
	if err != nil {
		t.Fatal(err)
	}
	excerpt, err := Cut(segments, SpanOf(traces))
	if err != nil {
		t.Fatal(err)
	}
	predicate, err := ParsePredicate(fmt.Sprint("refused:", last.ID))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := LoadExcerpt(segments[0])
	if err != nil || len(excerpt.Records) >= len(whole.Records) {
		t.Fatalf("error %v, the cut excerpt has %d of %d records, want fewer", err, len(excerpt.Records), len(whole.Records))
	}
	small, _, err := Shrink(whole, predicate)
	if err != nil || len(small.Records) >= len(whole.Records)/2 {
		t.Fatalf("error %v, the shrunk excerpt has %d of %d records, want less than half", err, len(small.Records), len(whole.Records))
	}
	for name, e := range map[string]*Excerpt{"cut": excerpt, "small": small} {
		path := t.TempDir() + "/" + name + ".capture"
		if err := e.Write(path, name); err != nil {
			t.Fatal(err)
		}
		s, err := capture.ReadSegment(path)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run([]*capture.Segment{s}, false, Visitor{})
		if err != nil || r.FirstDifference != nil || r.Rejected == 0 {
			t.Errorf("%s: error %v, result %+v, want a rejection and no difference", name, err, r)
		}
	}
	newNeverMatching := func() Predicate { return &StuckBacklog{MinDuration: time.Hour} }
	if _, _, err := Shrink(whole, newNeverMatching); !errors.Is(err, ErrNotMatched) {
		t.Errorf("predicate that never holds: error %v, want ErrNotMatched", err)
	}
}
