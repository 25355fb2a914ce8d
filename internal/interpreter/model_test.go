package interpreter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeInterpreter is an interpreter whose connection can be lost at any time, together with everything in transit. It is
// also the link's Handler.
type fakeInterpreter struct {
	t           *rapid.T
	link        *Link
	isConnected bool             // the interpreter has read CONNECT on this connection
	commands    []map[string]any // commands in transit to the interpreter
	inTransit   []string         // lines in transit from the interpreter
	notices     []string         // all numbered notices sent so far, in the order of their numbers
	startCount  map[string]int
	running     []string
	finished    map[string]bool
	finishCount map[string]int
}

func (f *fakeInterpreter) InterpreterStarted(bool, time.Duration) {}
func (f *fakeInterpreter) ReportError(message string, err error)  { f.t.Fatalf("%s: %v", message, err) }

func (f *fakeInterpreter) CallRequested(id string) { f.t.Fatalf("run %s requested a call", id) }

func (f *fakeInterpreter) RunFinished(id string, outcome Outcome, _ []byte) {
	f.finishCount[id]++
	if outcome != OutcomeOK {
		f.t.Fatalf("run %s finished with outcome %s, want OK", id, outcome)
	}
}

// write adds commands to those in transit to the interpreter.
func (f *fakeInterpreter) write(p []byte) {
	for line := range strings.SplitSeq(strings.TrimSpace(string(p)), "\n") {
		var c map[string]any
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			f.t.Fatal(err)
		}
		f.commands = append(f.commands, c)
	}
}

// connect replaces the connection, if there is one, by a new one.
func (f *fakeInterpreter) connect() {
	f.commands, f.inTransit, f.isConnected = nil, nil, false
	f.link.Connected(f.write, testStart)
}

// disconnect closes the connection and drops everything in transit.
func (f *fakeInterpreter) disconnect() {
	f.commands, f.inTransit, f.isConnected = nil, nil, false
	f.link.Disconnected()
}

// handleCommand processes the next command in transit, and reports whether there was one.
func (f *fakeInterpreter) handleCommand() bool {
	if len(f.commands) == 0 {
		return false
	}
	c := f.commands[0]
	f.commands = f.commands[1:]
	id, _ := c["id"].(string)
	switch c["op"] {
	case "CONNECT":
		f.isConnected = true
		f.inTransit = append(f.inTransit, `{"op":"BANNER","end":"WARM","ms":1}`)
		f.inTransit = append(f.inTransit, f.notices[int(c["seq"].(float64)):]...)
	case "APPLY":
		switch {
		case f.finished[id]:
			f.sendValue(id, "MOOT")
		case !slices.Contains(f.running, id):
			f.startCount[id]++
			f.running = append(f.running, id)
		}
	case "BREAK":
		if i := slices.Index(f.running, id); i >= 0 {
			f.finishRun(i)
		}
	case "TOP":
		f.inTransit = append(f.inTransit, fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, c["tag"]))
	}
	return true
}

// finishRun finishes running[i].
func (f *fakeInterpreter) finishRun(i int) {
	id := f.running[i]
	f.running, f.finished[id] = slices.Delete(f.running, i, i+1), true
	f.sendValue(id, "OK")
}

// sendValue sends a VALUE notice and stores it, so that it is replayed on later connections.
func (f *fakeInterpreter) sendValue(id, outcome string) {
	n := fmt.Sprintf(`{"op":"VALUE","seq":%d,"id":%q,"end":%q,"ms":1,"body":""}`, len(f.notices)+1, id, outcome)
	f.notices = append(f.notices, n)
	if f.isConnected {
		f.inTransit = append(f.inTransit, n)
	}
}

// deliverLine passes the next line in transit to the link, and reports whether there was one.
func (f *fakeInterpreter) deliverLine() bool {
	if len(f.inTransit) == 0 {
		return false
	}
	line := f.inTransit[0]
	f.inTransit = f.inTransit[1:]
	if err := f.link.Feed([]byte(line + "\n")); err != nil {
		f.t.Fatal(err)
	}
	return true
}

// TestRandomDisconnects loses the connection at random times, with commands and notices in transit. No run may start twice,
// and the end of each run must be reported once.
func TestRandomDisconnects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := &fakeInterpreter{t: t, startCount: map[string]int{}, finished: map[string]bool{}, finishCount: map[string]int{}}
		fake.link = NewLink(fake)
		submitted, withdrawn := 0, map[string]bool{}
		drawID := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(1, max(submitted, 1)).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				submitted++
				fake.link.Submit(fmt.Sprint(submitted), "look", nil)
			},
			"withdraw": func(t *rapid.T) {
				id := drawID(t)
				withdrawn[id] = fake.link.Withdraw(id) || withdrawn[id]
			},
			"stop":          func(t *rapid.T) { fake.link.Stop(drawID(t)) },
			"disconnect":    func(*rapid.T) { fake.disconnect() },
			"connect":       func(*rapid.T) { fake.connect() },
			"handleCommand": func(*rapid.T) { fake.handleCommand() },
			"deliverLine":   func(*rapid.T) { fake.deliverLine() },
			"finishRun": func(t *rapid.T) {
				if n := len(fake.running); n > 0 {
					fake.finishRun(rapid.IntRange(0, n-1).Draw(t, "run"))
				}
			},
		})
		// Finally, keep the connection up until all runs have finished.
		fake.connect()
		for fake.handleCommand() || fake.deliverLine() || len(fake.running) > 0 {
			if len(fake.commands) == 0 && len(fake.running) > 0 {
				fake.finishRun(0)
			}
		}
		for n := range submitted {
			id := fmt.Sprint(n + 1)
			want := 1
			if withdrawn[id] {
				want = 0
			}
			if fake.startCount[id] != want || fake.finishCount[id] != want {
				t.Fatalf("run %s: withdrawn %t, started %d times, end reported %d times", id, withdrawn[id], fake.startCount[id], fake.finishCount[id])
			}
		}
		if fake.link.OpenRuns() != 0 {
			t.Fatalf("%d open runs are left, want 0", fake.link.OpenRuns())
		}
	})
}
