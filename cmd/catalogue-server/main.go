// Command catalogue-server is the catalogue server. With --state or route it replaces itself with
// catalogue-server-durable or catalogue-router.
package main

import (
	"os"

	"tillerusher/internal/cli"
)

func main() { os.Exit(cli.Serve(os.Args[1:], os.Getenv, os.Stderr)) }
