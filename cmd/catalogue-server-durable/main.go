// Command catalogue-server-durable is a catalogue server that keeps state across restarts. The command catalogue-server
// serve --state DIR replaces itself with this program. The programs are separate, so that the one for machines without a
// disk stays small.
package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"runtime"

	"tillerusher/internal/cli"
	"tillerusher/internal/store"
	"tillerusher/server"
)

// machineID returns an identifier of this machine, or "" if there is none. The store needs it, since run times measured on
// one machine do not apply to another.
func machineID() string {
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

func main() { os.Exit(cli.ServeDurable(os.Args[1:], os.Getenv, os.Stderr, openStore)) }

// openStore opens the store in a state directory. It implements cli.OpenStore.
func openStore(ctx context.Context, d cli.StateDirectory) (server.DurableStore, error) {
	cfg := store.Config{Dir: d.Path, Server: d.Server, SiteFingerprint: d.SiteFingerprint, Machine: machineID()}
	return store.OpenWait(ctx, cfg, d.OnWait)
}
