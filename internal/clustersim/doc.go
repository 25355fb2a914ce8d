// Package model is a fleet of catalogue servers in virtual time: a discrete-event simulation of cores, memory, gateways
// with habits, clients and incidents, in which each server decides by the real decision module or by a policy to compare it
// with. It opens no socket and reads no clock. A run is made by one goroutine from one seed and is the same to the byte on
// any machine of one architecture; each cause of chance draws from a stream of its own, so that a change in one place does
// not shift all others.
//
// The world is that of the operators' brief: all that runs shares the cores and slows down in a crowd, reading costs work,
// held and running requests and remembered keys share a memory, a fresh server is cold, lists of servers are late, gateways
// can't be changed. An observer that shares no state with the servers checks the four rules in every run.
package clustersim
