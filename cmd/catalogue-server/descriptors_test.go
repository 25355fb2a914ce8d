package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestFullTable has idle callers take all the descriptors that gateways may have while the load report service is down
// and the link to the interpreter breaks: the link is made again, open requests are answered, reports arrive as soon as
// the service is back, and as soon as a new configuration names another one.
func TestFullTable(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	server := servertest.Start(t, program, interpreter, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
		// However slow the machine is, the open request does not reach its deadline meanwhile.
		c["settings"] = json.RawMessage(strings.Replace(fake.SiteSettings, "6100000000", "600000000000", 1))
	})
	server.WaitHealthy()
	gateway := servertest.Dial(t, server.Addr)
	gateway.Write(fake.NewReserve(1, "under way").Encode(1))
	id := interpreter.WaitRuns(1)[0].ID
	down := server.CloseReportListener()
	for range 200 {
		servertest.Dial(t, server.Addr)
	}
	servertest.WaitFor(t, "errors of reports", func() bool {
		server.Signal(syscall.SIGUSR1)
		return server.Counter("load_report_errors") > 0
	})
	links := interpreter.LinkCount()
	interpreter.CutLink()
	servertest.WaitFor(t, "a new link", func() bool { return interpreter.LinkCount() > links })
	interpreter.EndRun(id, "OK", []byte("x"))
	if a := gateway.WaitResponse(1); a.Status != 200 {
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
	moved := interpreter.AddListener()
	other := servertest.NewReportListener(t)
	server.Configure(func(c map[string]any) { c["vm"], c["announce"] = moved, other.LocalAddr().String() })
	server.Signal(syscall.SIGHUP)
	if got := servertest.ReadReport(t, other); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	servertest.WaitFor(t, "the link at its new address", func() bool { return interpreter.LinkAddr() == moved })
	gateway.Write(fake.NewReserve(2, "after it").Encode(2))
	interpreter.EndRun(interpreter.WaitRuns(2)[1].ID, "OK", []byte("y"))
	if a := gateway.WaitResponse(2); a.Status != 200 {
		t.Errorf("a request after it: %+v", a)
	}
}

// TestOutOfDescriptors takes all descriptors away: callers are rejected at once, and accepted again later.
func TestOutOfDescriptors(t *testing.T) {
	server := startServer(t, finishImmediately)
	server.WaitCounter("connections", 0)
	used, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", server.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var before unix.Rlimit
	if err := unix.Prlimit(server.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	highest := 0
	for _, fd := range used {
		number, _ := strconv.Atoi(fd.Name())
		highest = max(highest, number)
	}
	few := unix.Rlimit{Cur: uint64(highest + 1), Max: before.Max}
	if err := unix.Prlimit(server.Process.Pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	servertest.WaitFor(t, "a caller to be rejected", func() bool {
		servertest.Dial(t, server.Addr)
		server.Signal(syscall.SIGUSR1)
		return server.Counter("accept_errors") > 0
	})
	if err := unix.Prlimit(server.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	// One that connected while none was free may still be rejected; the next ones are served.
	servertest.WaitFor(t, "a caller to be served", func() bool {
		g := servertest.Dial(t, server.Addr)
		if g.Gateway.Write(fake.NewLookup("").Encode(1)) != nil {
			return false
		}
		a, err := g.TryResponse(1)
		return err == nil && a.Status == 200
	})
}
