// Package experiment runs the cluster simulation many times. A file in S-expressions says which configurations, what is
// varied, which policies and which seeds.
//
// Runs are spread over the cores, and their results are kept in one file in the order of the plan, so that an experiment
// that was interrupted can be resumed and leaves the same file. The package compares policies in pairs of equal points and
// seeds, and explores the ranges of a sweep for the points at which a policy does worst.
package experiment
