package pool

import "time"

// failureState is a member's state in nginx's passive health check (max_fails and fail_timeout). A member with MaxFails
// failures gets no attempts for FailTimeout, and then a single probing attempt that shows whether it has recovered. The
// fields and their use follow nginx's peer state, so that the same attempts give the same result.
type failureState struct {
	fails       int
	lastFailure time.Duration
	lastChecked time.Duration // last failure, or first selection more than FailTimeout after the previous lastChecked
	hasFailed   bool          // at least once; otherwise lastFailure and lastChecked are meaningless
	probing     bool          // the single probing attempt is in flight
}

// hasTooManyFails reports whether the member has reached MaxFails.
func (m *poolMember) hasTooManyFails() bool { return m.MaxFails > 0 && m.fails >= m.MaxFails }

// countFailure counts a failed attempt as nginx does. At MaxFails the member becomes unavailable.
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

// clearFailures resets the failure count after a successful attempt as nginx does: only if the member was selected more
// than FailTimeout after its last failure, or if the attempt was a probe.
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
