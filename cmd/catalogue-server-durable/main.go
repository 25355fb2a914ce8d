// Command catalogue-server-durable is one catalogue server that keeps state over restarts; catalogue-server serve --state DIR becomes it,
// so that the program on machines without a disk stays small.
package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"runtime"

	"tillerusher/internal/store"
	"tillerusher/server"
)

// machine tells this machine from others: what runs take on one says nothing of another.
func machine() string {
	id, err := os.ReadFile("/etc/machine-id")
	if err != nil || len(id) == 0 {
		name, err := os.Hostname()
		if err != nil {
			return ""
		}
		id = []byte(name)
	}
	return fmt.Sprintf("%x, %d processors", sha256.Sum256(id), runtime.NumCPU())
}

func main() {
	os.Exit(server.ServeDurable(os.Args[1:], os.Getenv, os.Stderr, func(ctx context.Context, f server.StateDirectory) (server.DurableStore, error) {
		return store.OpenWait(ctx, store.Config{Dir: f.Path, Server: f.Server, SiteHash: f.Site, Machine: machine()}, f.OnWait)
	}))
}
