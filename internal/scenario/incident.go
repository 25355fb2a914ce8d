package scenario

import (
	"fmt"
	"strings"
	"time"
)

// IncidentKind is the kind of an incident. Its values are the words of scenario files.
type IncidentKind string

// The kinds of incidents.
const (
	Crash            IncidentKind = "death"     // the server and its interpreter are killed and lose their state; restart after Duration
	Restart          IncidentKind = "deploy"    // the server drains and exits; it starts again Duration later
	SlowInterpreter  IncidentKind = "slow"      // runs take Factor times as long
	LoadSpike        IncidentKind = "jump"      // requests arrive at Factor times the rate
	Partition        IncidentKind = "partition" // the server and its interpreter cannot reach each other
	ConfigReload     IncidentKind = "reload"    // the server reloads its configuration, as on SIGHUP, ten times over Duration
	MachinePause     IncidentKind = "pause"     // the server's machine gives it no processor time
	SlowReaders      IncidentKind = "trickle"   // gateways read from their current connections a byte at a time
	ConnectionResets IncidentKind = "resets"    // the gateways reset their current connections
	MalformedInput   IncidentKind = "garbage"   // clients send malformed or incomplete requests
	LinkLoss         IncidentKind = "cut"       // the server's connection to the interpreter breaks
	ConnectionFlood  IncidentKind = "flood"     // clients open and hold more connections than the server has descriptors
)

// incidentKinds are all kinds, in the order in which error messages list them.
var incidentKinds = []IncidentKind{Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload, MachinePause, SlowReaders,
	ConnectionResets, MalformedInput, LinkLoss, ConnectionFlood}

// kindList returns all kinds in the form of an error message: "a, b or c".
func kindList() string {
	names := make([]string, len(incidentKinds))
	for n, kind := range incidentKinds {
		names[n] = string(kind)
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}

// Incident is a fault or a change of the load. cataloguectl prints the JSON keys.
type Incident struct {
	At       time.Duration // from the start of the load
	Duration time.Duration `json:"For"`
	Kind     IncidentKind
	Server   int           // number of the server, from 1; 0 means all servers
	Factor   float64       `json:"Times"`
	Stagger  time.Duration `json:"Apart"` // time between two servers, if the incident affects all
}

// String returns the form that cataloguectl prints, with the names of the JSON keys.
func (i Incident) String() string {
	return fmt.Sprintf("{At:%v For:%v Kind:%s Server:%d Times:%v Apart:%v}", i.At, i.Duration, i.Kind, i.Server, i.Factor, i.Stagger)
}

// end returns the time at which the incident ends, from the start of the load.
func (i Incident) end() time.Duration { return i.At + i.Duration }
