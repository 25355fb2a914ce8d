package pool

import "time"

// poolMember is a configured Member with its runtime state, split by the file that maintains it.
type poolMember struct {
	Member
	index     int  // its position in Config.Members
	inFlight  int  // attempts
	isRemoved bool // no longer configured: it is only kept until its last attempt has ended

	roundRobinState
	failureState
	slowStartState
	outlierState
	rankState
	memberTotals
}

// memberTotals counts over the life of a member.
type memberTotals struct {
	attempts, failures, ejections uint64
}

// isAtMaxConns reports whether the member has as many attempts in flight as it may have.
func (m *poolMember) isAtMaxConns() bool { return m.MaxConns > 0 && m.inFlight >= m.MaxConns }

// memberState is the state of a member that a StateChange reports.
type memberState uint8

// The states of members in the log.
const (
	memberOut      memberState = iota // failed too often
	memberIn                          // available again
	memberEjected                     // an outlier
	memberProbing                     // its time out is over, and one attempt shows whether it is back
	memberJoined                      // new in the configuration
	memberLeft                        // no longer in the configuration
	memberReleased                    // left, and its last attempt has ended
)

// memberStateNames are the states in the log.
var memberStateNames = [...]string{
	memberOut:      "out",
	memberIn:       "in",
	memberEjected:  "ejected",
	memberProbing:  "probing",
	memberJoined:   "joined",
	memberLeft:     "left",
	memberReleased: "gone",
}

// String returns the state's name in the log.
func (s memberState) String() string { return memberStateNames[s] }

// StateChange is a change of a member's state, for the log.
type StateChange struct {
	At    time.Duration
	Addr  string
	State string // "out", "in", "ejected", "probing", "joined", "left" or "gone"
	Cause string
}

// recordChange keeps a change of state until TakeChanges.
func (p *Pool) recordChange(now time.Duration, addr string, state memberState, cause string) {
	p.changes = append(p.changes, StateChange{At: now, Addr: addr, State: state.String(), Cause: cause})
}

// TakeChanges returns the changes since the last call, oldest first.
func (p *Pool) TakeChanges() []StateChange {
	changes := p.changes
	p.changes = nil
	return changes
}

// MemberStatus is what metrics show of a member.
type MemberStatus struct {
	Addr        string
	InFlight    int  // attempts
	Unavailable bool // it gets no attempts but a probing one
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

// InFlight returns how many attempts a member has in flight, also one that has left the configuration.
func (p *Pool) InFlight(addr string) int {
	if member := p.findMember(addr); member != nil {
		return member.inFlight
	}
	return 0
}

// findMember returns the member with the address, also one that has left the configuration, or nil.
func (p *Pool) findMember(addr string) *poolMember {
	if member := p.byAddr[addr]; member != nil {
		return member
	}
	return p.draining[addr]
}
