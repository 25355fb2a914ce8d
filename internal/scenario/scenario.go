// Package rehearsal plays bad days through the real server, its loop and its sessions included, on a simulated system: whole
// fleets with their interpreters, gateways and announce service in one thread, in virtual time, from one seed. An outside
// observer checks the rules after what happens, and a report says what came of the day.
package scenario

import (
	"fmt"
	"os"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/sexp"
	"tillerusher/internal/simnet"
)

// Scenario is a day that is played.
type Scenario struct {
	Name      string
	Teaches   string        `json:"Teaches"`
	Length    time.Duration `json:"Length"`
	Calm      time.Duration `json:"Calm"` // after it, before servers are probed: kept keys count as memory, and may be all of it
	Servers   int
	Cores     int           // of each server's interpreter
	Work      time.Duration `json:"Work"` // mean time of a core that a run takes
	Rate      float64       // requests a second, over all servers
	Keyed     float64       `json:"Keyed"` // part of them that must run once only
	Gateways  int
	Tries     int           `json:"Tries"` // of one request, the first included
	Heeds     float64       `json:"Heeds"` // part of the gateways that come back when they were told to; the others come after their pause
	Pause     time.Duration `json:"Pause"`
	Repeats   float64       `json:"Repeats"` // part of the served keyed requests that come again
	Hedges    float64       `json:"Hedges"`  // part of the keyed tries that are sent again while they are open
	Aborts    float64       `json:"Aborts"`  // part of the tries that their gateway takes back
	Files     int           `json:"Files"`   // descriptors of each server
	Net       simnet.Net    `json:"Net"`
	Incidents []Incident
	Expect    Expectations
}

// Kind is what an incident does.
type Kind string

// The kinds of incidents.
const (
	Death     Kind = "death"     // the server and its interpreter die, and come back cold
	Deploy    Kind = "deploy"    // the server drains, and a successor starts
	Slow      Kind = "slow"      // the interpreter takes so many times as long
	Jump      Kind = "jump"      // so many times as many requests come
	Partition Kind = "partition" // nothing passes between server and interpreter
	Reload    Kind = "reload"    // SIGHUP, every tenth of the time
	Standing  Kind = "pause"     // the server's machine stands still
	Trickle   Kind = "trickle"   // the gateways' connections of the moment are read a byte at a time
	Resets    Kind = "resets"    // the gateways' connections of the moment break
	Garbage   Kind = "garbage"   // callers send what is no request, or a part of one
	Cut       Kind = "cut"       // the link to the interpreter breaks
	Flood     Kind = "flood"     // more connections come than there are descriptors, and are held open
)

// Incident is something that happens to servers at a time.
type Incident struct {
	At     time.Duration
	For    time.Duration `json:"For"`
	Kind   Kind
	Server int           // from 1; 0 is all
	Times  float64       `json:"Times"`
	Apart  time.Duration `json:"Apart"` // between one server and the next
}

// Expectations are what has to hold; the zero value of each asks for nothing.
type Expectations struct {
	Share     float64       `json:"Share"`     // of requests served, at least
	Recovered time.Duration `json:"Recovered"` // from the end of the last incident until the share is back to 95 % of before the first
}

// Defaults are what a scenario is where its file says nothing.
func Defaults() Scenario {
	return Scenario{Length: 20 * time.Second, Calm: fake.Window + 10*time.Second, Servers: 3, Cores: 2, Work: 4 * time.Millisecond, Rate: 600, Keyed: 0.2, Gateways: 4, Tries: 3, Heeds: 1,
		Pause: 100 * time.Millisecond, Repeats: 0.05, Files: serverFiles, Net: simnet.Net{Delay: 50 * time.Microsecond, Jitter: 150 * time.Microsecond, Partial: 0.05, Lost: 0.01, Doubled: 0.01}}
}

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	return Parse(path, text)
}

const longest = time.Hour

// Parse reads the text of a scenario.
func Parse(file string, text []byte) (*Scenario, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := Defaults()
	err = sexp.EachOnce(forms, map[string]func(sexp.Node) error{
		"name":     sexp.Text(&s.Name),
		"teaches":  sexp.Text(&s.Teaches),
		"length":   sexp.Duration(&s.Length, time.Second, longest),
		"calm":     sexp.Duration(&s.Calm, time.Second, longest),
		"servers":  sexp.Int(&s.Servers, 1, 200),
		"cores":    sexp.Int(&s.Cores, 1, 64),
		"work":     sexp.Duration(&s.Work, 10*time.Microsecond, time.Minute),
		"rate":     sexp.Number(&s.Rate, 0.1, 1e6),
		"keyed":    sexp.Number(&s.Keyed, 0, 1),
		"gateways": sexp.Int(&s.Gateways, 1, 100),
		"tries":    sexp.Int(&s.Tries, 1, 20),
		"heeds":    sexp.Number(&s.Heeds, 0, 1),
		"pause":    sexp.Duration(&s.Pause, time.Millisecond, time.Minute),
		"repeats":  sexp.Number(&s.Repeats, 0, 1),
		"hedges":   sexp.Number(&s.Hedges, 0, 1),
		"aborts":   sexp.Number(&s.Aborts, 0, 1),
		"files":    sexp.Int(&s.Files, 64, 100_000),
		"network": func(form sexp.Node) error {
			return sexp.Fields(form.Args(), map[string]func(sexp.Node) error{
				"delay":   sexp.Duration(&s.Net.Delay, 0, time.Second),
				"jitter":  sexp.Duration(&s.Net.Jitter, 0, time.Second),
				"partial": sexp.Number(&s.Net.Partial, 0, 1),
				"lost":    sexp.Number(&s.Net.Lost, 0, 1),
				"doubled": sexp.Number(&s.Net.Doubled, 0, 1),
			})
		},
		"expect": func(form sexp.Node) error {
			return sexp.Fields(form.Args(), map[string]func(sexp.Node) error{
				"share":     sexp.Number(&s.Expect.Share, 0, 1),
				"recovered": sexp.Duration(&s.Expect.Recovered, 0, longest),
			})
		},
	}, map[string]func(sexp.Node) error{
		"incident": func(form sexp.Node) error {
			i, err := readIncident(form)
			s.Incidents = append(s.Incidents, i)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	if s.Name == "" {
		return nil, fmt.Errorf("%s: a scenario without (name ...)", file)
	}
	for _, i := range s.Incidents {
		if i.Server > s.Servers {
			return nil, fmt.Errorf("%s: an incident at server %d of %d", file, i.Server, s.Servers)
		}
	}
	return &s, nil
}

// readIncident reads (incident KIND ...).
func readIncident(form sexp.Node) (Incident, error) {
	i := Incident{Times: 3, For: 2 * time.Second}
	word, err := form.Word(1, "what happens, such as death")
	if err != nil {
		return i, err
	}
	switch i.Kind = Kind(word); i.Kind {
	case Death, Deploy, Slow, Jump, Partition, Reload, Standing, Trickle, Resets, Garbage, Cut, Flood:
	default:
		return i, sexp.Errorf(form.Items[1].At, "found %s, want %s, %s, %s, %s, %s, %s, %s, %s, %s, %s, %s or %s", word, Death, Deploy, Slow, Jump, Partition, Reload,
			Standing, Trickle, Resets, Garbage, Cut, Flood)
	}
	err = sexp.Fields(form.Rest(2), map[string]func(sexp.Node) error{
		"at":     sexp.Duration(&i.At, 0, longest),
		"for":    sexp.Duration(&i.For, 0, longest),
		"server": sexp.Int(&i.Server, 1, 200),
		"times":  sexp.Number(&i.Times, 0.01, 1000),
		"apart":  sexp.Duration(&i.Apart, 0, longest),
	})
	return i, err
}
