// The state of requests, and their use of cores and memory. Nothing here decides.

package admission

import "time"

// requestState is where a request is. Snapshots hold its number.
type requestState uint8

const (
	stateQueued      requestState = iota // in the queue
	stateFollowing                       // waits for the queued request that it repeats
	stateReplaying                       // waits for the result of the request that it repeats
	stateRunning                         // on the cores
	stateCallPending                     // off the cores, waits for a decision on its call
	stateCalling                         // off the cores, its call is in flight
	stateAbandoned                       // answered or cancelled while its work goes on
	stateFinished                        // nothing is left of it
)

// requestStateTexts are the phases that cataloguectl prints; scripts read them.
var requestStateTexts = [...]string{
	stateQueued:      "held",
	stateFollowing:   "waits for the held one that it repeats",
	stateReplaying:   "waits for the answer of the one that it repeats",
	stateRunning:     "running",
	stateCallPending: "waits for a decision on its call",
	stateCalling:     "its call is out",
	stateAbandoned:   "answered while its work goes on",
	stateFinished:    "over",
}

// String returns the phase as cataloguectl prints it.
func (s requestState) String() string { return requestStateTexts[s] }

// quotaStatus says on which side of its tenant's rate threshold a request arrived.
type quotaStatus int

const (
	withinQuota quotaStatus = iota
	overQuota
	quotaStatusCount
)

// request is the state of one attempt.
type request struct {
	id          RequestID
	class       int
	isRetry     bool
	isShareable bool // a safe read of a known resource, whose result may answer others
	sizeKB      float64

	arrivedAt         time.Duration
	deadline          time.Duration // when the answer must be out
	objectiveDeadline time.Duration // when an answer stops earning the full weight; never after the deadline

	rateRatio float64     // its tenant's rate over the threshold when it arrived
	quota     quotaStatus // overQuota if rateRatio was over 1

	state    requestState
	key      *keyEntry // its entry in the key table; nil = none
	original *request  // stateFollowing: the queued request that it repeats
	run      runProgress
	call     callProgress
}

// runProgress is how far a request's run has come.
type runProgress struct {
	hasRun    bool // it was run, or repeats one that was: if it has an effect it must never be rejected
	startedAt time.Duration
	coreTime  float64 // seconds of core time of its finished parts; a call ends a part
	partStart float64 // stateRunning: the core clock at the start of the current part
}

// callProgress is how far a request's downstream call has come.
type callProgress struct {
	failures  int           // attempts of the call that failed
	attemptAt time.Duration // earliest time of the next attempt
}

// resourceUse is the use of cores and memory by all requests. It changes only with a request's state, so
// that it always equals the sum over the requests.
type resourceUse struct {
	running       int // on the cores, including abandoned runs that go on
	offCore       int // stateCallPending or stateCalling
	callsInFlight int // stateCalling
	queuedKB      float64
	runningKB     float64
}

// add counts the request in its current state; a sign of -1 takes it off again.
func (u *resourceUse) add(req *request, runningMemoryFactor float64, sign int) {
	switch req.state {
	case stateQueued, stateFollowing, stateReplaying:
		u.queuedKB += float64(sign) * req.sizeKB
	case stateRunning, stateAbandoned:
		u.running += sign
		u.runningKB += float64(sign) * req.sizeKB * runningMemoryFactor
	case stateCallPending, stateCalling:
		u.offCore += sign
		u.runningKB += float64(sign) * req.sizeKB * runningMemoryFactor
		if req.state == stateCalling {
			u.callsInFlight += sign
		}
	}
}

// setState changes the state and keeps the resource use up to date.
func (in *Instance) setState(req *request, to requestState) {
	in.use.add(req, in.settings.RunningMemoryFactor, -1)
	req.state = to
	in.use.add(req, in.settings.RunningMemoryFactor, 1)
}

// memoryKB is the memory in use: queued and running requests and remembered keys.
func (in *Instance) memoryKB() float64 { return in.use.queuedKB + in.use.runningKB + in.keysKB() }

// keysKB is the memory of the remembered keys.
func (in *Instance) keysKB() float64 { return float64(in.keys.count) * in.settings.KeyKB }
