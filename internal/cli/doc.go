// Package cli contains the code shared by the commands that run a server. It parses flags, handles signals, creates the
// logger, and runs the server from its arguments to its exit status.
package cli
