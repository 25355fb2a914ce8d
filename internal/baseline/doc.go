// Package peer has policies to compare the decision module with: each stands in its place behind the module's own
// interface. They share the guards that the rules need (answers by the due time, keys, memory, the crowd on the cores, the
// grace of a drain), so that what differs is how each admits, orders and limits.
package baseline
