package pool

import "fmt"

// BalancingPolicy is the policy that chooses the member for an attempt.
type BalancingPolicy uint8

// The balancing policies, as nginx implements them.
const (
	RoundRobin     BalancingPolicy = iota // smooth weighted round robin
	LeastConn                             // fewest attempts in flight relative to the weight
	IPHash                                // by a hash of the client's network
	Hash                                  // by a hash of the request's key
	HashConsistent                        // by a hash of the key on a ring, so that few keys move when members change
	RandomTwo                             // the less loaded of two members that are drawn at random by weight
)

// balancingPolicyNames are the names of the policies in the configuration.
var balancingPolicyNames = [...]string{
	RoundRobin:     "round-robin",
	LeastConn:      "least-conn",
	IPHash:         "ip-hash",
	Hash:           "hash",
	HashConsistent: "hash-consistent",
	RandomTwo:      "random-two",
}

// String returns the name of the policy in the configuration.
func (b BalancingPolicy) String() string { return balancingPolicyNames[b] }

// ParseBalancingPolicy returns the policy with the name in the configuration.
func ParseBalancingPolicy(name string) (BalancingPolicy, error) {
	for b, known := range balancingPolicyNames {
		if known == name {
			return BalancingPolicy(b), nil
		}
	}
	return 0, fmt.Errorf("unknown method %q, want one of %v", name, balancingPolicyNames)
}

// rejectsBackups reports whether the policy can't be used with backup members, as in nginx.
func (b BalancingPolicy) rejectsBackups() bool {
	return b == IPHash || b == Hash || b == HashConsistent || b == RandomTwo
}
