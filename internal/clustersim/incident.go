package clustersim

import (
	"fmt"
	"slices"
	"time"
)

// What is a kind of incident.
type What string

// The kinds of incident.
const (
	Jump    What = "jump"    // the rate is Size times the usual, rising and falling over Rise
	Death   What = "death"   // a part of the servers die at once and come back cold at the end
	Half    What = "half"    // every second server does: one half of the data centre
	Slow    What = "slow"    // a part of the servers are Size times slower
	Hang    What = "hang"    // the work of a part of the servers stands still, not their reading of the network
	Pause   What = "pause"   // a part of the machines stand still altogether
	Deploy  What = "deploy"  // a part of the servers are replaced one batch after the other, of Size of the fleet each
	Freeze  What = "freeze"  // the list of servers stands still
	Failing What = "failing" // of a part of the servers, a part Size of the runs end with an error
)

// Whats are all kinds of incident.
func Whats() []What { return []What{Jump, Death, Half, Slow, Hang, Pause, Deploy, Freeze, Failing} }

// Known tells whether the incident is of a kind that there is.
func (i Incident) Known() bool { return slices.Contains(Whats(), i.What) }

// Incident is something that goes wrong for a while.
type Incident struct {
	What What          `json:"What"`
	From time.Duration `json:"From"`
	For  time.Duration `json:"For"`
	Part float64       `json:"Part"` // of the servers
	Size float64       `json:"Size"`
	Rise time.Duration `json:"Rise"`
}

// String tells an incident in a few words.
func (i Incident) String() string {
	text := fmt.Sprintf("%s at %v for %v", i.What, i.From.Round(10*time.Millisecond), i.For.Round(10*time.Millisecond))
	if i.Part > 0 {
		text += fmt.Sprintf(", %.0f %% of the servers", 100*i.Part)
	}
	if i.Size > 0 {
		text += fmt.Sprintf(", size %.2f", i.Size)
	}
	return text
}

func (i *Incident) check() error {
	switch {
	case !i.Known():
		return fmt.Errorf("no incident is called %q, want one of %v", i.What, Whats())
	case i.From < 0 || i.For < 0 || i.Rise < 0:
		return fmt.Errorf("incident %v: a time below 0", i)
	case i.Part < 0 || i.Part > 1:
		return fmt.Errorf("incident %v: a part of %v, want 0 to 1", i, i.Part)
	case i.What == Slow && i.Size < 1, i.What == Deploy && !(i.Size > 0), i.What == Jump && i.Size < 0,
		i.What == Failing && (i.Size < 0 || i.Size > 1):
		return fmt.Errorf("incident %v: a size of %v makes no sense", i, i.Size)
	}
	return nil
}

// trouble is an incident under way.
type trouble struct {
	*Incident
	sim     *sim
	n       int
	servers []*server
}

func newTrouble(s *sim, n int, i *Incident) *trouble { return &trouble{Incident: i, sim: s, n: n} }

// begin has it strike.
func (t *trouble) begin() {
	rng := stream(t.sim.seed, "incident", t.n)
	switch t.What {
	case Jump:
		return // the arrivals jump by themselves
	case Half:
		for _, s := range t.sim.servers {
			if s.n%2 == 1 {
				t.servers = append(t.servers, s)
			}
		}
	case Death:
		t.servers = t.sim.drawServers(rng, t.Part, func(s *server) bool { return s.up })
	default:
		t.servers = t.sim.drawServers(rng, t.Part, nil)
	}
	t.sim.queue.set(t.sim.now+t.For, t.sim, incidentEnds, t)
	if t.What == Deploy {
		rng.Shuffle(len(t.servers), func(i, j int) { t.servers[i], t.servers[j] = t.servers[j], t.servers[i] })
		t.step()
		return
	}
	for _, s := range t.servers {
		t.strike(s)
	}
	if t.What == Freeze {
		t.sim.frozen++
	}
}

// strike has it strike one server.
func (t *trouble) strike(s *server) {
	s.advance()
	switch t.What {
	case Death, Half:
		s.die(true)
	case Slow:
		s.slow = max(s.slow, 1) * t.Size
	case Hang:
		s.stuck++
	case Failing:
		s.failing = t.Size
	case Pause:
		s.pause()
		return
	}
	s.setSpeed()
	s.look()
}

// step replaces one batch of a deploy and has the next follow.
func (t *trouble) step() {
	batch := max(int(t.Size*float64(len(t.sim.servers))+0.5), 1)
	steps := (int(t.Part*float64(len(t.sim.servers))+0.5) + batch - 1) / batch
	for range batch {
		if len(t.servers) == 0 {
			return
		}
		t.servers[0].drain()
		t.servers = t.servers[1:]
	}
	if len(t.servers) > 0 {
		t.sim.queue.set(t.sim.now+t.For/time.Duration(max(steps, 1)), t.sim, incidentStep, t)
	}
}

// end has it be over.
func (t *trouble) end() {
	for _, s := range t.servers {
		s.advance()
		switch t.What {
		case Death, Half:
			if !s.up {
				t.sim.queue.set(t.sim.now, s, comesUp, nil)
			}
		case Slow:
			s.slow /= t.Size
		case Hang:
			s.stuck--
		case Failing:
			s.failing = 0
		case Pause:
			s.goOn()
			continue
		case Deploy:
			continue
		}
		if s.up {
			s.setSpeed()
			s.look()
		}
	}
	if t.What == Freeze {
		t.sim.thaw()
	}
}
