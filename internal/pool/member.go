package pool

import "time"

// poolMember is a configured Member with its runtime state. Each embedded state is maintained by one file.
type poolMember struct {
	Member
	index     int  // position in Config.Members
	inFlight  int  // attempts
	isRemoved bool // no longer configured, and kept only until its last attempt has ended

	roundRobinState
	failureState
	slowStartState
	outlierState
	rankState
	memberTotals
}

// memberTotals are counters over the lifetime of a member.
type memberTotals struct {
	attempts, failures, ejections uint64
}

// isAtMaxConns reports whether the member's attempts in flight have reached MaxConns.
func (m *poolMember) isAtMaxConns() bool { return m.MaxConns > 0 && m.inFlight >= m.MaxConns }

// memberState is the state of a member that a StateChange reports.
type memberState uint8

// The member states in the log.
const (
	memberOut      memberState = iota // unavailable: it has MaxFails failures
	memberIn                          // available again
	memberEjected                     // ejected as an outlier
	memberProbing                     // its fail timeout or ejection has expired, and a probing attempt is in flight
	memberJoined                      // added to the configuration
	memberLeft                        // removed from the configuration
	memberReleased                    // removed from the configuration, and its last attempt has ended
)

// memberStateNames are the names of the states in the log.
var memberStateNames = [...]string{
	memberOut:      "out",
	memberIn:       "in",
	memberEjected:  "ejected",
	memberProbing:  "probing",
	memberJoined:   "joined",
	memberLeft:     "left",
	memberReleased: "gone",
}

// String returns the name of the state in the log.
func (s memberState) String() string { return memberStateNames[s] }

// StateChange is a change of a member's state, for the log.
type StateChange struct {
	At    time.Duration
	Addr  string
	State string // "out", "in", "ejected", "probing", "joined", "left" or "gone"
	Cause string
}

// recordChange records a state change for TakeChanges.
func (p *Pool) recordChange(now time.Duration, addr string, state memberState, cause string) {
	p.changes = append(p.changes, StateChange{At: now, Addr: addr, State: state.String(), Cause: cause})
}

// TakeChanges returns the state changes since the last call, oldest first.
func (p *Pool) TakeChanges() []StateChange {
	changes := p.changes
	p.changes = nil
	return changes
}

// MemberStatus is a member's status for metrics.
type MemberStatus struct {
	Addr        string
	InFlight    int  // attempts
	Unavailable bool // it gets no attempts, except a probing one
	Attempts    uint64
	Failures    uint64
	Ejections   uint64
}

// MemberStatuses returns the status of each configured member: primary ones in the order of the configuration, then
// backups.
func (p *Pool) MemberStatuses() []MemberStatus {
	statuses := make([]MemberStatus, 0, len(p.members))
	for _, member := range p.members {
		isTimedOut := member.hasTooManyFails() && !p.hasSingleMember()
		statuses = append(statuses, MemberStatus{
			Addr:        member.Addr,
			InFlight:    member.inFlight,
			Unavailable: member.isEjected || isTimedOut || member.Down,
			Attempts:    member.attempts,
			Failures:    member.failures,
			Ejections:   member.ejections,
		})
	}
	return statuses
}

// InFlight returns the number of attempts in flight at a member, which may have been removed from the configuration.
func (p *Pool) InFlight(addr string) int {
	if member := p.findMember(addr); member != nil {
		return member.inFlight
	}
	return 0
}

// findMember returns the member with the address, or nil. The member may have been removed from the configuration, if it
// still has attempts in flight.
func (p *Pool) findMember(addr string) *poolMember {
	if member := p.byAddr[addr]; member != nil {
		return member
	}
	return p.draining[addr]
}
