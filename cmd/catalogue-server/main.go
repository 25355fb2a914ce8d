// Command catalogue-server is one catalogue server.
package main

import (
	"os"

	"tillerusher/internal/cli"
)

func main() { os.Exit(cli.Serve(os.Args[1:], os.Getenv, os.Stderr)) }
