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

// recordingHandler is the handler of a link under test, and reads what the link sends.
type recordingHandler struct {
	t        *testing.T
	link     *Link
	events   []string
	commands []string
	lastTags map[string]string // last tag by command
}

func newRecordingHandler(t *testing.T) *recordingHandler {
	h := &recordingHandler{t: t, lastTags: map[string]string{}}
	h.link = NewLink(h)
	return h
}

func (h *recordingHandler) InterpreterStarted(cold bool, age time.Duration) {
	h.events = append(h.events, fmt.Sprintf("up %t %v", cold, age))
}
func (h *recordingHandler) CallRequested(id string) { h.events = append(h.events, "awaits "+id) }

func (h *recordingHandler) RunFinished(id string, end Outcome, result []byte) {
	h.events = append(h.events, fmt.Sprintf("%s %s %q", id, end, result))
}
func (h *recordingHandler) ReportError(_ string, err error) {
	h.events = append(h.events, "trouble "+err.Error())
}

// write takes what the link sends.
func (h *recordingHandler) write(p []byte) {
	for _, line := range strings.Split(strings.TrimSuffix(string(p), "\n"), "\n") {
		var c struct {
			Op, ID, Class, Tag string
			Seq                *uint64
			Body               *string
		}
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			h.t.Fatalf("sent %q: %v", line, err)
		}
		switch c.Op {
		case "CONNECT":
			h.commands = append(h.commands, fmt.Sprint("CONNECT ", *c.Seq))
		case "APPLY":
			body, err := base64.StdEncoding.DecodeString(*c.Body)
			if err != nil {
				h.t.Fatal(err)
			}
			h.commands = append(h.commands, fmt.Sprintf("APPLY %s %s %q", c.ID, c.Class, body))
		case "BREAK":
			h.commands = append(h.commands, "BREAK "+c.ID)
		default:
			h.lastTags[c.Op] = c.Tag
		}
	}
}

var testStart = time.Unix(1e9, 0)

// connect brings the link up: the banner, the notices that were missed, and the sign that all were read.
func (h *recordingHandler) connect(missed ...string) {
	h.t.Helper()
	h.link.Connected(h.write, testStart)
	h.feed(`{"op":"BANNER","end":"WARM","ms":20}`)
	h.feed(missed...)
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0,0,0,0]}`, h.lastTags["TOP"]))
	if !h.link.Ready() {
		h.t.Fatal("the link is not in step")
	}
}

// feed feeds lines of the interpreter.
func (h *recordingHandler) feed(lines ...string) {
	h.t.Helper()
	for _, line := range lines {
		if err := h.link.Feed([]byte(line + "\n")); err != nil {
			h.t.Fatal(err)
		}
	}
}

// expect compares what was sent and heard since the last call.
func (h *recordingHandler) expect(commands, events []string) {
	h.t.Helper()
	if !slices.Equal(h.commands, commands) {
		h.t.Errorf("sent %q, want %q", h.commands, commands)
	}
	if !slices.Equal(h.events, events) {
		h.t.Errorf("heard %q, want %q", h.events, events)
	}
	h.commands, h.events = nil, nil
}

const startedWarm = "up false 20ms"

// TestRunFinished has one request run, with any bytes in its body and result.
func TestRunFinished(t *testing.T) {
	e := newRecordingHandler(t)
	e.connect()
	e.link.Submit("a1", "look", []byte("\x00\xff"))
	e.link.Submit("a2", "look", nil)
	e.feed(`{"op":"TRACE","seq":1,"end":"hello"}`, `{"op":"VALUE","seq":2,"id":"a1","end":"OK","ms":5,"body":"AP8="}`)
	e.expect([]string{"CONNECT 0", `APPLY a1 look "\x00\xff"`, `APPLY a2 look ""`}, []string{startedWarm, `a1 OK "\x00\xff"`})
	if e.link.OpenRuns() != 1 {
		t.Errorf("%d runs", e.link.OpenRuns())
	}
}

// TestSyncsWhenInterpreterComesUp has the interpreter turn the question behind CONNECT away as it is not up, which the platform's does: runs
// are asked for as soon as it has come up, without a look by the clock in between.
func TestSyncsWhenInterpreterComesUp(t *testing.T) {
	e := newRecordingHandler(t)
	e.link.Connected(e.write, testStart)
	e.link.Submit("a1", "look", nil)
	e.feed(`{"op":"ERROR","end":"TOP","id":"1"}`)
	e.expect([]string{"CONNECT 0"}, nil)
	e.feed(`{"op":"BANNER","end":"COLD","ms":0}`)
	e.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0,0,0,0]}`, e.lastTags["TOP"]))
	e.expect([]string{`APPLY a1 look ""`}, []string{"up true 0s"})
}

// TestGaugesNotAllowed has a site that allows no TOP: an answer of that kind shows as well that the link is in step, and whoever
// asks for gauges hears at once that there are none.
func TestGaugesNotAllowed(t *testing.T) {
	e := newRecordingHandler(t)
	e.link.Connected(e.write, testStart)
	e.feed(`{"op":"BANNER","end":"WARM","ms":20}`, `{"op":"ERROR","end":"TOP","id":"1"}`)
	e.link.Submit("a1", "look", nil)
	e.expect([]string{"CONNECT 0", `APPLY a1 look ""`}, []string{startedWarm, "trouble TOP 1"})
	asked, got := false, true
	e.link.QueryGauges(testStart, func(_ []float64, ok bool) { asked, got = true, ok })
	e.feed(fmt.Sprintf(`{"op":"ERROR","end":"TOP","id":%q}`, e.lastTags["TOP"]))
	if !asked || got {
		t.Errorf("gauges that can't be had: asked %t, ok %t", asked, got)
	}
	e.feed(`{"op":"ERROR","end":"SMOKE","id":"77"}`) // of no question there is
	if e.link.Stats.UnknownNotices != 1 {
		t.Errorf("%d unknown notices, want 1", e.link.Stats.UnknownNotices)
	}
}

// TestLateBanner holds commands back until the interpreter has come up, and hears of its start once.
func TestLateBanner(t *testing.T) {
	e := newRecordingHandler(t)
	e.link.Connected(e.write, testStart)
	e.link.Submit("a1", "look", nil)
	e.expect([]string{"CONNECT 0"}, nil)
	e.link.Tick(testStart.Add(time.Minute))
	e.feed(`{"op":"BANNER","end":"COLD","ms":7}`)
	e.link.Tick(testStart.Add(2 * time.Minute)) // the first TOP was given up: it is asked again
	e.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, e.lastTags["TOP"]))
	e.expect([]string{`APPLY a1 look ""`}, []string{"up true 7ms"})
	e.connect()
	e.expect([]string{"CONNECT 0", `APPLY a1 look ""`}, nil)
}

// TestReconnect loses the link with one run that ended meanwhile, one under way, one the interpreter never
// heard of, and one to be stopped. Nothing is asked for before the missed notices were read: the run that
// ended must not start again.
func TestReconnect(t *testing.T) {
	e := newRecordingHandler(t)
	e.connect()
	for _, id := range []string{"ended", "going", "stopping"} {
		e.link.Submit(id, "look", nil)
	}
	e.feed(`{"op":"TRACE","seq":1,"end":""}`)
	e.link.Disconnected()
	e.link.Stop("stopping")
	e.link.Submit("new", "look", nil)
	e.commands, e.events = nil, nil
	e.link.Connected(e.write, testStart)
	e.expect([]string{"CONNECT 1"}, nil)
	e.feed(`{"op":"BANNER","end":"WARM","ms":9000}`)
	e.feed(`{"op":"VALUE","seq":1,"id":"going","end":"OK","ms":1,"body":""}`) // was read before as number 1
	e.feed(`{"op":"VALUE","seq":2,"id":"ended","end":"OK","ms":1,"body":"eA=="}`)
	e.expect(nil, []string{`ended OK "x"`})
	e.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, e.lastTags["TOP"]))
	e.expect([]string{`APPLY going look ""`, `APPLY stopping look ""`, "BREAK stopping", `APPLY new look ""`}, nil)
	if c := e.link.Stats; c.Resubmitted != 2 || c.Submitted != 4 || c.DuplicateNotices != 1 || c.Connects != 2 {
		t.Errorf("counters %+v", c)
	}
	e.feed(`{"op":"VALUE","seq":3,"id":"going","end":"OK","ms":1,"body":""}`, `{"op":"VALUE","seq":4,"id":"going","end":"OK","ms":1,"body":""}`)
	e.expect(nil, []string{`going OK ""`})
}

// TestReceivedRunIsNotResubmitted loses the link after the interpreter has answered a question asked behind an APPLY:
// it has read that, so the run is left alone on the next link, and only its stop is asked for again.
func TestReceivedRunIsNotResubmitted(t *testing.T) {
	e := newRecordingHandler(t)
	e.connect()
	e.link.Submit("taken", "look", nil)
	e.link.QueryGauges(testStart, func([]float64, bool) {})
	e.link.Submit("unsure", "look", nil)
	e.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, e.lastTags["TOP"]))
	e.link.Stop("taken")
	e.commands = nil
	e.connect()
	e.expect([]string{"CONNECT 0", "BREAK taken", `APPLY unsure look ""`}, []string{startedWarm})
}

// TestWithdraw takes back a run that the interpreter never heard of, and no other.
func TestWithdraw(t *testing.T) {
	e := newRecordingHandler(t)
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
	e.expect([]string{"CONNECT 0", `APPLY sent look ""`, "BREAK sent"}, []string{startedWarm})
	e.feed(`{"op":"VALUE","seq":1,"id":"sent","end":"STOPPED","ms":1}`)
	e.expect(nil, []string{`sent STOPPED ""`})
}

// TestQueries has answers in any order, one too late, one never, and one on a link that was lost.
func TestQueries(t *testing.T) {
	e := newRecordingHandler(t)
	var got []string
	top := func(name string) {
		e.link.QueryGauges(testStart, func(values []float64, ok bool) { got = append(got, fmt.Sprint(name, values, ok)) })
	}
	smoke := func(name string) {
		e.link.CheckHealth(testStart, func(ok bool) { got = append(got, fmt.Sprint(name, ok)) })
	}
	smoke("unconnected ")
	e.connect()
	top("a")
	a := e.lastTags["TOP"]
	smoke("b ")
	e.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"ERROR"}`, a)) // not what was asked
	e.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"OK"}`, e.lastTags["SMOKE"]))
	e.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0.5,3]}`, a))
	smoke("c ")
	e.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"ERROR"}`, e.lastTags["SMOKE"]))
	smoke("d ")
	e.link.Tick(testStart.Add(QueryTimeout - 1))
	e.link.Tick(testStart.Add(QueryTimeout))
	e.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"OK"}`, e.lastTags["SMOKE"]))
	top("e")
	e.link.Disconnected()
	want := []string{"unconnected false", "b true", "a[0.5 3] true", "c false", "d false", "e[] false"}
	if !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// TestRejectedCommand ends a run whose command the interpreter did not carry out.
func TestRejectedCommand(t *testing.T) {
	e := newRecordingHandler(t)
	e.connect()
	e.link.Submit("a1", "look", nil)
	e.feed(`{"op":"ERROR","end":"APPLY","id":"a1"}`, `{"op":"ERROR","end":"BREAK","id":"a1"}`)
	e.expect([]string{"CONNECT 0", `APPLY a1 look ""`},
		[]string{startedWarm, "trouble APPLY a1", `a1 rejected ""`, "trouble BREAK a1"})
}

// TestSplitLines feeds notices cut at every place, and lines that are none.
func TestSplitLines(t *testing.T) {
	text := `{"op":"VALUE","seq":1,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\r\n\n" + `{"op":"NEW","x":1}` + "\n"
	for cut := range text {
		e := newRecordingHandler(t)
		e.connect()
		e.link.Submit("a1", "look", nil)
		e.events = nil
		for _, p := range []string{text[:cut], text[cut:]} {
			if err := e.link.Feed([]byte(p)); err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(e.events, []string{`a1 OK "x"`}) || e.link.Stats.UnknownNotices != 1 {
			t.Fatalf("cut at %d: heard %q", cut, e.events)
		}
	}
	e := newRecordingHandler(t)
	e.connect()
	if err := e.link.Feed([]byte("{]\n")); err == nil {
		t.Error("a line that is no JSON was taken")
	}
	e = newRecordingHandler(t)
	e.connect()
	var err error
	for i := 0; i < maxLineBytes && err == nil; i++ {
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
		e := newRecordingHandler(t)
		e.link.Connected(e.write, testStart)
		e.link.Submit("a1", "look", nil)
		if e.link.Feed(p) != nil {
			return
		}
		if ends := len(e.events); ends > 1+maxEvents(p) {
			t.Errorf("%d events of %d lines", ends, maxEvents(p))
		}
	})
}

// maxEvents is how many events the whole lines can make: a turned-away command makes two.
func maxEvents(p []byte) int { return 2 * strings.Count(string(p), "\n") }
