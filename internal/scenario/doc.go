// Package scenario runs the real server, with its event loop and its connections, through incidents on the simulated system of
// package simnet: a whole cluster of servers with their interpreters, gateways and load reports, in one thread and in virtual
// time. A seed determines every run completely.
//
// A scenario is a load and a list of incidents. An invariant checker, which shares nothing with the server, checks the rules from
// what callers and interpreters see, and a Report holds the result. Explore generates scenarios from seeds and looks for one that
// violates a rule; Shrink reduces such a scenario.
package scenario
