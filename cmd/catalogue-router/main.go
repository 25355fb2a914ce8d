// Command catalogue-router routes requests of gateways to pools; catalogue-server route starts it.
package main

import (
	"os"

	"tillerusher/internal/metrics"
	"tillerusher/server"
)

func main() { os.Exit(server.ServeRoutes(os.Args[1:], os.Stderr, metrics.Serve)) }
