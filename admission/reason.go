// The reasons for which requests are rejected. This file makes no decisions.

package admission

// Reason is why a request was rejected, if the Instance itself decided to reject it.
type Reason uint8

// The reasons. An arriving request is rejected for AfterDrainGrace to PredictedWaitTooLong; a queued request is
// rejected for DeadlineReached, Stalled, or DeadlineUnreachable and the reasons after it.
const (
	Admitted             Reason = iota // it was not rejected
	AfterDrainGrace                    // it arrived after the drain grace period
	Stalled                            // runs no longer end
	OutOfMemory                        // there is no memory to queue it or to keep its key
	DeadlineReached                    // its deadline has been reached
	RateOverThreshold                  // its tenant's rate is over the threshold while the server is overloaded
	PredictedWaitTooLong               // the predicted wait misses its objective while the server is overloaded
	DeadlineUnreachable                // a run that starts now would end after its deadline
	LateWithoutWeight                  // it is past its objective, and a late answer of its class earns nothing
	LateWhileSaturated                 // a run that starts now would be late, and others wait for saturated cores

	reasonCount = int(LateWhileSaturated) + 1
)

// reasonTexts are the sentence endings that cataloguectl prints; scripts parse them.
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
