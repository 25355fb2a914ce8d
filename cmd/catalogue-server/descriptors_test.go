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

// TestFullTable checks a server whose connection table is full: idle callers use all the descriptors that gateways may
// use. Meanwhile the load report service is down and the link to the interpreter breaks. The server must reconnect to the
// interpreter, answer open requests, and send load reports as soon as the service is back and as soon as a new
// configuration names another service.
func TestFullTable(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	server := servertest.Start(t, serverCommand, interpreter, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
		// With a long deadline the open request does not reach it during the test, even on a slow machine.
		c["settings"] = json.RawMessage(strings.Replace(fake.SiteSettings, "6100000000", "600000000000", 1))
	})
	server.WaitHealthy()
	gateway := servertest.Dial(t, server.Addr)
	gateway.Write(fake.NewReserve(1, "open").Encode(1))
	id := interpreter.WaitRuns(1)[0].ID
	reportAddr := server.CloseReportListener()
	for range 200 {
		servertest.Dial(t, server.Addr)
	}
	servertest.WaitFor(t, "load report errors", func() bool {
		server.Signal(syscall.SIGUSR1)
		return server.Counter("load_report_errors") > 0
	})
	links := interpreter.LinkCount()
	interpreter.CutLink()
	servertest.WaitFor(t, "a new link to the interpreter", func() bool { return interpreter.LinkCount() > links })
	interpreter.EndRun(id, "OK", []byte("x"))
	if a := gateway.WaitResponse(1); a.Status != 200 {
		t.Errorf("response to the open request %+v, want status 200", a)
	}
	reports, err := net.ListenUDP("udp4", reportAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer reports.Close()
	if got := servertest.ReadReport(t, reports); got != "announce n3 true" {
		t.Errorf("report after the service is back %q, want announce n3 true", got)
	}
	newAddr := interpreter.AddListener()
	newReports := servertest.NewReportListener(t)
	server.Configure(func(c map[string]any) { c["vm"], c["announce"] = newAddr, newReports.LocalAddr().String() })
	server.Signal(syscall.SIGHUP)
	if got := servertest.ReadReport(t, newReports); got != "announce n3 true" {
		t.Errorf("report at the new address %q, want announce n3 true", got)
	}
	servertest.WaitFor(t, "the link at the new address", func() bool { return interpreter.LinkAddr() == newAddr })
	gateway.Write(fake.NewReserve(2, "after the reload").Encode(2))
	interpreter.EndRun(interpreter.WaitRuns(2)[1].ID, "OK", []byte("y"))
	if a := gateway.WaitResponse(2); a.Status != 200 {
		t.Errorf("response after the reload %+v, want status 200", a)
	}
}

// TestOutOfDescriptors lowers the process's descriptor limit to the descriptors in use. Callers must be rejected
// immediately, and accepted again once the limit is restored.
func TestOutOfDescriptors(t *testing.T) {
	server := startServer(t, finishImmediately)
	server.WaitCounter("connections", 0)
	used, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", server.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var original unix.Rlimit
	if err := unix.Prlimit(server.Process.Pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
		t.Fatal(err)
	}
	highest := 0
	for _, fd := range used {
		number, _ := strconv.Atoi(fd.Name())
		highest = max(highest, number)
	}
	lowered := unix.Rlimit{Cur: uint64(highest + 1), Max: original.Max}
	if err := unix.Prlimit(server.Process.Pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		t.Fatal(err)
	}
	servertest.WaitFor(t, "a caller to be rejected", func() bool {
		servertest.Dial(t, server.Addr)
		server.Signal(syscall.SIGUSR1)
		return server.Counter("accept_errors") > 0
	})
	if err := unix.Prlimit(server.Process.Pid, unix.RLIMIT_NOFILE, &original, nil); err != nil {
		t.Fatal(err)
	}
	// A caller that connected while no descriptor was free may still be rejected. Later callers are served.
	servertest.WaitFor(t, "a caller to be served", func() bool {
		g := servertest.Dial(t, server.Addr)
		if g.Gateway.Write(fake.NewLookup("").Encode(1)) != nil {
			return false
		}
		a, err := g.TryResponse(1)
		return err == nil && a.Status == 200
	})
}
