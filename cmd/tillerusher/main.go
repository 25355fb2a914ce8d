// Command tillerusher is one catalogue server.
package main

import (
	"os"

	"tillerusher/server"
)

func main() { os.Exit(server.Main(os.Getenv, os.Stderr)) }
