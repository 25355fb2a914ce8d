package clustersim

import (
	"maps"
	"slices"
	"time"

	"tillerusher/admission"
)

// The events of a server.
const (
	arrives  uint8 = iota // a try, ref is the *visit
	coresDue              // a job is done, or may be
	timerDue              // the module's
	deferred              // what an action led to, ref is a func()
	watches               // the crowd on its cores
	warms                 // its speed has changed
	comesUp               // a process starts
	leaves                // its listener closes
	stops                 // its process is ended
)

// entry is what a server remembers under a key.
type entry struct {
	holder   *visit // that the module keeps, until then
	until    time.Duration
	ran      *visit // that was run, whose arrivals until then must not be run again
	ranUntil time.Duration
}

// server is one catalogue server: what it has to offer its module, and what its module has it do.
type server struct {
	sim   *sim
	n     int
	full  float64 // speed of its cores when warm
	slow  float64 // how many times slower it is for the time being
	stuck int     // incidents under which its work stands still
	still int     // incidents under which the whole machine does

	up       bool
	life     int
	module   admission.Events
	started  time.Duration
	cold     bool
	draining bool
	closed   bool // it takes no connections

	cores    cores
	coresAt  *event
	unread   []*visit
	reading  int
	visits   map[admission.RequestID]*visit
	lastID   admission.RequestID
	keys     map[uint64]*entry
	holders  map[admission.RequestID]uint64 // the keys that tries hold
	swept    time.Duration
	touched  bool
	value    float64 // what callers read
	told     bool    // it has set that value
	healthy  bool
	runTime  float64       // running requests times seconds, since the start
	runTimes []float64     // the same at each look
	failing  float64       // part of its runs that end with an error
	pausedAt time.Duration // since when the machine stands still
	waiting  []*event      // that came meanwhile
}

// begin starts a process.
func (s *server) begin(cold bool) {
	w := &s.sim.world
	s.life++
	s.up, s.cold, s.draining, s.closed, s.started = true, cold, false, false, s.sim.now
	s.cores = cores{n: float64(w.Servers.Cores), thrash: w.Servers.ThrashFactor, thrashAt: w.Servers.ThrashThreshold, last: s.sim.now}
	s.visits, s.keys, s.holders = map[admission.RequestID]*visit{}, map[uint64]*entry{}, map[admission.RequestID]uint64{}
	s.unread, s.reading, s.runTime, s.runTimes = nil, 0, 0, nil
	s.value, s.told, s.healthy = 0, false, true
	s.setSpeed()
	if cold && w.Servers.WarmUpTime > 0 {
		s.later(w.Servers.WarmUpTime/40, warms, nil)
	}
	if w.Servers.MaxConcurrencyFactor > 0 {
		s.later(w.Servers.ConcurrencyWindow/watchParts, watches, nil)
	}
	set := w.settings()
	set.WarmingUp = cold
	module, err := s.sim.policy(set, s)
	if err != nil {
		s.sim.fail(err)
		return
	}
	s.module = module
	s.touch()
	s.sim.list(s, true)
	s.sim.observer.began(s.n)
}

// settings is what a module is told of the world.
func (w *Config) settings() admission.Settings {
	s := &w.Servers
	set := admission.Settings{Servers: s.Count, Cores: s.Cores, Tick: s.Tick, InitialCapacity: s.InitialCapacity, WarmUpTime: s.WarmUpTime,
		MemoryKB: s.MemoryKB, KeyKB: s.KeyKB, RunningMemoryFactor: s.RunningMemoryFactor, MaxConcurrencyFactor: s.MaxConcurrencyFactor, DrainGracePeriod: s.DrainGracePeriod,
		StopMode: admission.StopDiscard, MaxRetryAfter: s.MaxRetryAfter, CallerIdleTimeout: s.CallerIdleTimeout}
	set.Feedback, _ = s.Feedback.module()
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

// later has an event come to this process.
func (s *server) later(wait time.Duration, what uint8, ref any) {
	e := s.sim.queue.set(s.sim.now+max(wait, 0), s, what, ref)
	e.n = uint32(s.life)
}

// touch has the module settle at the end of this instant.
func (s *server) touch() {
	if !s.touched {
		s.touched = true
		s.sim.touched = append(s.sim.touched, s)
	}
}

// settle ends an instant.
func (s *server) settle() {
	s.touched = false
	if s.up && s.still == 0 {
		s.module.Settle(s.sim.now)
		s.look()
	}
}

// look sets when the cores are next due.
func (s *server) look() {
	at, ok := s.cores.next()
	switch {
	case !ok || !s.up || s.still > 0:
		s.sim.queue.drop(s.coresAt)
	case s.coresAt == nil:
		s.coresAt = s.sim.queue.set(at, s, coresDue, nil)
	case s.coresAt.pos < 0 || s.coresAt.at != at:
		s.sim.queue.put(s.coresAt, at)
	}
}

// advance brings the cores up to now.
func (s *server) advance() {
	s.runTime += float64(s.cores.runs) * max(s.sim.now-s.cores.last, 0).Seconds()
	s.cores.advance(s.sim.now)
}

// handle implements handler.
func (s *server) handle(e *event) {
	if s.still > 0 && e.what != comesUp {
		s.waiting = append(s.waiting, s.sim.copyOf(e)) // the machine takes it in when it goes on
		return
	}
	mine := int(e.n) == s.life && s.up
	switch e.what {
	case arrives:
		s.arrive(e.ref.(*visit))
	case coresDue:
		if s.up {
			s.work()
		}
	case timerDue:
		if mine {
			s.advance()
			s.module.Timer(s.sim.now, uint32(e.ref.(token)), s.gauges())
			s.touch()
		}
	case deferred:
		if mine {
			e.ref.(func())()
		}
	case watches:
		if mine {
			s.watch()
		}
	case warms:
		if mine {
			s.advance()
			if s.setSpeed(); s.sim.now-s.started < s.sim.world.Servers.WarmUpTime {
				s.later(s.sim.world.Servers.WarmUpTime/40, warms, nil)
			}
			s.look()
		}
	case comesUp:
		if !s.up {
			s.begin(true)
		}
	case leaves:
		if mine {
			s.closed = true
			s.goIfDone()
		}
	case stops:
		if mine {
			s.die(false)
			s.sim.queue.set(s.sim.now, s, comesUp, nil) // its successor
		}
	}
}

// gauges are the readings of the server, as far as its site tells them.
func (s *server) gauges() admission.Gauges {
	g := admission.Gauges{Utilization: s.cores.busy, Runnable: float64(len(s.cores.jobs))}
	if s.sim.world.Servers.OmitRunnableGauge {
		g.Runnable = -1
	}
	return g
}

// token is that of a timer.
type token uint32

// warmth is the part of its full speed that a process has by the time since its start.
func (s *server) warmth() float64 {
	w := &s.sim.world.Servers
	if !s.cold || w.WarmUpTime == 0 {
		return 1
	}
	return min(1, w.InitialCapacity+(1-w.InitialCapacity)*float64(s.sim.now-s.started)/float64(w.WarmUpTime))
}

// setSpeed sets the speed of the cores by how warm and how slow the server is.
func (s *server) setSpeed() {
	s.cores.speed = s.full * s.warmth() / max(s.slow, 1)
	if s.stuck > 0 {
		s.cores.speed = 0
	}
}

// arrive takes in a try that reached the machine.
func (s *server) arrive(v *visit) {
	w := &s.sim.world.Servers
	if !s.up || s.closed || v.life != s.life || len(s.unread) >= w.BacklogPerCore*w.Cores {
		s.sim.answer(v, unreachable, 0, false)
		return
	}
	v.arrived = s.sim.now
	s.sim.observer.arrived(v.n, s.n, s.sim.now)
	s.unread = append(s.unread, v)
	s.advance()
	s.read()
	s.look()
}

// read begins to read what lies unread, one request a core.
func (s *server) read() {
	for s.reading < s.sim.world.Servers.Cores && len(s.unread) > 0 {
		v := s.unread[0]
		s.unread[0] = nil
		s.unread = s.unread[1:]
		if s.sim.readWork == 0 {
			s.request(v)
			continue
		}
		s.reading++
		s.cores.add(&job{of: v, read: true}, s.sim.readWork)
	}
}

// work ends the jobs that are done.
func (s *server) work() {
	s.advance()
	for j := s.cores.done(); j != nil; j = s.cores.done() {
		s.cores.take(j)
		if j.read {
			s.reading--
			s.request(j.of)
			s.read()
		} else {
			s.finish(j.of)
		}
	}
	s.look()
}

// request tells the module of a request that was read.
func (s *server) request(v *visit) {
	s.lastID++
	v.id, v.state = s.lastID, held
	s.visits[v.id] = v
	s.sim.observer.wasRead(v.n, s.sim.now)
	class := &s.sim.world.Classes[v.req.class]
	q := admission.Request{ID: v.id, Class: v.req.class, Tenant: v.req.tenant, Caller: v.req.gateway.n, QueueingDelay: s.sim.now - v.arrived,
		IsRetry: v.again, SizeKB: v.req.sizeKB}
	if class.IdempotentByKey {
		if v.repeats = s.find(v); v.repeats != nil {
			q.RetryOf = v.repeats.id
		}
	} else {
		q.ResourceID = v.req.subject
	}
	v.readAt = s.sim.now
	if m, ok := s.module.(weigher); ok && s.sim.world.RecordRejectReasons {
		v.reason = m.CheckAdmission(s.sim.now, q).Reason
	}
	s.module.Request(s.sim.now, q)
	s.touch()
	s.checkMemory()
}

// weigher is a module that can say why it would turn an arrival away.
type weigher interface {
	CheckAdmission(now time.Duration, q admission.Request) admission.AdmissionCheck
}

// find is the try that a new arrival repeats, or nil.
func (s *server) find(v *visit) *visit {
	if s.sim.now-s.swept > time.Second {
		s.sweep()
	}
	e := s.keys[v.req.key]
	switch {
	case e == nil:
		return nil
	case e.holder != nil && v.arrived <= e.until:
		return e.holder
	case e.ran != nil && v.arrived <= e.ranUntil:
		return e.ran
	}
	return nil
}

// sweep forgets entries that ran out.
func (s *server) sweep() {
	s.swept = s.sim.now
	for k, e := range s.keys { // in any order: what is left does not depend on it
		if (e.holder == nil || s.sim.now > e.until) && (e.ran == nil || s.sim.now > e.ranUntil) {
			if e.holder != nil {
				delete(s.holders, e.holder.id)
			}
			delete(s.keys, k)
		}
	}
}

// finish ends a run that came to its end.
func (s *server) finish(v *visit) {
	v.job = nil
	s.sim.observer.ended(v.n, s.n)
	outcome := admission.OK
	if s.failing > 0 && s.sim.faults.Float64() < s.failing {
		outcome = admission.Failed
	}
	s.end(v, outcome)
}

// end tells the gateway and the module how a run ended, and then those that waited for it.
func (s *server) end(v *visit, o admission.Outcome) {
	v.state, v.ok = ended, o == admission.OK
	if v.ok {
		s.answer(v, served, 0, false)
	} else {
		s.answer(v, failed, 0, false)
	}
	s.module.RunFinished(s.sim.now, v.id, o)
	for _, w := range v.waiters {
		s.echo(w, v.ok)
	}
	v.waiters = nil
	s.drop(v)
	s.touch()
	s.goIfDone()
}

// echo answers a repeat with the outcome of the try that ran.
func (s *server) echo(v *visit, ok bool) {
	if v.answered {
		return
	}
	outcome, kind := admission.Failed, failed
	if ok {
		outcome, kind = admission.OK, served
	}
	v.state = ended
	s.answer(v, kind, 0, false)
	s.module.RunFinished(s.sim.now, v.id, outcome)
	s.drop(v)
	s.touch()
}

// drop forgets a try that is answered and does not run.
func (s *server) drop(v *visit) {
	if v.answered && v.state != running {
		delete(s.visits, v.id)
	}
}

// answer sends a try's final answer.
func (s *server) answer(v *visit, k kind, stayAway time.Duration, last bool) {
	if v.answered {
		return
	}
	v.answered = true
	s.sim.answer(v, k, stayAway, last)
}

// Run implements admission.Actions.
func (s *server) Run(id admission.RequestID) {
	v := s.visits[id]
	if v == nil || v.answered || v.state != held {
		return
	}
	if class := &s.sim.world.Classes[v.req.class]; class.IdempotentByKey {
		e := s.key(v.req.key)
		if e.ran != nil && e.ran != v && v.arrived <= e.ranUntil {
			s.sim.result.PreventedReruns++ // as the server prevents it, whatever the module says
			v.state = ended
			s.answer(v, failed, 0, false)
			s.later(0, deferred, func() { s.module.RunFinished(s.sim.now, id, admission.Failed); s.touch() })
			return
		}
		e.ran, e.ranUntil = v, v.arrived+class.KeyWindow
	}
	s.advance()
	v.state = running
	s.sim.observer.ran(v.n, s.n, s.sim.now)
	v.job = &job{of: v}
	s.cores.add(v.job, v.req.work)
	s.checkMemory()
}

// key is the entry of a key, made where there is none.
func (s *server) key(k uint64) *entry {
	e := s.keys[k]
	if e == nil {
		e = &entry{}
		s.keys[k] = e
	}
	return e
}

// leave takes a held try out of the hold.
func (s *server) leave(v *visit) {
	if v.state == held || v.state == awaiting {
		v.state = ended
	}
}

// Refuse implements admission.Actions.
func (s *server) Reject(id admission.RequestID, stayAway time.Duration, last bool) {
	if v := s.visits[id]; v != nil && !v.answered {
		if s.sim.world.RecordRejectReasons {
			s.sim.result.RejectReasons[v.why(s.sim.now)]++
		}
		s.answer(v, refused, stayAway, last)
		s.leave(v)
		s.drop(v)
		s.goIfDone()
	}
}

// Fail implements admission.Actions.
func (s *server) Fail(id admission.RequestID) {
	if v := s.visits[id]; v != nil && !v.answered {
		s.answer(v, failed, 0, false)
		s.leave(v)
		s.drop(v)
		s.goIfDone()
	}
}

// Halt implements admission.Actions: what runs is stopped, and its work is lost.
func (s *server) Stop(id admission.RequestID) {
	v := s.visits[id]
	if v == nil || v.state != running || v.job == nil {
		return
	}
	s.advance()
	s.cores.take(v.job)
	v.job = nil
	s.sim.observer.ended(v.n, s.n)
	s.later(0, deferred, func() { s.end(v, admission.Cancelled) })
}

// Keep implements admission.Actions.
func (s *server) KeepKey(id admission.RequestID, lifetime time.Duration) {
	v := s.visits[id]
	if v == nil || v.req.key == 0 {
		return
	}
	e := s.key(v.req.key)
	if e.holder != nil {
		delete(s.holders, e.holder.id)
	}
	e.holder, e.until = v, s.sim.now+lifetime
	s.holders[id] = v.req.key
	s.sim.observer.kept(s.n, v.n, e.until)
	s.checkMemory()
}

// Forget implements admission.Actions.
func (s *server) ReleaseKey(id admission.RequestID) {
	k, ok := s.holders[id]
	if !ok {
		return
	}
	delete(s.holders, id)
	e := s.keys[k]
	s.sim.observer.forgot(s.n, e.holder.n)
	if e.holder = nil; e.ran == nil {
		delete(s.keys, k)
	}
}

// Reuse implements admission.Actions.
func (s *server) ReplayResult(id admission.RequestID) {
	v := s.visits[id]
	if v == nil || v.answered || v.repeats == nil {
		return
	}
	source := v.repeats
	if e := s.keys[v.req.key]; e != nil && e.ran != nil {
		source = e.ran
	}
	if source.state == running || source.state == held {
		v.state = awaiting
		source.waiters = append(source.waiters, v)
		return
	}
	v.state = awaiting
	s.later(0, deferred, func() { s.echo(v, source.ok) })
}

// Say implements admission.Actions.
func (s *server) AdvertiseLoad(value float64) { s.value, s.told = value, true }

// Health implements admission.Actions.
func (s *server) SetHealth(good, _ bool) { s.healthy = good }

// RecoverySeconds implements admission.Actions.
func (s *server) SetTimer(wait time.Duration, t uint32) {
	s.later(max(wait, time.Microsecond), timerDue, token(t))
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
	if s.sim.observer.memory(s.n, s.sim.now) {
		life := s.life
		s.later(0, deferred, func() {
			if s.life == life {
				s.fallOver()
			}
		})
	}
}

// watchParts is how often the crowd is looked at in the time over which it is averaged.
const watchParts = 6

// watch has a server fall over whose cores were crowded for too long.
func (s *server) watch() {
	w := &s.sim.world.Servers
	s.advance()
	if s.runTimes = append(s.runTimes, s.runTime); len(s.runTimes) > watchParts {
		mean := (s.runTime - s.runTimes[len(s.runTimes)-1-watchParts]) / w.ConcurrencyWindow.Seconds()
		s.runTimes = s.runTimes[1:]
		if mean > (1+(w.MaxConcurrencyFactor-1)*s.warmth())*float64(w.Cores) {
			s.sim.observer.fell(s.n, s.sim.now, "a crowd on its cores")
			s.fallOver()
			return
		}
	}
	s.later(w.ConcurrencyWindow/watchParts, watches, nil)
}

// fallOver ends the process, which starts again after a while.
func (s *server) fallOver() {
	s.sim.result.Crashes++
	s.die(true)
	s.sim.queue.set(s.sim.now+s.sim.world.Servers.RestartDelay, s, comesUp, nil)
}

// die ends the process with all that it has.
func (s *server) die(killed bool) {
	if !s.up {
		return
	}
	s.up = false
	s.advance()
	s.sim.result.WorkDone += s.cores.worked
	s.sim.queue.drop(s.coresAt)
	lost := append([]*visit(nil), s.unread...)
	for _, j := range s.cores.jobs {
		if j.read {
			lost = append(lost, j.of)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.visits)) { // in the order of reading, whatever the map's is
		lost = append(lost, s.visits[id])
	}
	s.sim.observer.died(s.n, s.sim.now, killed)
	for _, v := range lost {
		if !v.answered {
			v.answered = true
			s.sim.answer(v, broken, 0, false)
		}
	}
	s.cores.jobs, s.visits, s.unread = nil, nil, nil
	s.sim.list(s, false)
}

// drain has the process leave.
func (s *server) drain() {
	if !s.up || s.draining {
		return
	}
	w := &s.sim.world.Servers
	s.draining = true
	s.sim.list(s, false)
	s.sim.observer.drained(s.n, s.sim.now+w.DrainGracePeriod)
	s.module.Drain(s.sim.now, w.DrainTimeout)
	s.touch()
	s.later(w.DrainGracePeriod, leaves, nil)
	s.later(w.DrainTimeout, stops, nil)
}

// goIfDone ends a process that leaves and has nothing left to do.
func (s *server) goIfDone() {
	if s.draining && s.closed && len(s.visits) == 0 && len(s.unread) == 0 && s.reading == 0 {
		s.later(0, stops, nil)
	}
}

// pause has the whole machine stand still, and goOn ends that.
func (s *server) pause() {
	if s.still++; s.still == 1 && s.up {
		s.advance()
		s.pausedAt = s.sim.now
		s.sim.queue.drop(s.coresAt)
	}
}

func (s *server) goOn() {
	if s.still--; s.still > 0 {
		return
	}
	s.sim.observer.paused(s.n, s.sim.now-s.pausedAt)
	s.cores.last = s.sim.now // nothing was done meanwhile
	waiting := s.waiting
	s.waiting = nil
	for _, e := range waiting {
		s.handle(e)
	}
	if s.up {
		s.look()
	}
}
