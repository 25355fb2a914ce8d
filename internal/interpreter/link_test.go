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

// recordingHandler is the Handler of a link under test. It records the events and the commands that the link sends.
type recordingHandler struct {
	t        *testing.T
	link     *Link
	events   []string
	commands []string          // without queries
	lastTags map[string]string // the tag of the last query, by its operation
}

func newRecordingHandler(t *testing.T) *recordingHandler {
	h := &recordingHandler{t: t, lastTags: map[string]string{}}
	h.link = NewLink(h)
	return h
}

func (h *recordingHandler) InterpreterStarted(cold bool, age time.Duration) {
	h.events = append(h.events, fmt.Sprintf("up %t %v", cold, age))
}
func (h *recordingHandler) CallRequested(id string) {
	h.events = append(h.events, "call requested by "+id)
}

func (h *recordingHandler) RunFinished(id string, outcome Outcome, result []byte) {
	h.events = append(h.events, fmt.Sprintf("%s %s %q", id, outcome, result))
}
func (h *recordingHandler) ReportError(_ string, err error) {
	h.events = append(h.events, "error "+err.Error())
}

// write records the commands that the link sends.
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

// connect connects the link and feeds it the banner, the missed notices, and the answer that makes it synced.
func (h *recordingHandler) connect(missed ...string) {
	h.t.Helper()
	h.link.Connected(h.write, testStart)
	h.feed(`{"op":"BANNER","end":"WARM","ms":20}`)
	h.feed(missed...)
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0,0,0,0]}`, h.lastTags["TOP"]))
	if !h.link.IsSynced() {
		h.t.Fatal("the link is not synced")
	}
}

// feed passes lines from the interpreter to the link.
func (h *recordingHandler) feed(lines ...string) {
	h.t.Helper()
	for _, line := range lines {
		if err := h.link.Feed([]byte(line + "\n")); err != nil {
			h.t.Fatal(err)
		}
	}
}

// expect compares the commands and events that were recorded since its last call with the given ones.
func (h *recordingHandler) expect(commands, events []string) {
	h.t.Helper()
	if !slices.Equal(h.commands, commands) {
		h.t.Errorf("sent commands %q, want %q", h.commands, commands)
	}
	if !slices.Equal(h.events, events) {
		h.t.Errorf("events %q, want %q", h.events, events)
	}
	h.commands, h.events = nil, nil
}

const startedWarm = "up false 20ms"

// TestRunFinished finishes one of two runs. The body and the result contain bytes that are not text.
func TestRunFinished(t *testing.T) {
	h := newRecordingHandler(t)
	h.connect()
	h.link.Submit("a1", "look", []byte("\x00\xff"))
	h.link.Submit("a2", "look", nil)
	h.feed(`{"op":"TRACE","seq":1,"end":"hello"}`, `{"op":"VALUE","seq":2,"id":"a1","end":"OK","ms":5,"body":"AP8="}`)
	h.expect([]string{"CONNECT 0", `APPLY a1 look "\x00\xff"`, `APPLY a2 look ""`}, []string{startedWarm, `a1 OK "\x00\xff"`})
	if h.link.OpenRuns() != 1 {
		t.Errorf("%d open runs, want 1", h.link.OpenRuns())
	}
}

// TestSyncsWhenInterpreterComesUp connects to an interpreter that is not up and rejects the query sent after CONNECT, as the
// platform's interpreter does. Runs must be submitted as soon as it is up, without a Tick in between.
func TestSyncsWhenInterpreterComesUp(t *testing.T) {
	h := newRecordingHandler(t)
	h.link.Connected(h.write, testStart)
	h.link.Submit("a1", "look", nil)
	h.feed(`{"op":"ERROR","end":"TOP","id":"1"}`)
	h.expect([]string{"CONNECT 0"}, nil)
	h.feed(`{"op":"BANNER","end":"COLD","ms":0}`)
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0,0,0,0]}`, h.lastTags["TOP"]))
	h.expect([]string{`APPLY a1 look ""`}, []string{"up true 0s"})
}

// TestGaugesNotAllowed uses a site that does not allow TOP. The rejection of TOP must make the link synced, as an answer
// does, and a rejected gauge query must fail immediately.
func TestGaugesNotAllowed(t *testing.T) {
	h := newRecordingHandler(t)
	h.link.Connected(h.write, testStart)
	h.feed(`{"op":"BANNER","end":"WARM","ms":20}`, `{"op":"ERROR","end":"TOP","id":"1"}`)
	h.link.Submit("a1", "look", nil)
	h.expect([]string{"CONNECT 0", `APPLY a1 look ""`}, []string{startedWarm, "error TOP 1"})
	answered, got := false, true
	h.link.QueryGauges(testStart, func(_ []float64, ok bool) { answered, got = true, ok })
	h.feed(fmt.Sprintf(`{"op":"ERROR","end":"TOP","id":%q}`, h.lastTags["TOP"]))
	if !answered || got {
		t.Errorf("gauge query that is not allowed: answered %t, ok %t, want true, false", answered, got)
	}
	h.feed(`{"op":"ERROR","end":"SMOKE","id":"77"}`) // no such query is pending
	if h.link.Stats.UnknownNotices != 1 {
		t.Errorf("%d unknown notices, want 1", h.link.Stats.UnknownNotices)
	}
}

// TestLateBanner checks that commands are kept until the interpreter is up, and that its start is reported once.
func TestLateBanner(t *testing.T) {
	h := newRecordingHandler(t)
	h.link.Connected(h.write, testStart)
	h.link.Submit("a1", "look", nil)
	h.expect([]string{"CONNECT 0"}, nil)
	h.link.Tick(testStart.Add(time.Minute))
	h.feed(`{"op":"BANNER","end":"COLD","ms":7}`)
	h.link.Tick(testStart.Add(2 * time.Minute)) // the first TOP has expired, so another one is sent
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, h.lastTags["TOP"]))
	h.expect([]string{`APPLY a1 look ""`}, []string{"up true 7ms"})
	h.connect()
	h.expect([]string{"CONNECT 0", `APPLY a1 look ""`}, nil)
}

// TestReconnect loses the connection while there are four runs: one finishes before the reconnect, one is in flight, one was
// never received by the interpreter, and one is to be stopped. Nothing may be submitted before the missed notices have been
// read, since the finished run must not start again.
func TestReconnect(t *testing.T) {
	h := newRecordingHandler(t)
	h.connect()
	for _, id := range []string{"finished", "running", "stopping"} {
		h.link.Submit(id, "look", nil)
	}
	h.feed(`{"op":"TRACE","seq":1,"end":""}`)
	h.link.Disconnected()
	h.link.Stop("stopping")
	h.link.Submit("new", "look", nil)
	h.commands, h.events = nil, nil
	h.link.Connected(h.write, testStart)
	h.expect([]string{"CONNECT 1"}, nil)
	h.feed(`{"op":"BANNER","end":"WARM","ms":9000}`)
	h.feed(`{"op":"VALUE","seq":1,"id":"running","end":"OK","ms":1,"body":""}`) // number 1 has already been read
	h.feed(`{"op":"VALUE","seq":2,"id":"finished","end":"OK","ms":1,"body":"eA=="}`)
	h.expect(nil, []string{`finished OK "x"`})
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, h.lastTags["TOP"]))
	h.expect([]string{`APPLY running look ""`, `APPLY stopping look ""`, "BREAK stopping", `APPLY new look ""`}, nil)
	if c := h.link.Stats; c.Resubmitted != 2 || c.Submitted != 4 || c.DuplicateNotices != 1 || c.Connects != 2 {
		t.Errorf("counters %+v, want 2 resubmitted, 4 submitted, 1 duplicate notice, 2 connects", c)
	}
	h.feed(`{"op":"VALUE","seq":3,"id":"running","end":"OK","ms":1,"body":""}`,
		`{"op":"VALUE","seq":4,"id":"running","end":"OK","ms":1,"body":""}`)
	h.expect(nil, []string{`running OK ""`})
}

// TestReceivedRunIsNotResubmitted loses the connection after the interpreter has answered a query sent after an APPLY. The
// interpreter has therefore read the APPLY, and the run must not be resubmitted on the next connection: only its BREAK is
// sent.
func TestReceivedRunIsNotResubmitted(t *testing.T) {
	h := newRecordingHandler(t)
	h.connect()
	h.link.Submit("received", "look", nil)
	h.link.QueryGauges(testStart, func([]float64, bool) {})
	h.link.Submit("unconfirmed", "look", nil)
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, h.lastTags["TOP"]))
	h.link.Stop("received")
	h.commands = nil
	h.connect()
	h.expect([]string{"CONNECT 0", "BREAK received", `APPLY unconfirmed look ""`}, []string{startedWarm})
}

// TestWithdraw checks that a run can be withdrawn once, and only before its APPLY is sent.
func TestWithdraw(t *testing.T) {
	h := newRecordingHandler(t)
	h.link.Submit("early", "look", nil)
	if !h.link.Withdraw("early") || h.link.Withdraw("early") {
		t.Error("a run whose APPLY was not sent could not be withdrawn exactly once")
	}
	h.connect()
	h.link.Submit("sent", "look", nil)
	if h.link.Withdraw("sent") {
		t.Error("a run whose APPLY was sent was withdrawn")
	}
	h.link.Stop("sent")
	h.link.Stop("sent")
	h.expect([]string{"CONNECT 0", `APPLY sent look ""`, "BREAK sent"}, []string{startedWarm})
	h.feed(`{"op":"VALUE","seq":1,"id":"sent","end":"STOPPED","ms":1}`)
	h.expect(nil, []string{`sent STOPPED ""`})
}

// TestQueries sends queries that are answered out of order, with the wrong type of notice, negatively, too late, or not at
// all because there is no connection or it is lost.
func TestQueries(t *testing.T) {
	h := newRecordingHandler(t)
	var got []string
	queryGauges := func(name string) {
		h.link.QueryGauges(testStart, func(values []float64, ok bool) { got = append(got, fmt.Sprint(name, values, ok)) })
	}
	checkHealth := func(name string) {
		h.link.CheckHealth(testStart, func(ok bool) { got = append(got, fmt.Sprint(name, ok)) })
	}
	checkHealth("unconnected ")
	h.connect()
	queryGauges("a")
	a := h.lastTags["TOP"]
	checkHealth("b ")
	h.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"ERROR"}`, a)) // the wrong type of answer
	h.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"OK"}`, h.lastTags["SMOKE"]))
	h.feed(fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[0.5,3]}`, a))
	checkHealth("c ")
	h.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"ERROR"}`, h.lastTags["SMOKE"]))
	checkHealth("d ")
	h.link.Tick(testStart.Add(QueryTimeout - 1))
	h.link.Tick(testStart.Add(QueryTimeout))
	h.feed(fmt.Sprintf(`{"op":"SMOKED","tag":%q,"end":"OK"}`, h.lastTags["SMOKE"]))
	queryGauges("e")
	h.link.Disconnected()
	want := []string{"unconnected false", "b true", "a[0.5 3] true", "c false", "d false", "e[] false"}
	if !slices.Equal(got, want) {
		t.Errorf("query results %q, want %q", got, want)
	}
}

// TestRejectedCommand checks that a rejected APPLY finishes its run and that rejected commands are reported.
func TestRejectedCommand(t *testing.T) {
	h := newRecordingHandler(t)
	h.connect()
	h.link.Submit("a1", "look", nil)
	h.feed(`{"op":"ERROR","end":"APPLY","id":"a1"}`, `{"op":"ERROR","end":"BREAK","id":"a1"}`)
	h.expect([]string{"CONNECT 0", `APPLY a1 look ""`},
		[]string{startedWarm, "error APPLY a1", `a1 rejected ""`, "error BREAK a1"})
}

// TestSplitLines feeds two notices split at every position, and then lines that are not notices.
func TestSplitLines(t *testing.T) {
	text := `{"op":"VALUE","seq":1,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\r\n\n" + `{"op":"NEW","x":1}` + "\n"
	for cut := range text {
		h := newRecordingHandler(t)
		h.connect()
		h.link.Submit("a1", "look", nil)
		h.events = nil
		for _, p := range []string{text[:cut], text[cut:]} {
			if err := h.link.Feed([]byte(p)); err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(h.events, []string{`a1 OK "x"`}) || h.link.Stats.UnknownNotices != 1 {
			t.Fatalf("split at byte %d: events %q", cut, h.events)
		}
	}
	h := newRecordingHandler(t)
	h.connect()
	if err := h.link.Feed([]byte("{]\n")); err == nil {
		t.Error("a line that is not JSON was accepted")
	}
	h = newRecordingHandler(t)
	h.connect()
	var err error
	for i := 0; i < maxLineBytes && err == nil; i++ {
		err = h.link.Feed([]byte("xxxxxxxxxxxxxxxx"))
	}
	if err == nil {
		t.Error("an endless line was accepted")
	}
}

// FuzzFeed checks that no input from the interpreter causes a panic or more events than its lines account for.
func FuzzFeed(f *testing.F) {
	f.Add([]byte(`{"op":"VALUE","seq":1,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\n"))
	f.Add([]byte(`{"op":"TOPS","tag":"1","values":[1,2]}` + "\n" + `{"op":"ERROR","end":"APPLY","id":"a1"}` + "\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		h := newRecordingHandler(t)
		h.link.Connected(h.write, testStart)
		h.link.Submit("a1", "look", nil)
		if h.link.Feed(p) != nil {
			return
		}
		if events := len(h.events); events > 1+maxEvents(p) {
			t.Errorf("%d events, want at most 1 + %d", events, maxEvents(p))
		}
	})
}

// maxEvents returns the maximum number of events that the complete lines in p can cause. A rejected command causes two.
func maxEvents(p []byte) int { return 2 * strings.Count(string(p), "\n") }
