package clustersim

import (
	"maps"
	"slices"
	"time"

	"tillerusher/admission"
)

// The events of a server.
const (
	eventAttemptArrival   uint8 = iota // a try, ref is the *visit
	eventCoresDue                      // a job is done, or may be
	eventModuleTimer                   // the module's
	eventDeferred                      // kind an action led to, ref is a func()
	eventConcurrencyCheck              // the crowd on its cores
	eventWarmUp                        // its speed has changed
	eventStart                         // a process starts
	eventListenerClose                 // its listener closes
	eventStop                          // its process is ended
)

// keyEntry is what a server remembers under a key.
type keyEntry struct {
	holder       *attempt // that the module keeps, until then
	heldUntil    time.Duration
	lastRun      *attempt // that was run, whose arrivals until then must not be run again
	lastRunUntil time.Duration
}

// server is one catalogue server: what it has to offer its module, and what its module has it do.
type server struct {
	sim       *simulation
	index     int
	fullSpeed float64 // speed of its cores when warm
	slowdown  float64 // how many times slower it is for the time being
	hangs     int     // incidents under which its work stands still
	pauses    int     // incidents under which the whole machine does

	isUp           bool
	generation     int
	module         admission.Events
	startedAt      time.Duration
	startedCold    bool
	draining       bool
	listenerClosed bool // it takes no connections

	cores             cores
	coresEvent        *event
	unread            []*attempt
	reading           int
	attempts          map[admission.RequestID]*attempt
	lastID            admission.RequestID
	keys              map[uint64]*keyEntry
	heldKeys          map[admission.RequestID]uint64 // the keys that tries hold
	keysSweptAt       time.Duration
	isUnsettled       bool
	feedback          float64 // kind callers read
	hasFeedback       bool    // it has set that value
	healthy           bool
	runSeconds        float64       // stateRunning requests times seconds, since the start
	runSecondsSamples []float64     // the same at each look
	failureShare      float64       // part of its runs that end with an error
	pausedAt          time.Duration // since when the machine stands still
	pausedEvents      []*event      // that came meanwhile
}

// start starts a process.
func (s *server) start(cold bool) {
	w := &s.sim.config
	s.generation++
	s.isUp, s.startedCold, s.draining, s.listenerClosed, s.startedAt = true, cold, false, false, s.sim.now
	s.cores = cores{count: float64(w.Servers.Cores), thrashFactor: w.Servers.ThrashFactor, thrashThreshold: w.Servers.ThrashThreshold, updatedAt: s.sim.now}
	s.attempts, s.keys, s.heldKeys = map[admission.RequestID]*attempt{}, map[uint64]*keyEntry{}, map[admission.RequestID]uint64{}
	s.unread, s.reading, s.runSeconds, s.runSecondsSamples = nil, 0, 0, nil
	s.feedback, s.hasFeedback, s.healthy = 0, false, true
	s.updateSpeed()
	if cold && w.Servers.WarmUpTime > 0 {
		s.schedule(w.Servers.WarmUpTime/40, eventWarmUp, nil)
	}
	if w.Servers.MaxConcurrencyFactor > 0 {
		s.schedule(w.Servers.ConcurrencyWindow/concurrencySamples, eventConcurrencyCheck, nil)
	}
	set := w.admissionSettings()
	set.WarmingUp = cold
	module, err := s.sim.newModule(set, s)
	if err != nil {
		s.sim.fail(err)
		return
	}
	s.module = module
	s.markUnsettled()
	s.sim.announceEndpoint(s, true)
	s.sim.checker.serverStarted(s.index)
}

// admissionSettings is what a module is told of the world.
func (w *Config) admissionSettings() admission.Settings {
	s := &w.Servers
	set := admission.Settings{Servers: s.Count, Cores: s.Cores, Tick: s.Tick, InitialCapacity: s.InitialCapacity, WarmUpTime: s.WarmUpTime,
		MemoryKB: s.MemoryKB, KeyKB: s.KeyKB, RunningMemoryFactor: s.RunningMemoryFactor, MaxConcurrencyFactor: s.MaxConcurrencyFactor, DrainGracePeriod: s.DrainGracePeriod,
		StopMode: admission.StopDiscard, MaxRetryAfter: s.MaxRetryAfter, CallerIdleTimeout: s.CallerIdleTimeout}
	set.Feedback, _ = s.Feedback.admissionFeedback()
	if s.CannotStopRuns {
		set.StopMode = admission.StopNone
	}
	if s.InitialEndpoints > 0 {
		set.Servers = s.InitialEndpoints
	}
	for _, c := range w.Classes {
		k := admission.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, Weight: c.Weight, LateWeight: c.LateWeight}
		switch {
		case c.IdempotentByKey:
			k.Effect, k.KeyWindow = admission.IdempotentByKey, c.KeyWindow
		case c.NonIdempotent:
			k.Effect = admission.NonIdempotent
		}
		set.Classes = append(set.Classes, k)
	}
	for _, t := range w.Tenants {
		set.Tenants = append(set.Tenants, admission.Tenant{Quota: t.Quota})
	}
	for _, g := range w.Gateways {
		set.Callers += g.Count
	}
	return set
}

// retryEvent has an event come to this process.
func (s *server) schedule(wait time.Duration, what uint8, ref any) {
	e := s.sim.events.schedule(s.sim.now+max(wait, 0), s, what, ref)
	e.generation = uint32(s.generation)
}

// markUnsettled has the module settle at the end of this instant.
func (s *server) markUnsettled() {
	if !s.isUnsettled {
		s.isUnsettled = true
		s.sim.unsettled = append(s.sim.unsettled, s)
	}
}

// settle ends an instant.
func (s *server) settle() {
	s.isUnsettled = false
	if s.isUp && s.pauses == 0 {
		s.module.Settle(s.sim.now)
		s.rescheduleCores()
	}
}

// rescheduleCores sets when the cores are next due.
func (s *server) rescheduleCores() {
	at, ok := s.cores.nextFinish()
	switch {
	case !ok || !s.isUp || s.pauses > 0:
		s.sim.events.cancel(s.coresEvent)
	case s.coresEvent == nil:
		s.coresEvent = s.sim.events.schedule(at, s, eventCoresDue, nil)
	case s.coresEvent.index < 0 || s.coresEvent.at != at:
		s.sim.events.reschedule(s.coresEvent, at)
	}
}

// advance brings the cores up to now.
func (s *server) advance() {
	s.runSeconds += float64(s.cores.runCount) * max(s.sim.now-s.cores.updatedAt, 0).Seconds()
	s.cores.advance(s.sim.now)
}

// handle implements handler.
func (s *server) handle(e *event) {
	if s.pauses > 0 && e.kind != eventStart {
		s.pausedEvents = append(s.pausedEvents, s.sim.cloneEvent(e)) // the machine takes it in when it goes on
		return
	}
	mine := int(e.generation) == s.generation && s.isUp
	switch e.kind {
	case eventAttemptArrival:
		s.acceptAttempt(e.payload.(*attempt))
	case eventCoresDue:
		if s.isUp {
			s.completeJobs()
		}
	case eventModuleTimer:
		if mine {
			s.advance()
			s.module.Timer(s.sim.now, uint32(e.payload.(timerToken)), s.gauges())
			s.markUnsettled()
		}
	case eventDeferred:
		if mine {
			e.payload.(func())()
		}
	case eventConcurrencyCheck:
		if mine {
			s.checkConcurrency()
		}
	case eventWarmUp:
		if mine {
			s.advance()
			if s.updateSpeed(); s.sim.now-s.startedAt < s.sim.config.Servers.WarmUpTime {
				s.schedule(s.sim.config.Servers.WarmUpTime/40, eventWarmUp, nil)
			}
			s.rescheduleCores()
		}
	case eventStart:
		if !s.isUp {
			s.start(true)
		}
	case eventListenerClose:
		if mine {
			s.listenerClosed = true
			s.stopIfDrained()
		}
	case eventStop:
		if mine {
			s.terminate(false)
			s.sim.events.schedule(s.sim.now, s, eventStart, nil) // its successor
		}
	}
}

// gauges are the readings of the server, as far as its site tells them.
func (s *server) gauges() admission.Gauges {
	g := admission.Gauges{Utilization: s.cores.utilization, Runnable: float64(len(s.cores.jobs))}
	if s.sim.config.Servers.OmitRunnableGauge {
		g.Runnable = -1
	}
	return g
}

// timerToken is that of a timer.
type timerToken uint32

// warmUpShare is the part of its full speed that a process has by the time since its start.
func (s *server) warmUpShare() float64 {
	w := &s.sim.config.Servers
	if !s.startedCold || w.WarmUpTime == 0 {
		return 1
	}
	return min(1, w.InitialCapacity+(1-w.InitialCapacity)*float64(s.sim.now-s.startedAt)/float64(w.WarmUpTime))
}

// updateSpeed sets the speed of the cores by how warm and how slow the server is.
func (s *server) updateSpeed() {
	s.cores.speed = s.fullSpeed * s.warmUpShare() / max(s.slowdown, 1)
	if s.hangs > 0 {
		s.cores.speed = 0
	}
}

// acceptAttempt takes in a try that reached the machine.
func (s *server) acceptAttempt(v *attempt) {
	w := &s.sim.config.Servers
	if !s.isUp || s.listenerClosed || v.generation != s.generation || len(s.unread) >= w.BacklogPerCore*w.Cores {
		s.sim.deliverResult(v, outcomeUnreachable, 0, false)
		return
	}
	v.arrivedAt = s.sim.now
	s.sim.checker.attemptArrived(v.number, s.index, s.sim.now)
	s.unread = append(s.unread, v)
	s.advance()
	s.startReading()
	s.rescheduleCores()
}

// startReading begins to read what lies unread, one request a core.
func (s *server) startReading() {
	for s.reading < s.sim.config.Servers.Cores && len(s.unread) > 0 {
		v := s.unread[0]
		s.unread[0] = nil
		s.unread = s.unread[1:]
		if s.sim.readWork == 0 {
			s.submitRequest(v)
			continue
		}
		s.reading++
		s.cores.add(&job{attempt: v, isRead: true}, s.sim.readWork)
	}
}

// completeJobs ends the jobs that are done.
func (s *server) completeJobs() {
	s.advance()
	for j := s.cores.firstFinished(); j != nil; j = s.cores.firstFinished() {
		s.cores.remove(j)
		if j.isRead {
			s.reading--
			s.submitRequest(j.attempt)
			s.startReading()
		} else {
			s.finishRun(j.attempt)
		}
	}
	s.rescheduleCores()
}

// submitRequest tells the module of a request that was read.
func (s *server) submitRequest(v *attempt) {
	s.lastID++
	v.id, v.state = s.lastID, stateQueued
	s.attempts[v.id] = v
	s.sim.checker.attemptRead(v.number, s.sim.now)
	class := &s.sim.config.Classes[v.request.class]
	q := admission.Request{ID: v.id, Class: v.request.class, Tenant: v.request.tenant, Caller: v.request.gateway.index, QueueingDelay: s.sim.now - v.arrivedAt,
		IsRetry: v.isRetry, SizeKB: v.request.sizeKB}
	if class.IdempotentByKey {
		if v.original = s.findOriginal(v); v.original != nil {
			q.RetryOf = v.original.id
		}
	} else {
		q.ResourceID = v.request.resourceID
	}
	v.readAt = s.sim.now
	if m, ok := s.module.(admissionChecker); ok && s.sim.config.RecordRejectReasons {
		v.rejectReason = m.CheckAdmission(s.sim.now, q).Reason
	}
	s.module.Request(s.sim.now, q)
	s.markUnsettled()
	s.checkMemory()
}

// admissionChecker is a module that can say why it would turn an arrival away.
type admissionChecker interface {
	CheckAdmission(now time.Duration, q admission.Request) admission.AdmissionCheck
}

// findOriginal is the try that a new arrival repeats, or nil.
func (s *server) findOriginal(v *attempt) *attempt {
	if s.sim.now-s.keysSweptAt > time.Second {
		s.sweepKeys()
	}
	e := s.keys[v.request.key]
	switch {
	case e == nil:
		return nil
	case e.holder != nil && v.arrivedAt <= e.heldUntil:
		return e.holder
	case e.lastRun != nil && v.arrivedAt <= e.lastRunUntil:
		return e.lastRun
	}
	return nil
}

// sweepKeys forgets entries that ran out.
func (s *server) sweepKeys() {
	s.keysSweptAt = s.sim.now
	for k, e := range s.keys { // in any order: what is left does not depend on it
		if (e.holder == nil || s.sim.now > e.heldUntil) && (e.lastRun == nil || s.sim.now > e.lastRunUntil) {
			if e.holder != nil {
				delete(s.heldKeys, e.holder.id)
			}
			delete(s.keys, k)
		}
	}
}

// finishRun ends a run that came to its end.
func (s *server) finishRun(v *attempt) {
	v.job = nil
	s.sim.checker.runEnded(v.number, s.index)
	outcome := admission.OK
	if s.failureShare > 0 && s.sim.faultRandom.Float64() < s.failureShare {
		outcome = admission.Failed
	}
	s.completeRun(v, outcome)
}

// finishRun tells the gateway and the module how a run ended, and then those that waited for it.
func (s *server) completeRun(v *attempt, o admission.Outcome) {
	v.state, v.succeeded = stateEnded, o == admission.OK
	if v.succeeded {
		s.respond(v, outcomeServed, 0, false)
	} else {
		s.respond(v, outcomeFailed, 0, false)
	}
	s.module.RunFinished(s.sim.now, v.id, o)
	for _, w := range v.followers {
		s.replayOutcome(w, v.succeeded)
	}
	v.followers = nil
	s.forgetIfDone(v)
	s.markUnsettled()
	s.stopIfDrained()
}

// replayOutcome answers a repeat with the outcome of the try that ran.
func (s *server) replayOutcome(v *attempt, ok bool) {
	if v.answered {
		return
	}
	outcome, kind := admission.Failed, outcomeFailed
	if ok {
		outcome, kind = admission.OK, outcomeServed
	}
	v.state = stateEnded
	s.respond(v, kind, 0, false)
	s.module.RunFinished(s.sim.now, v.id, outcome)
	s.forgetIfDone(v)
	s.markUnsettled()
}

// cancel forgets a try that is answered and does not run.
func (s *server) forgetIfDone(v *attempt) {
	if v.answered && v.state != stateRunning {
		delete(s.attempts, v.id)
	}
}

// deliverResult sends a try's final answer.
func (s *server) respond(v *attempt, k outcome, stayAway time.Duration, last bool) {
	if v.answered {
		return
	}
	v.answered = true
	s.sim.deliverResult(v, k, stayAway, last)
}

// Run implements admission.Actions.
func (s *server) Run(id admission.RequestID) {
	v := s.attempts[id]
	if v == nil || v.answered || v.state != stateQueued {
		return
	}
	if class := &s.sim.config.Classes[v.request.class]; class.IdempotentByKey {
		e := s.ensureKey(v.request.key)
		if e.lastRun != nil && e.lastRun != v && v.arrivedAt <= e.lastRunUntil {
			s.sim.result.PreventedReruns++ // as the server prevents it, whatever the module says
			v.state = stateEnded
			s.respond(v, outcomeFailed, 0, false)
			s.schedule(0, eventDeferred, func() { s.module.RunFinished(s.sim.now, id, admission.Failed); s.markUnsettled() })
			return
		}
		e.lastRun, e.lastRunUntil = v, v.arrivedAt+class.KeyWindow
	}
	s.advance()
	v.state = stateRunning
	s.sim.checker.runStarted(v.number, s.index, s.sim.now)
	v.job = &job{attempt: v}
	s.cores.add(v.job, v.request.work)
	s.checkMemory()
}

// ensureKey is the entry of a key, made where there is none.
func (s *server) ensureKey(k uint64) *keyEntry {
	e := s.keys[k]
	if e == nil {
		e = &keyEntry{}
		s.keys[k] = e
	}
	return e
}

// dequeue takes a held try out of the hold.
func (s *server) dequeue(v *attempt) {
	if v.state == stateQueued || v.state == stateFollowing {
		v.state = stateEnded
	}
}

// Refuse implements admission.Actions.
func (s *server) Reject(id admission.RequestID, stayAway time.Duration, last bool) {
	if v := s.attempts[id]; v != nil && !v.answered {
		if s.sim.config.RecordRejectReasons {
			s.sim.result.RejectReasons[v.rejectReasonText(s.sim.now)]++
		}
		s.respond(v, outcomeRejected, stayAway, last)
		s.dequeue(v)
		s.forgetIfDone(v)
		s.stopIfDrained()
	}
}

// Fail implements admission.Actions.
func (s *server) Fail(id admission.RequestID) {
	if v := s.attempts[id]; v != nil && !v.answered {
		s.respond(v, outcomeFailed, 0, false)
		s.dequeue(v)
		s.forgetIfDone(v)
		s.stopIfDrained()
	}
}

// Halt implements admission.Actions: what runs is stopped, and its work is lost.
func (s *server) Stop(id admission.RequestID) {
	v := s.attempts[id]
	if v == nil || v.state != stateRunning || v.job == nil {
		return
	}
	s.advance()
	s.cores.remove(v.job)
	v.job = nil
	s.sim.checker.runEnded(v.number, s.index)
	s.schedule(0, eventDeferred, func() { s.completeRun(v, admission.Cancelled) })
}

// Keep implements admission.Actions.
func (s *server) KeepKey(id admission.RequestID, lifetime time.Duration) {
	v := s.attempts[id]
	if v == nil || v.request.key == 0 {
		return
	}
	e := s.ensureKey(v.request.key)
	if e.holder != nil {
		delete(s.heldKeys, e.holder.id)
	}
	e.holder, e.heldUntil = v, s.sim.now+lifetime
	s.heldKeys[id] = v.request.key
	s.sim.checker.keyKept(s.index, v.number, e.heldUntil)
	s.checkMemory()
}

// Forget implements admission.Actions.
func (s *server) ReleaseKey(id admission.RequestID) {
	k, ok := s.heldKeys[id]
	if !ok {
		return
	}
	delete(s.heldKeys, id)
	e := s.keys[k]
	s.sim.checker.keyReleased(s.index, e.holder.number)
	if e.holder = nil; e.lastRun == nil {
		delete(s.keys, k)
	}
}

// Reuse implements admission.Actions.
func (s *server) ReplayResult(id admission.RequestID) {
	v := s.attempts[id]
	if v == nil || v.answered || v.original == nil {
		return
	}
	source := v.original
	if e := s.keys[v.request.key]; e != nil && e.lastRun != nil {
		source = e.lastRun
	}
	if source.state == stateRunning || source.state == stateQueued {
		v.state = stateFollowing
		source.followers = append(source.followers, v)
		return
	}
	v.state = stateFollowing
	s.schedule(0, eventDeferred, func() { s.replayOutcome(v, source.succeeded) })
}

// Say implements admission.Actions.
func (s *server) AdvertiseLoad(value float64) { s.feedback, s.hasFeedback = value, true }

// Health implements admission.Actions.
func (s *server) SetHealth(good, _ bool) { s.healthy = good }

// RecoverySeconds implements admission.Actions.
func (s *server) SetTimer(wait time.Duration, t uint32) {
	s.schedule(max(wait, time.Microsecond), eventModuleTimer, timerToken(t))
}

// CloseIdle implements admission.Actions: connections are not modelled.
func (s *server) CloseIdleConnections(time.Duration) {}

// Call implements admission.Actions: nothing is called.
func (s *server) Call(admission.RequestID, time.Duration) {}

// Skip implements admission.Actions.
func (s *server) SkipCall(admission.RequestID) {}

// Log implements admission.Actions.
func (s *server) Log(string) { s.sim.result.LogLines++ }

// checkMemory has a server that needs more memory than it has fall over.
func (s *server) checkMemory() {
	if s.sim.checker.exceedsMemory(s.index, s.sim.now) {
		life := s.generation
		s.schedule(0, eventDeferred, func() {
			if s.generation == life {
				s.crash()
			}
		})
	}
}

// concurrencySamples is how often the crowd is looked at in the time over which it is averaged.
const concurrencySamples = 6

// checkConcurrency has a server fall over whose cores were crowded for too long.
func (s *server) checkConcurrency() {
	w := &s.sim.config.Servers
	s.advance()
	if s.runSecondsSamples = append(s.runSecondsSamples, s.runSeconds); len(s.runSecondsSamples) > concurrencySamples {
		mean := (s.runSeconds - s.runSecondsSamples[len(s.runSecondsSamples)-1-concurrencySamples]) / w.ConcurrencyWindow.Seconds()
		s.runSecondsSamples = s.runSecondsSamples[1:]
		if mean > (1+(w.MaxConcurrencyFactor-1)*s.warmUpShare())*float64(w.Cores) {
			s.sim.checker.serverCrashed(s.index, s.sim.now, "a crowd on its cores")
			s.crash()
			return
		}
	}
	s.schedule(w.ConcurrencyWindow/concurrencySamples, eventConcurrencyCheck, nil)
}

// crash ends the process, which starts again after a while.
func (s *server) crash() {
	s.sim.result.Crashes++
	s.terminate(true)
	s.sim.events.schedule(s.sim.now+s.sim.config.Servers.RestartDelay, s, eventStart, nil)
}

// terminate ends the process with all that it has.
func (s *server) terminate(killed bool) {
	if !s.isUp {
		return
	}
	s.isUp = false
	s.advance()
	s.sim.result.WorkDone += s.cores.workDone
	s.sim.events.cancel(s.coresEvent)
	lost := append([]*attempt(nil), s.unread...)
	for _, j := range s.cores.jobs {
		if j.isRead {
			lost = append(lost, j.attempt)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) { // in the order of reading, whatever the map's is
		lost = append(lost, s.attempts[id])
	}
	s.sim.checker.serverStopped(s.index, s.sim.now, killed)
	for _, v := range lost {
		if !v.answered {
			v.answered = true
			s.sim.deliverResult(v, outcomeConnectionLost, 0, false)
		}
	}
	s.cores.jobs, s.attempts, s.unread = nil, nil, nil
	s.sim.announceEndpoint(s, false)
}

// beginDrain has the process leave.
func (s *server) beginDrain() {
	if !s.isUp || s.draining {
		return
	}
	w := &s.sim.config.Servers
	s.draining = true
	s.sim.announceEndpoint(s, false)
	s.sim.checker.drainStarted(s.index, s.sim.now+w.DrainGracePeriod)
	s.module.Drain(s.sim.now, w.DrainTimeout)
	s.markUnsettled()
	s.schedule(w.DrainGracePeriod, eventListenerClose, nil)
	s.schedule(w.DrainTimeout, eventStop, nil)
}

// stopIfDrained ends a process that leaves and has nothing left to do.
func (s *server) stopIfDrained() {
	if s.draining && s.listenerClosed && len(s.attempts) == 0 && len(s.unread) == 0 && s.reading == 0 {
		s.schedule(0, eventStop, nil)
	}
}

// pauseMachine has the whole machine stand still, and resumeMachine ends that.
func (s *server) pauseMachine() {
	if s.pauses++; s.pauses == 1 && s.isUp {
		s.advance()
		s.pausedAt = s.sim.now
		s.sim.events.cancel(s.coresEvent)
	}
}

func (s *server) resumeMachine() {
	if s.pauses--; s.pauses > 0 {
		return
	}
	s.sim.checker.machinePaused(s.index, s.sim.now-s.pausedAt)
	s.cores.updatedAt = s.sim.now // nothing was done meanwhile
	waiting := s.pausedEvents
	s.pausedEvents = nil
	for _, e := range waiting {
		s.handle(e)
	}
	if s.isUp {
		s.rescheduleCores()
	}
}
