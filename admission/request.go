// The state of requests, and their use of cores and memory. This file makes no decisions.

package admission

import "time"

// requestState is the state of a request. Snapshots contain its number.
type requestState uint8

const (
	stateQueued      requestState = iota // in the queue
	stateFollowing                       // waits for the queued request that it repeats
	stateReplaying                       // waits for the result of the request that it repeats
	stateRunning                         // on the cores
	stateCallPending                     // off the cores, waits for a decision on its call
	stateCalling                         // off the cores, its call is in flight
	stateAbandoned                       // answered or cancelled, but its work continues
	stateFinished                        // answered or cancelled, and none of its work is in progress
)

// requestStateTexts are the phases that cataloguectl prints; scripts parse them.
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

// quotaStatus says whether a request's tenant was over its rate threshold when the request arrived.
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
	isShareable bool // a safe read of a known resource, whose result may answer other requests
	sizeKB      float64

	arrivedAt         time.Duration
	deadline          time.Duration // when the answer must be sent
	objectiveDeadline time.Duration // when an answer stops earning the full weight; never after the deadline

	rateRatio float64     // its tenant's rate divided by the threshold when it arrived
	quota     quotaStatus // overQuota if rateRatio was over 1

	state    requestState
	key      *keyEntry // its entry in the key table; nil = none
	original *request  // stateFollowing: the queued request that it repeats
	run      runProgress
	call     callProgress
}

// runProgress is the progress of a request's run.
type runProgress struct {
	hasRun       bool // it was run, or repeats a request that was run: if it has an effect it must never be rejected
	startedAt    time.Duration
	coreTime     float64 // core time in seconds of its finished segments; a call ends a segment
	segmentStart float64 // stateRunning: the core clock at the start of the current segment
}

// callProgress is the progress of a request's downstream call.
type callProgress struct {
	failures  int           // failed attempts of the call
	attemptAt time.Duration // earliest time of the next attempt
}

// resourceUse is the use of cores and memory by all requests. It changes only when a request changes its state, so
// that it always equals the sum over the requests.
type resourceUse struct {
	running       int // on the cores, including abandoned runs that continue
	offCore       int // stateCallPending or stateCalling
	callsInFlight int // stateCalling
	queuedKB      float64
	runningKB     float64
}

// add adds the use of the request in its current state; a sign of -1 subtracts it.
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

// setState changes the state of the request and updates the resource use.
func (in *Instance) setState(req *request, to requestState) {
	in.use.add(req, in.settings.RunningMemoryFactor, -1)
	req.state = to
	in.use.add(req, in.settings.RunningMemoryFactor, 1)
}

// memoryKB returns the memory in use by queued and running requests and by remembered keys.
func (in *Instance) memoryKB() float64 { return in.use.queuedKB + in.use.runningKB + in.keysKB() }

// keysKB returns the memory in use by remembered keys.
func (in *Instance) keysKB() float64 { return float64(in.keys.count) * in.settings.KeyKB }
