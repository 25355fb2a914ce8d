package server

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// The statuses of answers.
const (
	statusServed   = 200
	statusInvalid  = 400
	statusTooLarge = 413
	statusFailed   = 500
	statusRefused  = 503
)

// actions carries out what the module decides.
type actions struct{ *Server }

// Run implements admission.Actions.
func (a actions) Run(id admission.RequestID) {
	t := a.tries[id]
	if t == nil || t.answered || t.state == running {
		return
	}
	if t.keyed && t.once && !a.keys.claim(t, a.told.Module.Classes[t.class].Window+windowSlack) {
		// A second run would break the rule on single effect, whatever led to it.
		a.count.ranTwice++
		a.log.Error("second run prevented", zap.String("request", t.wire))
		a.remark("second run of %d prevented", id)
		a.answer(t, gateway.Answer{Status: statusFailed})
		a.after(func() { a.module.Done(a.event(), id, admission.Errored) })
		return
	}
	a.count.runs++
	t.state = running
	if t.keyed && t.once && a.journal != nil {
		a.journal.run(t)
		return
	}
	a.link.Apply(t)
}

// Refuse implements admission.Actions.
func (a actions) Refuse(id admission.RequestID, stayAway time.Duration, last bool) {
	t := a.tries[id]
	if t == nil || t.answered {
		return
	}
	if t.once && (t.state != unrun || t.keyed && a.keys.hasRun(t)) {
		// A refusal says that nothing ran.
		a.count.refusedRan++
		a.log.Error("refusal after a run prevented", zap.String("request", t.wire))
		a.remark("refusal of %d after its run prevented", id)
		a.Fail(id)
		return
	}
	a.answer(t, refusal(stayAway, last))
	t.halted = t.awaits
	a.withdraw(t)
	a.drop(t)
}

// refusal is an answer that says when to come back, where that is honoured, and whether to try no other server.
func refusal(stayAway time.Duration, last bool) gateway.Answer {
	r := gateway.Answer{Status: statusRefused}
	if stayAway > 0 {
		ms := (stayAway + time.Millisecond - 1) / time.Millisecond
		r.Fields = append(r.Fields, gateway.Field{Name: "Back-Off-Ms", Value: strconv.FormatInt(int64(ms), 10)})
	}
	if last {
		r.Fields = append(r.Fields, gateway.Field{Name: "Final-Refusal", Value: "1"})
	}
	return r
}

// Fail implements admission.Actions.
func (a actions) Fail(id admission.RequestID) {
	if t := a.tries[id]; t != nil && !t.answered {
		a.answer(t, gateway.Answer{Status: statusFailed})
		t.halted = t.awaits
		a.withdraw(t)
		a.drop(t)
	}
}

// withdraw takes back the run of a try that the interpreter never heard of, and tells whether it did.
func (a actions) withdraw(t *try) bool {
	if t.state != running || t.awaits || !a.link.Withdraw(t.wire) {
		return false
	}
	t.state = broken
	a.unclaim(t)
	a.after(func() { a.over(t, admission.Cancelled) })
	return true
}

// Halt implements admission.Actions.
func (a actions) Halt(id admission.RequestID) {
	t := a.tries[id]
	switch {
	case t == nil || t.state != running || a.withdraw(t):
	case t.awaits:
		t.halted = true
	default:
		a.link.Break(t.wire)
	}
}

// Keep implements admission.Actions.
func (a actions) Keep(id admission.RequestID, lifetime time.Duration) {
	if t := a.tries[id]; t != nil && t.keyed {
		a.keys.keep(t, a.clock.now+lifetime)
	}
}

// Forget implements admission.Actions.
func (a actions) Forget(id admission.RequestID) {
	a.keys.forget(id)
}

// Reuse implements admission.Actions.
func (a actions) Reuse(id admission.RequestID) {
	t := a.tries[id]
	if t == nil || t.answered {
		return
	}
	source := a.keys.source(t)
	if source != nil && (source.state == running || source.state == unrun && !source.answered) {
		source.waiters = append(source.waiters, t)
		return
	}
	a.after(func() { a.echo(t, source) })
}

// Say implements admission.Actions.
func (a actions) Say(value float64) { a.hint = strconv.FormatFloat(value, 'f', 4, 64) }

// Health implements admission.Actions.
func (a actions) Health(good, fromStore bool) { a.healthy, a.fromStore = good, fromStore }

// CloseIdle implements admission.Actions.
func (a actions) CloseIdle(idle time.Duration) {
	a.idle = idle
	a.loop.Cancel(a.idleScan)
	a.scanIdle()
}

// After implements admission.Actions.
func (a actions) After(wait time.Duration, token uint32) {
	a.loop.After(wait, func() { a.ring(token) })
}

// Log implements admission.Actions.
func (a actions) Log(line string) { a.log.Info("decision", zap.String("text", line)) }

// Call implements admission.Actions; the module hears of no calls, as Awaits ends the requests that come to one.
func (a actions) Call(id admission.RequestID, _ time.Duration) { a.noCalls(id) }

// Skip implements admission.Actions, as Call.
func (a actions) Skip(id admission.RequestID) { a.noCalls(id) }

// noCalls reports a decision that nothing can have led to.
func (a actions) noCalls(id admission.RequestID) {
	a.log.Error("call without a dependency", zap.Uint32("id", uint32(id)))
}
