// Package calibration compares the cluster simulation with the real daemon: the same small workloads run over loopback, in a
// load test with its fake interpreter, and in virtual time.
package calibration
