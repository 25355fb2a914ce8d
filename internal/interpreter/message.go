// Package interp keeps the link to the interpreter, which does the work: JSON objects, one a line.
package interpreter

import "time"

// Outcome is how a run ended.
type Outcome string

// The ends of a run.
const (
	OutcomeOK         Outcome = "OK"
	OutcomeError      Outcome = "ERROR"
	OutcomeStopped    Outcome = "STOPPED"
	OutcomeNotStarted Outcome = "MOOT"
	// OutcomeRejected is no word of the interpreter's: it turned the command away, so nothing was run.
	OutcomeRejected Outcome = "rejected"
)

// The names of messages.
const (
	opConnect = "CONNECT"
	opApply   = "APPLY"
	opBreak   = "BREAK"
	opTop     = "TOP"
	opSmoke   = "SMOKE"

	opBanner = "BANNER"
	opValue  = "VALUE"
	opAwait  = "AWAIT"
	opTops   = "TOPS"
	opSmoked = "SMOKED"
	opError  = "ERROR"
	opTrace  = "TRACE"
)

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
	Op           string    `json:"op"`
	Seq          uint64    `json:"seq"`
	ID           string    `json:"id"`
	Detail       string    `json:"end"`
	Milliseconds float64   `json:"ms"`
	Body         []byte    `json:"body"`
	Tag          string    `json:"tag"`
	Values       []float64 `json:"values"`
}

// age reads the notice's milliseconds.
func (n *notice) age() time.Duration {
	return time.Duration(n.Milliseconds * float64(time.Millisecond))
}
