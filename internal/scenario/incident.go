package scenario

import (
	"fmt"
	"strings"
	"time"
)

// IncidentKind is what an incident does. Its values are the words of scenario files.
type IncidentKind string

// The kinds of incidents.
const (
	Crash            IncidentKind = "death"     // the server and its interpreter die, and come back cold
	Restart          IncidentKind = "deploy"    // the server drains, and a successor starts
	SlowInterpreter  IncidentKind = "slow"      // runs take Factor times as long
	LoadSpike        IncidentKind = "jump"      // requests arrive at Factor times the rate
	Partition        IncidentKind = "partition" // between the server and its interpreter
	ConfigReload     IncidentKind = "reload"    // SIGHUP, ten times over Duration
	MachinePause     IncidentKind = "pause"     // the server's machine gives it no processor
	SlowReaders      IncidentKind = "trickle"   // the gateways' current connections are read a byte at a time
	ConnectionResets IncidentKind = "resets"    // of the gateways' current connections
	MalformedInput   IncidentKind = "garbage"   // clients send what is no request, or a part of one
	LinkLoss         IncidentKind = "cut"       // the connection to the interpreter breaks
	ConnectionFlood  IncidentKind = "flood"     // more connections are opened and held than there are descriptors
)

// incidentKinds are all kinds, in the order in which error messages list them.
var incidentKinds = []IncidentKind{Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload, MachinePause, SlowReaders,
	ConnectionResets, MalformedInput, LinkLoss, ConnectionFlood}

// kindList returns all kinds as an error message lists them: "a, b or c".
func kindList() string {
	names := make([]string, len(incidentKinds))
	for n, kind := range incidentKinds {
		names[n] = string(kind)
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}

// Incident is a fault or a change of load at a time. The JSON keys are printed by cataloguectl.
type Incident struct {
	At       time.Duration // since the load began
	Duration time.Duration `json:"For"`
	Kind     IncidentKind
	Server   int           // from 1; 0 is all servers
	Factor   float64       `json:"Times"`
	Stagger  time.Duration `json:"Apart"` // between one server and the next
}

// String returns the form that cataloguectl prints. Its names are those of the JSON keys.
func (i Incident) String() string {
	return fmt.Sprintf("{At:%v For:%v Kind:%s Server:%d Times:%v Apart:%v}", i.At, i.Duration, i.Kind, i.Server, i.Factor, i.Stagger)
}

// end returns when the incident is over.
func (i Incident) end() time.Duration { return i.At + i.Duration }
