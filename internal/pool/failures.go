package pool

import "time"

// failureState is the passive health check of nginx (max_fails and fail_timeout): a member with MaxFails failures gets
// no attempts for FailTimeout, then one that probes whether it is back. The fields and their use follow nginx's peer
// state, so that the same attempts give the same result.
type failureState struct {
	fails       int
	lastFailure time.Duration
	lastChecked time.Duration // when it failed last, or was first chosen more than FailTimeout after that
	hasFailed   bool          // at least once; else the times above mean nothing
	probing     bool          // the single attempt that may show that it is back is in flight
}

// hasTooManyFails reports whether the member failed as often as it may.
func (m *poolMember) hasTooManyFails() bool { return m.MaxFails > 0 && m.fails >= m.MaxFails }

// countFailure counts a failed attempt as nginx does, and takes the member out once it has too many.
func (p *Pool) countFailure(member *poolMember, now time.Duration) {
	p.stopRotation()
	wasOut := member.hasTooManyFails()
	member.fails++
	member.failures++
	member.lastFailure = now
	member.lastChecked = now
	member.hasFailed = true
	if member.MaxFails > 0 {
		member.effectiveWeight = max(member.effectiveWeight-member.Weight/member.MaxFails, 0)
	}
	if member.hasTooManyFails() && !wasOut {
		p.failing++
		p.beginSlowStart(member, now+member.FailTimeout)
		p.recordChange(now, member.Addr, memberOut, "its failures")
	}
}

// clearFailures forgets failures after a successful attempt as nginx does: only those before the last time out, or all
// if the attempt was a probe.
func (p *Pool) clearFailures(member *poolMember, now time.Duration, wasProbe bool) {
	if !member.hasFailed || member.lastFailure >= member.lastChecked && !wasProbe {
		return
	}
	if member.hasTooManyFails() {
		p.failing--
		p.recordChange(now, member.Addr, memberIn, "a try went well")
		p.beginSlowStart(member, now)
	}
	member.fails = 0
}
