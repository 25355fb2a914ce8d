package main

import (
	"encoding/json"
	"net"
	"strings"
	"syscall"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestFullTable has idle callers take all the descriptors that gateways may have while the announce service is down and
// the link to the interpreter breaks: the link is made anew, requests that were under way are answered, reports come as
// soon as the service is back, and as soon as a new configuration names another one.
func TestFullTable(t *testing.T) {
	it := servertest.NewInterpreter(t)
	n := servertest.Start(t, program, it, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
		// However slow the machine is, the request under way is not given up meanwhile.
		c["settings"] = json.RawMessage(strings.Replace(fake.Settings, "6100000000", "600000000000", 1))
	})
	n.WaitUp()
	gateway := servertest.Dial(t, n.Addr)
	gateway.Write(fake.Reserve(1, "under way").Records(1))
	id := it.WaitApplied(1)[0].ID
	down := n.StopAnnounce()
	for range 200 {
		servertest.Dial(t, n.Addr)
	}
	servertest.Wait(t, "errors of reports", func() bool {
		n.Signal(syscall.SIGUSR1)
		return n.Counter("report_errors") > 0
	})
	links := it.Links()
	it.Cut()
	servertest.Wait(t, "a new link", func() bool { return it.Links() > links })
	it.End(id, "OK", []byte("x"))
	if a := gateway.Answer(1); a.Status != 200 {
		t.Errorf("the request that was under way: %+v", a)
	}
	back, err := net.ListenUDP("udp4", down)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	if got := servertest.ReadReport(t, back); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	moved := it.Move()
	other := servertest.NewAnnounce(t)
	n.Configure(func(c map[string]any) { c["vm"], c["announce"] = moved, other.LocalAddr().String() })
	n.Signal(syscall.SIGHUP)
	if got := servertest.ReadReport(t, other); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	servertest.Wait(t, "the link at its new address", func() bool { return it.LinkAt() == moved })
	gateway.Write(fake.Reserve(2, "after it").Records(2))
	it.End(it.WaitApplied(2)[1].ID, "OK", []byte("y"))
	if a := gateway.Answer(2); a.Status != 200 {
		t.Errorf("a request after it: %+v", a)
	}
}
