// Package experiment runs the cluster simulation many times. A file of S-expressions gives the configurations, the
// variables of a sweep, the policies and the seeds.
//
// Runs are distributed over the cores, and their results are written to one file in the order of the plan. An interrupted
// experiment can therefore be resumed, and leaves the same file as an uninterrupted one. The package also compares policies
// in pairs of runs with equal points and seeds, and searches the ranges of a sweep for the points at which a policy does
// worst.
package experiment
