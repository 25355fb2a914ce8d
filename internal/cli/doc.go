// Package cli is shared by the commands that serve: flags, signals, the log, and the run of a server from its arguments
// to its exit status.
package cli
