// Package cli is what the commands that serve have in common: flags, signals, the log, and the run of a server from its
// arguments to its exit status.
package cli
