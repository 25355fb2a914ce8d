package interpreter

import "time"

// Outcome is how a run ended. Its values are protocol values, except for OutcomeRejected.
type Outcome string

// The outcomes of a run.
const (
	OutcomeOK      Outcome = "OK"
	OutcomeError   Outcome = "ERROR"
	OutcomeStopped Outcome = "STOPPED"
	// OutcomeNotStarted is the answer to an APPLY of a run that had already finished. The APPLY started nothing.
	OutcomeNotStarted Outcome = "MOOT"
	// OutcomeRejected means that the interpreter rejected the APPLY, so nothing ran. The interpreter does not send this value.
	OutcomeRejected Outcome = "rejected"
)

// String returns the value of the outcome.
func (o Outcome) String() string { return string(o) }

// The commands of the protocol, which are sent to the interpreter.
const (
	opConnect = "CONNECT" // replay the notices after a number
	opApply   = "APPLY"   // start a run
	opBreak   = "BREAK"   // stop a run
	opTop     = "TOP"     // query the gauges
	opSmoke   = "SMOKE"   // run a deep health check
)

// The notices of the protocol, which the interpreter sends.
const (
	opBanner = "BANNER" // the interpreter is up
	opValue  = "VALUE"  // a run finished
	opAwait  = "AWAIT"  // a run waits for a downstream call
	opTops   = "TOPS"   // the answer to TOP
	opSmoked = "SMOKED" // the answer to SMOKE
	opError  = "ERROR"  // a command was rejected
	opTrace  = "TRACE"  // text for the interpreter's own log
)

// bannerCold is the detail of a BANNER from an interpreter that started with empty caches.
const bannerCold = "COLD"

// command is a message to the interpreter.
type command struct {
	Op    string  `json:"op"`
	Seq   *uint64 `json:"seq,omitempty"`
	ID    string  `json:"id,omitempty"`
	Class string  `json:"class,omitempty"`
	Body  *[]byte `json:"body,omitempty"`
	Tag   string  `json:"tag,omitempty"`
}

// notice is a message from the interpreter.
type notice struct {
	Op  string `json:"op"`
	Seq uint64 `json:"seq"` // 0 for notices that are not replayed after a lost connection
	ID  string `json:"id"`
	// Detail depends on Op. It is the outcome in a VALUE or SMOKED, the state of the caches in a BANNER, and the rejected
	// command in an ERROR.
	Detail       string    `json:"end"`
	Milliseconds float64   `json:"ms"`
	Body         []byte    `json:"body"`
	Tag          string    `json:"tag"`
	Values       []float64 `json:"values"`
}

// age returns the time since the start of the interpreter. The notice must be a BANNER.
func (n *notice) age() time.Duration {
	return time.Duration(n.Milliseconds * float64(time.Millisecond))
}
