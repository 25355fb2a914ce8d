// Package clustersim is a discrete-event simulation of a cluster of catalogue servers in virtual time: cores, memory,
// gateways with balancing and retry policies, clients, and incidents. The decisions of each server are made by the real
// admission module or by a policy that it is compared with.
//
// A Config describes the cluster and its workload; Run simulates it and returns a Result. The package opens no socket and
// reads no clock. A run uses one goroutine and one seed, and its result is byte-identical on all machines of the same
// architecture. Each cause of randomness has its own random number generator (newRandom), so that a change in one place
// does not shift the draws of all others.
//
// The model follows the operators' brief. All jobs share the cores, which thrash above a concurrency. Reading a request
// costs work. Queued requests, running requests and idempotency keys share the memory. A new process warms up. Gateways
// see changes of the endpoint list with a delay, and balance and retry as the operators' gateways do. A ruleChecker,
// which shares no state with the servers, checks the rules in each run.
//
// The simulation handles events in the order of their times. At the end of an instant it calls Settle on the modules of
// all servers that had an event at that instant; the modules then start the requests that can run.
package clustersim
