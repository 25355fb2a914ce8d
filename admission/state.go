// What an Instance keeps of its requests, classes and tenants. Nothing here decides: the decisions are in the policy files.

package admission

import (
	"math"
	"time"
)

// requestState is where a request is.
type requestState uint8

const (
	stateQueued      requestState = iota // waits to be run
	stateFollowing                       // waits for the held request that it repeats
	stateReplaying                       // waits for the answer of the request that it repeats
	stateRunning                         // on the cores
	stateCallPending                     // off the cores, waits for a decision on its call
	stateCalling                         // off the cores, its call is out
	stateAbandoned                       // isAnswered or gone while its work goes on
	stateFinished                        // nothing left of it
)

// request is what is known of one try.
type request struct {
	id                RequestID
	class             int
	state             requestState
	deadline          time.Duration // when the answer must be out
	objectiveDeadline time.Duration // when an answer stops earning its full worth
	arrivedAt         time.Duration
	isRetry           bool
	isShareable       bool    // a read of something that others may ask for too
	rateRatio         float64 // its tenant's rate over its threshold when it arrived
	quota             int     // 1 if that was over 1
	sizeKB            float64
	hasRun            bool      // it was run, or repeats one that was: never refuse it if it has an effect
	key               *keyEntry // its entry in the table
	original          *request  // follows: the request that it repeats
	coreTime          float64   // seconds of core time of its finished parts
	partStart         float64   // running: the core clock at the start of this part
	callFailures      int       // callFailures that failed so far
	nextCallAt        time.Duration
	startedAt         time.Duration // when it was run
}

// keyEntry is one remembered key.
type keyEntry struct {
	expiresAt  time.Duration
	isReleased bool
}

// rateEstimate is the N and T of one tenant.
type rateEstimate struct {
	impulse   float64
	updatedAt time.Duration
}

// classState is what was learned about a class.
type classState struct {
	coreTime      float64       // seconds of core time of a whole run, 0 = not known
	samples       int           // samples learned from
	wallTime      float64       // seconds from the start of a run to its end, calls and crowding included
	queued        [2]int        // requests of it in the queue, of tenants within their slice and over it
	callerTimeout time.Duration // longestRun that the caller of a first try waited

	consecutiveFailures int           // its latest runs in a row that served nobody
	lastFailureAt       time.Duration // when the last of them ended
	learnedAt           time.Duration // when a run of it was last learned from
	started             rateEstimate  // samples of it
	rejected            rateEstimate  // requests of it that were turned away
	// rejections are how many requests of it were turned away since the start, by the reason.
	rejections [reasonCount]uint64
	isStarved  bool // a smaller part of its requests is run than of the others
}

// Instance decides for one server process.
type Instance struct {
	settings         Settings
	actions          Actions
	isStarted        bool
	startedAt, now   time.Duration
	longestObjective time.Duration

	byID       map[RequestID]*request // looked up only, never ranged over
	byArrival  []*request             // module order of arrival, those over are removed in sweep
	queue      []*request             // held, in order of arrival
	notStarted map[RequestID]bool     // key requests of this batch that never ran
	keys       [][]*keyEntry          // per class, in order of keeping
	keyCount   int
	queuedKB   float64
	runningKB  float64

	senders          []rateEstimate // of each tenant, or of each caller where there are no tenants
	completions      rateEstimate   // rate of ended runs, the threshold where there are no quotas
	decay            float64
	totalQuota       float64       // of all tenants
	liveCallers      float64       // callers lately heard of, where there are no tenants
	withinQuotaShare float64       // part of the latest runs that were of tenants within their slices
	idleTimeout      time.Duration // what was last set for connections; 0 = as the callers do
	retryShare       float64       // part of the latest arrivals that were marked as further tries
	arrivals         rateEstimate  // rate of all arrivals
	readDelay        float64       // seconds that arrivals lately waited to be read
	classes          []classState

	running          int     // running, with those ended whose work goes on
	offCore          int     // stateCallPending or calling
	callsInFlight    int     // callFailures out
	coreClock        float64 // core time of a request that ran whenever any did, in seconds
	progressAt       float64 // the core clock at the last end of a run or part
	longestRun       float64 // seconds of the longest run of late
	utilization      float64 // the core gauge
	runnable         float64 // what wants a core at this moment; negative = not told
	concurrencyLimit float64 // stateRunning requests wanted

	callTime      float64       // seconds of a usual call
	callLearnedAt time.Duration // when that was learned last
	callDebt      float64       // DependencyShared: call seconds beyond this server's part

	isStalled, isDraining, isHealthy bool
	noticedAt, stopAt                time.Duration
	nextPoll, nextDeadline, timerAt  time.Duration
	trafficWeight, advertised        float64
}

// senderIndex is the place of the estimate for the request's tenant. Where there are no tenants it goes by callers,
// whose slice is the rate of ended runs over the live callers.
func (in *Instance) senderIndex(q Request) int {
	user := min(max(q.Tenant, 0), len(in.settings.Tenants)-1)
	if user < 0 {
		user = min(max(q.Caller, 0), math.MaxUint16)
	}
	for len(in.senders) <= user {
		in.senders = append(in.senders, rateEstimate{})
	}
	return user
}

// countFailure counts a run that served nobody.
func (in *Instance) countFailure(r *request) {
	c := &in.classes[r.class]
	c.consecutiveFailures++
	c.lastFailureAt = in.now
}

// countLiveCallers counts the callers that were heard of within about one half-life, where there are no tenants.
func (in *Instance) countLiveCallers() {
	if len(in.settings.Tenants) > 0 {
		return
	}
	in.liveCallers = 0
	for i := range in.senders {
		if in.senders[i].rate(in.now, in.decay) > in.decay/2 {
			in.liveCallers++
		}
	}
}

// shareRates are the rate of runs of a class, and that of its requests that were run or turned away.
func (in *Instance) shareRates(class int) (started, of float64) {
	c := &in.classes[class]
	started = c.started.rate(in.now, in.decay)
	return started, started + c.rejected.rate(in.now, in.decay)
}

// memoryKB is what is needed now, in KB.
func (in *Instance) memoryKB() float64 { return in.queuedKB + in.runningKB + in.keysKB() }

// keysKB is what the remembered keys need.
func (in *Instance) keysKB() float64 { return float64(in.keyCount) * in.settings.KeyKB }

// enqueue puts the request into the queue and keeps its key.
func (in *Instance) enqueue(r *request) {
	r.original = nil
	in.setState(r, stateQueued)
	in.queue = append(in.queue, r)
	in.classes[r.class].queued[r.quota]++
	in.keepKey(r)
}

// dequeue takes the request out of the queue.
func (in *Instance) dequeue(r *request) {
	for i, h := range in.queue {
		if h == r {
			in.queue = append(in.queue[:i], in.queue[i+1:]...)
			in.classes[r.class].queued[r.quota]--
			return
		}
	}
}

// setState changes the state and keeps the counts of memory, cores and calls.
func (in *Instance) setState(r *request, to requestState) {
	in.account(r, -1)
	r.state = to
	in.account(r, 1)
}

// account adds the request's needs to the counts, or takes them off.
func (in *Instance) account(r *request, sign int) {
	switch r.state {
	case stateQueued, stateFollowing, stateReplaying:
		in.queuedKB += float64(sign) * r.sizeKB
	case stateRunning, stateAbandoned:
		in.running += sign
		in.runningKB += float64(sign) * r.sizeKB * in.settings.RunningMemoryFactor
	case stateCallPending, stateCalling:
		in.offCore += sign
		in.runningKB += float64(sign) * r.sizeKB * in.settings.RunningMemoryFactor
		if r.state == stateCalling {
			in.callsInFlight += sign
		}
	}
}

// seconds turns seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
