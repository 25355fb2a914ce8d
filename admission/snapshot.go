// Snapshots, which hold the exact state of an Instance as bytes, and restoring an Instance from them. This file makes
// no decisions.

package admission

import (
	"errors"
	"fmt"
	"slices"
)

const (
	// snapshotVersion is the first byte of a snapshot. It changes with every change of the fields of the state.
	// Snapshots of older versions can be restored; fields that they lack have the values of a new Instance.
	snapshotVersion = 3
	// versionIndependentRuns is the first version with Settings.IndependentRuns and the state that depends on it.
	versionIndependentRuns = 2
	// versionFairShares is the first version with fair shares, failures and rejections by reason.
	versionFairShares = 3
)

// ErrSnapshot is wrapped by errors about bytes that are not a valid snapshot of a known version.
var ErrSnapshot = errors.New("admission: invalid snapshot")

// errClassCount is returned for changed settings that would leave parts of the state without their class or tenant.
var errClassCount = errors.New("admission: the number of classes and of tenants cannot be changed")

// Snapshot appends the complete state to the bytes: the settings, the queued and running requests, and all estimates.
// It must be called between events, never from within an action.
func (in *Instance) Snapshot(to []byte) []byte {
	c := coder{bytes: append(to, snapshotVersion), version: snapshotVersion}
	c.instance(in)
	return c.bytes
}

// Restore returns an Instance in the state of the snapshot, which makes the same decisions on the same events as the
// original, or an error that wraps ErrSnapshot.
func Restore(from []byte, actions Actions) (*Instance, error) { return RestoreWith(from, actions, nil) }

// RestoreWith is like Restore, but changes the settings, for what-if replays. Classes and tenants can be changed, but
// not their number.
func RestoreWith(from []byte, actions Actions, change func(*Settings) error) (*Instance, error) {
	if len(from) == 0 || from[0] < 1 || from[0] > snapshotVersion {
		return nil, fmt.Errorf("%w: its version is unknown, want 1 to %d", ErrSnapshot, snapshotVersion)
	}
	decoder := coder{bytes: from[1:], version: from[0], reading: true}
	in := &Instance{
		actions:  actions,
		requests: requestTable{byID: map[RequestID]*request{}},
		keys:     idempotencyKeys{notStarted: map[RequestID]bool{}},
	}
	decoder.instance(in)
	switch {
	case decoder.err != nil:
		return nil, decoder.err
	case len(decoder.bytes) > 0:
		return nil, fmt.Errorf("%w: %d bytes after its end", ErrSnapshot, len(decoder.bytes))
	}
	if change != nil {
		if err := in.changeSettings(change); err != nil {
			return nil, err
		}
	}
	if err := validate(in.settings); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return in, nil
}

// changeSettings changes the settings and updates the state that is computed from them.
func (in *Instance) changeSettings(change func(*Settings) error) error {
	changed := in.settings
	changed.Classes = slices.Clone(changed.Classes)
	changed.Tenants = slices.Clone(changed.Tenants)
	if err := change(&changed); err != nil {
		return err
	}
	if len(changed.Classes) != len(in.settings.Classes) || len(changed.Tenants) != len(in.settings.Tenants) {
		return errClassCount
	}
	fresh, err := New(changed, in.actions)
	if err != nil {
		return err
	}
	in.settings = changed
	in.longestObjective = fresh.longestObjective
	in.rates.totalQuota = fresh.rates.totalQuota
	in.rates.decay = fresh.rates.decay
	return nil
}

// Settings returns the settings of the Instance.
func (in *Instance) Settings() Settings { return in.settings }

// instance encodes or decodes the complete state.
func (c *coder) instance(in *Instance) {
	c.settings(&in.settings)
	c.scalars(in)
	list(c, &in.rates.senders, c.rateEstimate)
	c.rateEstimate(&in.rates.completions)
	c.rateEstimate(&in.rates.arrivals)
	list(c, &in.classes, c.class)
	c.notStarted(in.keys.notStarted)
	c.requests(in)
}

func (c *coder) settings(settings *Settings) {
	varint(c, &settings.Servers)
	varint(c, &settings.Callers)
	varint(c, &settings.Cores)
	list(c, &settings.Classes, func(class *Class) {
		c.times(&class.LatencyObjective, &class.Deadline, &class.KeyWindow)
		c.floats(&class.ObjectiveStretch, &class.Weight, &class.LateWeight, &class.SkippedCallWeight)
		varint(c, &class.Effect)
	})
	list(c, &settings.Tenants, func(tenant *Tenant) { c.float(&tenant.Quota) })
	c.times(&settings.Tick, &settings.WarmUpTime, &settings.DrainGracePeriod, &settings.CallAveragingTime,
		&settings.AbandonedCallDuration, &settings.MaxRetryAfter, &settings.ResultFreshness, &settings.CallerIdleTimeout)
	c.floats(&settings.InitialCapacity, &settings.MemoryKB, &settings.KeyKB, &settings.RunningMemoryFactor,
		&settings.MaxConcurrencyFactor, &settings.FairCallShare)
	c.bools(&settings.WarmingUp, &settings.HasDeadlines)
	varint(c, &settings.StopMode)
	varint(c, &settings.Downstream)
	varint(c, &settings.Feedback)
	if c.version >= versionIndependentRuns {
		c.bools(&settings.IndependentRuns)
	}
}

// scalars encodes or decodes the single numbers of all parts of the state. They are in the order of the format and not
// grouped by part.
func (c *coder) scalars(in *Instance) {
	c.times(&in.clock.startedAt, &in.clock.now, &in.longestObjective, &in.feedback.idleTimeout,
		&in.drain.noticedAt, &in.drain.stopAt,
		&in.schedule.nextPoll, &in.schedule.nextDeadline, &in.schedule.timerAt)
	c.bools(&in.clock.isStarted, &in.stall.isStalled, &in.drain.isDraining, &in.feedback.isHealthy)
	varint(c, &in.keys.count)
	varint(c, &in.use.running)
	varint(c, &in.use.offCore)
	varint(c, &in.use.callsInFlight)
	c.floats(&in.use.queuedKB, &in.use.runningKB, &in.rates.decay, &in.rates.totalQuota, &in.rates.liveCallers,
		&in.queue.withinQuotaShare, &in.traffic.retryShare, &in.traffic.readDelay, &in.clock.core,
		&in.stall.progressAt, &in.limiter.utilization, &in.limiter.runnable, &in.limiter.limit,
		&in.calls.callTime, &in.calls.debt, &in.feedback.trafficWeight, &in.feedback.advertised)
	if c.version >= versionIndependentRuns {
		c.float(&in.stall.longestRun)
	}
	if c.version >= versionFairShares {
		c.times(&in.calls.learnedAt)
	}
}

func (c *coder) rateEstimate(e *rateEstimate) {
	c.float(&e.impulse)
	c.times(&e.updatedAt)
}

func (c *coder) class(class *classState) {
	c.floats(&class.runTime.coreTime, &class.runTime.wallTime)
	varint(c, &class.runTime.samples)
	varint(c, &class.queued[withinQuota])
	varint(c, &class.queued[overQuota])
	c.times(&class.callerTimeout)
	if c.version < versionFairShares {
		return
	}
	varint(c, &class.runTime.consecutiveFailures)
	c.times(&class.runTime.lastFailureAt, &class.runTime.learnedAt)
	c.rateEstimate(&class.share.started)
	c.rateEstimate(&class.share.rejected)
	c.bools(&class.share.isStarved)
	for reason := range class.rejections {
		varint(c, &class.rejections[reason])
	}
}

// notStarted encodes or decodes the set in the order of the IDs, so that equal states give equal bytes.
func (c *coder) notStarted(set map[RequestID]bool) {
	ids := make([]int, 0, len(set))
	for id := range set {
		ids = append(ids, int(id))
	}
	slices.Sort(ids)
	list(c, &ids, func(id *int) { varint(c, id) })
	for _, id := range ids {
		set[RequestID(id)] = true
	}
}

func (c *coder) key(k *keyEntry) {
	c.times(&k.expiresAt)
	c.bools(&k.isReleased)
}

// request encodes or decodes one request without its pointers.
func (c *coder) request(req *request) {
	varint(c, &req.id)
	varint(c, &req.class)
	varint(c, &req.state)
	varint(c, &req.quota)
	varint(c, &req.call.failures)
	c.times(&req.deadline, &req.objectiveDeadline, &req.arrivedAt, &req.call.attemptAt, &req.run.startedAt)
	c.bools(&req.isRetry, &req.isShareable, &req.run.hasRun)
	c.floats(&req.rateRatio, &req.sizeKB, &req.run.coreTime, &req.run.segmentStart)
}

// requests encodes or decodes the requests and the keys. Pointers to them are indexes into their lists.
func (c *coder) requests(in *Instance) {
	list(c, &in.keys.byClass, func(entries *[]*keyEntry) {
		list(c, entries, func(entry **keyEntry) {
			if c.reading {
				*entry = &keyEntry{}
			}
			c.key(*entry)
		})
	})
	list(c, &in.requests.byArrival, func(req **request) {
		if c.reading {
			*req = &request{}
		}
		c.request(*req)
	})
	c.pointers(in)
	if slices.Contains(in.queue.requests, nil) {
		c.fail("a queued request is missing")
	}
	if c.reading && c.err == nil {
		c.indexRequests(in)
	}
}

// pointers encodes or decodes the pointers of requests to keys and to other requests, and the pointers of the queue.
func (c *coder) pointers(in *Instance) {
	keys := slices.Concat(in.keys.byClass...)
	keyIndex := indexOf(keys)
	requests := in.requests.byArrival
	requestIndex := indexOf(requests)
	for _, req := range requests {
		// A request may point to a key that has expired from the table, or to a request that is finished and swept.
		if kind := pointer(c, &req.key, keys, keyIndex); kind == pointerDetached {
			if c.reading {
				req.key = &keyEntry{}
			}
			c.key(req.key)
		}
		if kind := pointer(c, &req.original, requests, requestIndex); kind == pointerDetached && c.reading {
			req.original = &request{state: stateFinished}
		}
	}
	list(c, &in.queue.requests, func(req **request) { pointer(c, req, requests, requestIndex) })
}

// indexRequests validates the restored requests against the classes and fills the table by ID.
func (c *coder) indexRequests(in *Instance) {
	classes := len(in.settings.Classes)
	if len(in.classes) != classes || len(in.keys.byClass) != classes {
		c.fail("the number of class states or of key lists is not the number of classes")
	}
	for _, req := range in.requests.byArrival {
		isClassKnown := req.class >= 0 && req.class < classes
		isQuotaKnown := req.quota >= 0 && req.quota < quotaStatusCount
		if !isClassKnown || !isQuotaKnown || req.state > stateFinished {
			c.fail("the class, quota status or state of a request is out of range")
			return
		}
		if req.state != stateFinished {
			in.requests.byID[req.id] = req
		}
	}
}
