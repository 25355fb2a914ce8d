// Package clustersim is a discrete-event simulation of a cluster of catalogue servers in virtual time: cores, memory,
// gateways with balancing and retry policies, clients, and incidents. Each server decides by the real admission module or by
// a policy to compare it with.
//
// A Config describes the cluster and its workload; Run simulates it and returns a Result. The package opens no socket and reads
// no clock. One goroutine makes a run from one seed, and the result is the same to the byte on any machine of one
// architecture. Each cause of randomness has random numbers of its own (newRandom), so that a change in one place does not
// shift the draws of all others.
//
// The model is that of the operators' brief: all jobs share the cores and thrash above a concurrency, reading a request
// costs work, queued and running requests and idempotency keys share the memory, a new process warms up, the endpoint list
// is late, and gateways behave as they do. A ruleChecker that shares no state with the servers checks the rules in each run.
//
// The simulation handles events in the order of their times. At the end of an instant, servers on which something happened
// settle: their modules start what can run.
package clustersim
