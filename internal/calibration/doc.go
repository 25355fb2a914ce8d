// Package calibration compares the cluster simulation with the real daemon. It runs the same small workloads in virtual
// time and over loopback, in a load test with a fake interpreter.
package calibration
