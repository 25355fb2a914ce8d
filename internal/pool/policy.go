package pool

import "fmt"

// BalancingPolicy is how the member for an attempt is chosen.
type BalancingPolicy uint8

// The balancing policies, as nginx implements them.
const (
	RoundRobin     BalancingPolicy = iota // smooth weighted round robin
	LeastConn                             // fewest attempts in flight for the weight
	IPHash                                // by the client's network
	Hash                                  // by a key of the request
	HashConsistent                        // by a key, on a ring that moves few keys when members change
	RandomTwo                             // the less loaded of two that are drawn by weight
)

// balancingPolicyNames are the policies' names in settings.
var balancingPolicyNames = [...]string{
	RoundRobin:     "round-robin",
	LeastConn:      "least-conn",
	IPHash:         "ip-hash",
	Hash:           "hash",
	HashConsistent: "hash-consistent",
	RandomTwo:      "random-two",
}

// String returns the policy's name in settings.
func (b BalancingPolicy) String() string { return balancingPolicyNames[b] }

// ParseBalancingPolicy returns the policy with a name of the settings.
func ParseBalancingPolicy(name string) (BalancingPolicy, error) {
	for b, known := range balancingPolicyNames {
		if known == name {
			return BalancingPolicy(b), nil
		}
	}
	return 0, fmt.Errorf("no method is called %q, want one of %v", name, balancingPolicyNames)
}

// rejectsBackups reports whether the policy can't be combined with backup members, as in nginx.
func (b BalancingPolicy) rejectsBackups() bool {
	return b == IPHash || b == Hash || b == HashConsistent || b == RandomTwo
}
