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
	Name            string
	Purpose         string        `json:"Teaches"`
	Duration        time.Duration `json:"Length"`
	Cooldown        time.Duration `json:"Calm"` // after it, before servers are probed: kept keys count as memory, and may be all of it
	Servers         int
	Cores           int           // of each server's interpreter
	MeanRunTime     time.Duration `json:"Work"` // mean time of a core that a run takes
	Rate            float64       // requests a second, over all servers
	IdempotentShare float64       `json:"Keyed"` // part of them that must run once only
	Gateways        int
	MaxAttempts     int                  `json:"Tries"` // of one request, the first included
	RetryAfterShare float64              `json:"Heeds"` // part of the gateways that come back when they were told to; the others come after their pause
	RetryDelay      time.Duration        `json:"Pause"`
	DuplicateShare  float64              `json:"Repeats"` // part of the served keyed requests that come again
	HedgeShare      float64              `json:"Hedges"`  // part of the keyed tries that are sent again while they are open
	AbortShare      float64              `json:"Aborts"`  // part of the tries that their gateway takes back
	MaxOpenFiles    int                  `json:"Files"`   // descriptors of each server
	Network         simnet.NetworkConfig `json:"Net"`
	Incidents       []Incident
	Expect          Expectations
}

// IncidentKind is what an incident does.
type IncidentKind string

// The kinds of incidents.
const (
	Crash            IncidentKind = "death"     // the server and its interpreter die, and come back cold
	Restart          IncidentKind = "deploy"    // the server drains, and a successor starts
	SlowInterpreter  IncidentKind = "slow"      // the interpreter takes so many times as long
	LoadSpike        IncidentKind = "jump"      // so many times as many requests come
	Partition        IncidentKind = "partition" // nothing passes between server and interpreter
	ConfigReload     IncidentKind = "reload"    // SIGHUP, every tenth of the time
	MachinePause     IncidentKind = "pause"     // the server's machine stands still
	SlowReaders      IncidentKind = "trickle"   // the gateways' connections of the moment are read a byte at a time
	ConnectionResets IncidentKind = "resets"    // the gateways' connections of the moment break
	MalformedInput   IncidentKind = "garbage"   // callers send what is no request, or a part of one
	LinkLoss         IncidentKind = "cut"       // the link to the interpreter breaks
	ConnectionFlood  IncidentKind = "flood"     // more connections come than there are descriptors, and are held open
)

// Incident is something that happens to servers at a time.
type Incident struct {
	At       time.Duration
	Duration time.Duration `json:"For"`
	Kind     IncidentKind
	Server   int           // stream 1; 0 is all
	Factor   float64       `json:"Times"`
	Stagger  time.Duration `json:"Apart"` // between one server and the next
}

// Expectations are what has to hold; the zero value of each asks for nothing.
type Expectations struct {
	MinServedShare  float64       `json:"Share"`     // of requests served, at least
	MaxRecoveryTime time.Duration `json:"Recovered"` // stream the end of the last incident until the share is back to 95 % of before the first
}

// Defaults are what a scenario is where its file says nothing.
func Defaults() Scenario {
	return Scenario{Duration: 20 * time.Second, Cooldown: fake.IdempotencyWindow + 10*time.Second, Servers: 3, Cores: 2, MeanRunTime: 4 * time.Millisecond, Rate: 600, IdempotentShare: 0.2, Gateways: 4, MaxAttempts: 3, RetryAfterShare: 1,
		RetryDelay: 100 * time.Millisecond, DuplicateShare: 0.05, MaxOpenFiles: serverDescriptors, Network: simnet.NetworkConfig{Delay: 50 * time.Microsecond, Jitter: 150 * time.Microsecond, PartialIO: 0.05, DatagramLoss: 0.01, DatagramDuplication: 0.01}}
}

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	return Parse(path, text)
}

const maxDuration = time.Hour

// Parse reads the text of a scenario.
func Parse(file string, text []byte) (*Scenario, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := Defaults()
	err = sexp.ReadForms(forms, map[string]func(sexp.Node) error{
		"name":     sexp.Text(&s.Name),
		"teaches":  sexp.Text(&s.Purpose),
		"length":   sexp.Duration(&s.Duration, time.Second, maxDuration),
		"calm":     sexp.Duration(&s.Cooldown, time.Second, maxDuration),
		"servers":  sexp.Int(&s.Servers, 1, 200),
		"cores":    sexp.Int(&s.Cores, 1, 64),
		"work":     sexp.Duration(&s.MeanRunTime, 10*time.Microsecond, time.Minute),
		"rate":     sexp.Number(&s.Rate, 0.1, 1e6),
		"keyed":    sexp.Number(&s.IdempotentShare, 0, 1),
		"gateways": sexp.Int(&s.Gateways, 1, 100),
		"tries":    sexp.Int(&s.MaxAttempts, 1, 20),
		"heeds":    sexp.Number(&s.RetryAfterShare, 0, 1),
		"pause":    sexp.Duration(&s.RetryDelay, time.Millisecond, time.Minute),
		"repeats":  sexp.Number(&s.DuplicateShare, 0, 1),
		"hedges":   sexp.Number(&s.HedgeShare, 0, 1),
		"aborts":   sexp.Number(&s.AbortShare, 0, 1),
		"files":    sexp.Int(&s.MaxOpenFiles, 64, 100_000),
		"network": func(form sexp.Node) error {
			return sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
				"delay":   sexp.Duration(&s.Network.Delay, 0, time.Second),
				"jitter":  sexp.Duration(&s.Network.Jitter, 0, time.Second),
				"partial": sexp.Number(&s.Network.PartialIO, 0, 1),
				"lost":    sexp.Number(&s.Network.DatagramLoss, 0, 1),
				"doubled": sexp.Number(&s.Network.DatagramDuplication, 0, 1),
			})
		},
		"expect": func(form sexp.Node) error {
			return sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
				"share":     sexp.Number(&s.Expect.MinServedShare, 0, 1),
				"recovered": sexp.Duration(&s.Expect.MaxRecoveryTime, 0, maxDuration),
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
	i := Incident{Factor: 3, Duration: 2 * time.Second}
	word, err := form.WordAt(1, "what happens, such as death")
	if err != nil {
		return i, err
	}
	switch i.Kind = IncidentKind(word); i.Kind {
	case Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload, MachinePause, SlowReaders, ConnectionResets, MalformedInput, LinkLoss, ConnectionFlood:
	default:
		return i, sexp.Errorf(form.Items[1].Pos, "found %s, want %s, %s, %s, %s, %s, %s, %s, %s, %s, %s, %s or %s", word, Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload,
			MachinePause, SlowReaders, ConnectionResets, MalformedInput, LinkLoss, ConnectionFlood)
	}
	err = sexp.ReadFields(form.ItemsFrom(2), map[string]func(sexp.Node) error{
		"at":     sexp.Duration(&i.At, 0, maxDuration),
		"for":    sexp.Duration(&i.Duration, 0, maxDuration),
		"server": sexp.Int(&i.Server, 1, 200),
		"times":  sexp.Number(&i.Factor, 0.01, 1000),
		"apart":  sexp.Duration(&i.Stagger, 0, maxDuration),
	})
	return i, err
}
