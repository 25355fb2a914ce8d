// Command catalogue-server is one catalogue server.
package main

import (
	"os"

	"tillerusher/server"
)

func main() { os.Exit(server.Serve(os.Args[1:], os.Getenv, os.Stderr)) }
