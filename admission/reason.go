// Why requests are rejected. Nothing here decides.

package admission

// Reason is why a request was rejected, if the Instance decided it by itself.
type Reason uint8

// The reasons. On arrival: from AfterDrainGrace to PredictedWaitTooLong; in the queue: DeadlineReached,
// Stalled, and from DeadlineUnreachable on.
const (
	Admitted             Reason = iota // it was not rejected
	AfterDrainGrace                    // it arrived after the drain grace period
	Stalled                            // no run ends any more
	OutOfMemory                        // no memory is left to queue it or to keep its key
	DeadlineReached                    // its deadline is reached
	RateOverThreshold                  // its tenant's rate is over the threshold while the server is overloaded
	PredictedWaitTooLong               // the predicted wait misses its objective while the server is overloaded
	DeadlineUnreachable                // a run begun now would end after its deadline
	LateWithoutWeight                  // a late answer of its class earns nothing
	LateWhileSaturated                 // a run begun now would be late, and others wait for saturated cores

	reasonCount = int(LateWhileSaturated) + 1
)

// reasonTexts are the endings of sentences that cataloguectl prints; scripts read them.
var reasonTexts = [...]string{
	Admitted:             "it was admitted",
	AfterDrainGrace:      "it arrived after the grace of the drain",
	Stalled:              "the work stood still",
	OutOfMemory:          "no memory was left for it",
	DeadlineReached:      "its answer was due",
	RateOverThreshold:    "its tenant's rate was over the threshold while work was held and the cores were full",
	PredictedWaitTooLong: "the predicted wait missed its aim while work was held and the cores were full",
	DeadlineUnreachable:  "a run begun then would have ended after it was due",
	LateWithoutWeight:    "it was past its aim and a late answer earns nothing",
	LateWhileSaturated:   "a run begun then would have been late while the cores were full",
}

// String returns the reason as the end of a sentence.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return "for an unknown reason"
}

// MarshalText returns the same text as String.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
