// Package scenario runs the real server, with its event loop and its connections, through incidents on the simulated system
// of package simnet. It simulates a complete cluster of servers with their interpreters, gateways and load reports, in a
// single thread and in virtual time. The scenario and a seed determine the result completely.
//
// A scenario consists of a load and a list of incidents. An invariant checker, which shares nothing with the server, checks
// the rules from the observations of callers and interpreters, and a Report holds the result. Explore generates scenarios
// from seeds and searches for one that violates a rule; Shrink reduces such a scenario.
package scenario
