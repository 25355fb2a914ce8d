package interpreter

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// ear is the handler of a link under test, and reads what the link sends.
type ear struct {
	t     *testing.T
	link  *Link
	heard []string
	sent  []string
	tags  map[string]string // last tag by command
}

func newEar(t *testing.T) *ear {
	e := &ear{t: t, tags: map[string]string{}}
	e.link = NewLink(e)
	return e
}

func (e *ear) InterpreterStarted(cold bool, age time.Duration) {
	e.heard = append(e.heard, fmt.Sprintf("up %t %v", cold, age))
}
func (e *ear) CallRequested(id string) { e.heard = append(e.heard, "awaits "+id) }

func (e *ear) RunFinished(id string, end Outcome, result []byte) {
	e.heard = append(e.heard, fmt.Sprintf("%s %s %q", id, end, result))
}
func (e *ear) ReportError(_ string, err error) { e.heard = append(e.heard, "trouble "+err.Error()) }

// write takes what the link sends.
func (e *ear) write(p []byte) {
	for _, line := range strings.Split(strings.TrimSuffix(string(p), "\n"), "\n") {
		var c struct {
			Op, ID, Class, Tag string
			Seq                *uint64
			Body               *string
		}
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			e.t.Fatalf("sent %q: %v", line, err)
		}
		switch c.Op {
		case "CONNECT":
			e.sent = append(e.sent, fmt.Sprint("CONNECT ", *c.Seq))
		case "APPLY":
			body, err := base64.StdEncoding.DecodeString(*c.Body)
			if err != nil {
				e.t.Fatal(err)
			}
			e.sent = append(e.sent, fmt.Sprintf("APPLY %s %s %q", c.ID, c.Class, body))
		case "BREAK":
			e.sent = append(e.sent, "BREAK "+c.ID)
		default:
			e.tags[c.Op] = c.Tag
		}
	}
}

var start = time.Unix(1e9, 0)

// connect brings the link up: the banner, the notices that were missed, and the sign that all were read.
func (e *ear) connect(missed ...string) {
	e.t.Helper()
	e.link.Connected(e.write, start)
	e.say(`{"op":"BANNER","end":"WARM","ms":20}`)
	e.say(missed...)
	e.say(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0,0,0,0]}`, e.tags["TOP"]))
	if !e.link.Ready() {
		e.t.Fatal("the link is not in step")
	}
}

// say feeds lines of the interpreter.
func (e *ear) say(lines ...string) {
	e.t.Helper()
	for _, line := range lines {
		if err := e.link.Feed([]byte(line + "\n")); err != nil {
			e.t.Fatal(err)
		}
	}
}

// expect compares what was sent and heard since the last call.
func (e *ear) expect(sent, heard []string) {
	e.t.Helper()
	if !slices.Equal(e.sent, sent) {
		e.t.Errorf("sent %q, want %q", e.sent, sent)
	}
	if !slices.Equal(e.heard, heard) {
		e.t.Errorf("heard %q, want %q", e.heard, heard)
	}
	e.sent, e.heard = nil, nil
}

const upWarm = "up false 20ms"

// TestRun has one request run, with any bytes in its body and result.
func TestRun(t *testing.T) {
	e := newEar(t)
	e.connect()
	e.link.Submit("a1", "look", []byte("\x00\xff"))
	e.link.Submit("a2", "look", nil)
	e.say(`{"op":"TRACE","seq":1,"end":"hello"}`, `{"op":"VALUE","seq":2,"id":"a1","end":"OK","ms":5,"body":"AP8="}`)
	e.expect([]string{"CONNECT 0", `APPLY a1 look "\x00\xff"`, `APPLY a2 look ""`}, []string{upWarm, `a1 OK "\x00\xff"`})
	if e.link.OpenRuns() != 1 {
		t.Errorf("%d runs", e.link.OpenRuns())
	}
}

// TestNotUpYet has the interpreter turn the question behind CONNECT away as it is not up, which the platform's does: runs
// are asked for as soon as it has come up, without a look by the clock in between.
func TestNotUpYet(t *testing.T) {
	e := newEar(t)
	e.link.Connected(e.write, start)
	e.link.Submit("a1", "look", nil)
	e.say(`{"op":"ERROR","end":"TOP","id":"1"}`)
	e.expect([]string{"CONNECT 0"}, nil)
	e.say(`{"op":"BANNER","end":"COLD","ms":0}`)
	e.say(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0,0,0,0]}`, e.tags["TOP"]))
	e.expect([]string{`APPLY a1 look ""`}, []string{"up true 0s"})
}

// TestNoGauges has a site that allows no TOP: an answer of that kind shows as well that the link is in step, and whoever
// asks for gauges hears at once that there are none.
func TestNoGauges(t *testing.T) {
	e := newEar(t)
	e.link.Connected(e.write, start)
	e.say(`{"op":"BANNER","end":"WARM","ms":20}`, `{"op":"ERROR","end":"TOP","id":"1"}`)
	e.link.Submit("a1", "look", nil)
	e.expect([]string{"CONNECT 0", `APPLY a1 look ""`}, []string{upWarm, "trouble TOP 1"})
	asked, got := false, true
	e.link.QueryGauges(start, func(_ []float64, ok bool) { asked, got = true, ok })
	e.say(fmt.Sprintf(`{"op":"ERROR","end":"TOP","id":%q}`, e.tags["TOP"]))
	if !asked || got {
		t.Errorf("gauges that can't be had: asked %t, ok %t", asked, got)
	}
	e.say(`{"op":"ERROR","end":"SMOKE","id":"77"}`) // of no question there is
	if e.link.Stats.UnknownNotices != 1 {
		t.Errorf("%d unknown notices, want 1", e.link.Stats.UnknownNotices)
	}
}

// TestLateBanner holds commands back until the interpreter has come up, and hears of its start once.
func TestLateBanner(t *testing.T) {
	e := newEar(t)
	e.link.Connected(e.write, start)
	e.link.Submit("a1", "look", nil)
	e.expect([]string{"CONNECT 0"}, nil)
	e.link.Tick(start.Add(time.Minute))
	e.say(`{"op":"BANNER","end":"COLD","ms":7}`)
	e.link.Tick(start.Add(2 * time.Minute)) // the first TOP was given up: it is asked again
	e.say(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, e.tags["TOP"]))
	e.expect([]string{`APPLY a1 look ""`}, []string{"up true 7ms"})
	e.connect()
	e.expect([]string{"CONNECT 0", `APPLY a1 look ""`}, nil)
}

// TestReconnect loses the link with one run that ended meanwhile, one under way, one the interpreter never
// heard of, and one to be stopped. Nothing is asked for before the missed notices were read: the run that
// ended must not start again.
func TestReconnect(t *testing.T) {
	e := newEar(t)
	e.connect()
	for _, id := range []string{"ended", "going", "stopping"} {
		e.link.Submit(id, "look", nil)
	}
	e.say(`{"op":"TRACE","seq":1,"end":""}`)
	e.link.Disconnected()
	e.link.Stop("stopping")
	e.link.Submit("new", "look", nil)
	e.sent, e.heard = nil, nil
	e.link.Connected(e.write, start)
	e.expect([]string{"CONNECT 1"}, nil)
	e.say(`{"op":"BANNER","end":"WARM","ms":9000}`)
	e.say(`{"op":"VALUE","seq":1,"id":"going","end":"OK","ms":1,"body":""}`) // was read before as number 1
	e.say(`{"op":"VALUE","seq":2,"id":"ended","end":"OK","ms":1,"body":"eA=="}`)
	e.expect(nil, []string{`ended OK "x"`})
	e.say(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, e.tags["TOP"]))
	e.expect([]string{`APPLY going look ""`, `APPLY stopping look ""`, "BREAK stopping", `APPLY new look ""`}, nil)
	if c := e.link.Stats; c.Resubmitted != 2 || c.Submitted != 4 || c.DuplicateNotices != 1 || c.Connects != 2 {
		t.Errorf("counters %+v", c)
	}
	e.say(`{"op":"VALUE","seq":3,"id":"going","end":"OK","ms":1,"body":""}`, `{"op":"VALUE","seq":4,"id":"going","end":"OK","ms":1,"body":""}`)
	e.expect(nil, []string{`going OK ""`})
}

// TestTakenIsNotAskedAgain loses the link after the interpreter has answered a question asked behind an APPLY:
// it has read that, so the run is left alone on the next link, and only its stop is asked for again.
func TestTakenIsNotAskedAgain(t *testing.T) {
	e := newEar(t)
	e.connect()
	e.link.Submit("taken", "look", nil)
	e.link.QueryGauges(start, func([]float64, bool) {})
	e.link.Submit("unsure", "look", nil)
	e.say(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, e.tags["TOP"]))
	e.link.Stop("taken")
	e.sent = nil
	e.connect()
	e.expect([]string{"CONNECT 0", "BREAK taken", `APPLY unsure look ""`}, []string{upWarm})
}

// TestWithdraw takes back a run that the interpreter never heard of, and no other.
func TestWithdraw(t *testing.T) {
	e := newEar(t)
	e.link.Submit("early", "look", nil)
	if !e.link.Withdraw("early") || e.link.Withdraw("early") {
		t.Error("a run that was not sent could not be taken back once")
	}
	e.connect()
	e.link.Submit("sent", "look", nil)
	if e.link.Withdraw("sent") {
		t.Error("a run that was sent was taken back")
	}
	e.link.Stop("sent")
	e.link.Stop("sent")
	e.expect([]string{"CONNECT 0", `APPLY sent look ""`, "BREAK sent"}, []string{upWarm})
	e.say(`{"op":"VALUE","seq":1,"id":"sent","end":"STOPPED","ms":1}`)
	e.expect(nil, []string{`sent STOPPED ""`})
}

// TestQuestions has answers in any order, one too late, one never, and one on a link that was lost.
func TestQuestions(t *testing.T) {
	e := newEar(t)
	var got []string
	top := func(name string) {
		e.link.QueryGauges(start, func(values []float64, ok bool) { got = append(got, fmt.Sprint(name, values, ok)) })
	}
	smoke := func(name string) {
		e.link.CheckHealth(start, func(ok bool) { got = append(got, fmt.Sprint(name, ok)) })
	}
	smoke("unconnected ")
	e.connect()
	top("a")
	a := e.tags["TOP"]
	smoke("b ")
	e.say(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"ERROR"}`, a)) // not what was asked
	e.say(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"OK"}`, e.tags["SMOKE"]))
	e.say(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0.5,3]}`, a))
	smoke("c ")
	e.say(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"ERROR"}`, e.tags["SMOKE"]))
	smoke("d ")
	e.link.Tick(start.Add(QueryTimeout - 1))
	e.link.Tick(start.Add(QueryTimeout))
	e.say(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"OK"}`, e.tags["SMOKE"]))
	top("e")
	e.link.Disconnected()
	want := []string{"unconnected false", "b true", "a[0.5 3] true", "c false", "d false", "e[] false"}
	if !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// TestTurnedAway ends a run whose command the interpreter did not carry out.
func TestTurnedAway(t *testing.T) {
	e := newEar(t)
	e.connect()
	e.link.Submit("a1", "look", nil)
	e.say(`{"op":"ERROR","end":"APPLY","id":"a1"}`, `{"op":"ERROR","end":"BREAK","id":"a1"}`)
	e.expect([]string{"CONNECT 0", `APPLY a1 look ""`},
		[]string{upWarm, "trouble APPLY a1", `a1 rejected ""`, "trouble BREAK a1"})
}

// TestSplitLines feeds notices cut at every place, and lines that are none.
func TestSplitLines(t *testing.T) {
	text := `{"op":"VALUE","seq":1,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\r\n\n" + `{"op":"NEW","x":1}` + "\n"
	for cut := range text {
		e := newEar(t)
		e.connect()
		e.link.Submit("a1", "look", nil)
		e.heard = nil
		for _, p := range []string{text[:cut], text[cut:]} {
			if err := e.link.Feed([]byte(p)); err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(e.heard, []string{`a1 OK "x"`}) || e.link.Stats.UnknownNotices != 1 {
			t.Fatalf("cut at %d: heard %q", cut, e.heard)
		}
	}
	e := newEar(t)
	e.connect()
	if err := e.link.Feed([]byte("{]\n")); err == nil {
		t.Error("a line that is no JSON was taken")
	}
	e = newEar(t)
	e.connect()
	var err error
	for i := 0; i < maxLine && err == nil; i++ {
		err = e.link.Feed([]byte("xxxxxxxxxxxxxxxx"))
	}
	if err == nil {
		t.Error("a line without an end was taken")
	}
}

// FuzzFeed makes sure that nothing the interpreter writes panics.
func FuzzFeed(f *testing.F) {
	f.Add([]byte(`{"op":"VALUE","seq":1,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\n"))
	f.Add([]byte(`{"op":"TOPS","tag":"1","values":[1,2]}` + "\n" + `{"op":"ERROR","end":"APPLY","id":"a1"}` + "\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		e := newEar(t)
		e.link.Connected(e.write, start)
		e.link.Submit("a1", "look", nil)
		if e.link.Feed(p) != nil {
			return
		}
		if ends := len(e.heard); ends > 1+lineEvents(p) {
			t.Errorf("%d events of %d lines", ends, lineEvents(p))
		}
	})
}

// lineEvents is how many events the whole lines can make: a turned-away command makes two.
func lineEvents(p []byte) int { return 2 * strings.Count(string(p), "\n") }
