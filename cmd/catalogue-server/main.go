// Command catalogue-server runs a catalogue server. It replaces itself with catalogue-server-durable if a state directory is
// configured, and with catalogue-router for the command route.
package main

import (
	"os"

	"tillerusher/internal/cli"
)

func main() { os.Exit(cli.Serve(os.Args[1:], os.Getenv, os.Stderr)) }
