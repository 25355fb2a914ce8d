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

// far is an interpreter at the other end of a line that can be cut at any time, with all that is on its way.
type far struct {
	t        *rapid.T
	link     *Link
	greeted  bool             // it has read CONNECT on this connection
	commands []map[string]any // on their way to it
	lines    []string         // on their way from it
	notices  []string         // all it ever told, by number
	started  map[string]int
	running  []string
	over     map[string]bool
	heard    map[string]int
}

func (f *far) InterpreterStarted(bool, time.Duration) {}
func (f *far) ReportError(text string, err error)     { f.t.Fatalf("%s: %v", text, err) }

func (f *far) CallRequested(id string) { f.t.Fatalf("a call of %s", id) }

func (f *far) RunFinished(id string, end Outcome, _ []byte) {
	if f.heard[id]++; end != OutcomeOK {
		f.t.Fatalf("run %s ended %s", id, end)
	}
}

// write takes commands onto the line.
func (f *far) write(p []byte) {
	for line := range strings.SplitSeq(strings.TrimSpace(string(p)), "\n") {
		var c map[string]any
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			f.t.Fatal(err)
		}
		f.commands = append(f.commands, c)
	}
}

// connect makes a new connection in place of any other.
func (f *far) connect() {
	f.commands, f.lines, f.greeted = nil, nil, false
	f.link.Connected(f.write, start)
}

// cut loses all that is on its way.
func (f *far) cut() {
	f.commands, f.lines, f.greeted = nil, nil, false
	f.link.Disconnected()
}

// take carries out the next command.
func (f *far) take() bool {
	if len(f.commands) == 0 {
		return false
	}
	c := f.commands[0]
	f.commands = f.commands[1:]
	id, _ := c["id"].(string)
	switch c["op"] {
	case "CONNECT":
		f.greeted = true
		f.lines = append(f.lines, `{"op":"BANNER","end":"WARM","ms":1}`)
		f.lines = append(f.lines, f.notices[int(c["seq"].(float64)):]...)
	case "APPLY":
		switch {
		case f.over[id]:
			f.tell(id, "MOOT")
		case !slices.Contains(f.running, id):
			f.started[id]++
			f.running = append(f.running, id)
		}
	case "BREAK":
		if i := slices.Index(f.running, id); i >= 0 {
			f.end(i)
		}
	case "TOP":
		f.lines = append(f.lines, fmt.Sprintf(`{"op":"TOPS","tag":%q,"values":[]}`, c["tag"]))
	}
	return true
}

// end ends a run.
func (f *far) end(i int) {
	id := f.running[i]
	f.running, f.over[id] = slices.Delete(f.running, i, i+1), true
	f.tell(id, "OK")
}

// tell sends a notice, and keeps it for connections to come.
func (f *far) tell(id, end string) {
	n := fmt.Sprintf(`{"op":"VALUE","seq":%d,"id":%q,"end":%q,"ms":1,"body":""}`, len(f.notices)+1, id, end)
	f.notices = append(f.notices, n)
	if f.greeted {
		f.lines = append(f.lines, n)
	}
}

// deliver hands the next line to the link.
func (f *far) deliver() bool {
	if len(f.lines) == 0 {
		return false
	}
	line := f.lines[0]
	f.lines = f.lines[1:]
	if err := f.link.Feed([]byte(line + "\n")); err != nil {
		f.t.Fatal(err)
	}
	return true
}

// TestModel cuts the line at random with commands and notices on their way: no run is begun twice, and the end
// of each is told once.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &far{t: t, started: map[string]int{}, over: map[string]bool{}, heard: map[string]int{}}
		f.link = NewLink(f)
		asked, withdrawn := 0, map[string]bool{}
		pick := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(1, max(asked, 1)).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) {
				asked++
				f.link.Submit(fmt.Sprint(asked), "look", nil)
			},
			"withdraw": func(t *rapid.T) {
				id := pick(t)
				withdrawn[id] = f.link.Withdraw(id) || withdrawn[id]
			},
			"break":   func(t *rapid.T) { f.link.Stop(pick(t)) },
			"cut":     func(*rapid.T) { f.cut() },
			"connect": func(*rapid.T) { f.connect() },
			"take":    func(*rapid.T) { f.take() },
			"deliver": func(*rapid.T) { f.deliver() },
			"end": func(t *rapid.T) {
				if n := len(f.running); n > 0 {
					f.end(rapid.IntRange(0, n-1).Draw(t, "run"))
				}
			},
		})
		// In the end the line stays up and all runs end.
		f.connect()
		for f.take() || f.deliver() || len(f.running) > 0 {
			if len(f.commands) == 0 && len(f.running) > 0 {
				f.end(0)
			}
		}
		for n := range asked {
			id := fmt.Sprint(n + 1)
			want := 1
			if withdrawn[id] {
				want = 0
			}
			if f.started[id] != want || f.heard[id] != want {
				t.Fatalf("run %s: withdrawn %t, begun %d times, its end told %d times", id, withdrawn[id], f.started[id], f.heard[id])
			}
		}
		if f.link.OpenRuns() != 0 {
			t.Fatalf("%d runs are left", f.link.OpenRuns())
		}
	})
}
