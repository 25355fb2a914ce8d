package pool

import "time"

// failureState is the passive health check of nginx (max_fails and fail_timeout): a member with MaxFails failures gets
// no attempts for FailTimeout, then one that probes whether it is back. The fields and their use follow nginx's peer
// state, so that the same attempts give the same result.
type failureState struct {
	fails       int
	lastFailure time.Duration
	lastChecked time.Duration // when it failed last, or was first chosen more than FailTimeout after that
	hasFailed   bool          // ever: the times above have a meaning
	probing     bool          // the single attempt that may show that it is back is in flight
}

// hasTooManyFails reports whether the member failed as often as it may.
func (m *member) hasTooManyFails() bool { return m.MaxFails > 0 && m.fails >= m.MaxFails }

// countFailure counts a failed attempt as nginx does, and takes the member out once it has too many.
func (p *Pool) countFailure(m *member, now time.Duration) {
	p.stopRotation()
	wasOut := m.hasTooManyFails()
	m.fails++
	m.failures++
	m.lastFailure = now
	m.lastChecked = now
	m.hasFailed = true
	if m.MaxFails > 0 {
		m.effectiveWeight = max(m.effectiveWeight-m.Weight/m.MaxFails, 0)
	}
	if m.hasTooManyFails() && !wasOut {
		p.failing++
		p.beginSlowStart(m, now+m.FailTimeout)
		p.recordChange(now, m.Addr, memberOut, "its failures")
	}
}

// clearFailures forgets failures after a successful attempt as nginx does: only those before the last time out, or all
// if the attempt was a probe.
func (p *Pool) clearFailures(m *member, now time.Duration, wasProbe bool) {
	if !m.hasFailed || m.lastFailure >= m.lastChecked && !wasProbe {
		return
	}
	if m.hasTooManyFails() {
		p.failing--
		p.recordChange(now, m.Addr, memberIn, "a try went well")
		p.beginSlowStart(m, now)
	}
	m.fails = 0
}
