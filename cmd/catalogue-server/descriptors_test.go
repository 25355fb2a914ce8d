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

// TestFullTable has idle callers take all the descriptors that gateways may have while the announce service is down and
// the link to the interpreter breaks: the link is made again, open requests are answered, reports arrive as soon as the
// service is back, and as soon as a new configuration names another one.
func TestFullTable(t *testing.T) {
	it := servertest.NewInterpreter(t)
	n := servertest.Start(t, program, it, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
		// However slow the machine is, the request under way is not given up meanwhile.
		c["settings"] = json.RawMessage(strings.Replace(fake.SiteSettings, "6100000000", "600000000000", 1))
	})
	n.WaitHealthy()
	gateway := servertest.Dial(t, n.Addr)
	gateway.Write(fake.NewReserve(1, "under way").Encode(1))
	id := it.WaitRuns(1)[0].ID
	down := n.CloseReportListener()
	for range 200 {
		servertest.Dial(t, n.Addr)
	}
	servertest.WaitFor(t, "errors of reports", func() bool {
		n.Signal(syscall.SIGUSR1)
		return n.Counter("load_report_errors") > 0
	})
	links := it.LinkCount()
	it.CutLink()
	servertest.WaitFor(t, "a new link", func() bool { return it.LinkCount() > links })
	it.EndRun(id, "OK", []byte("x"))
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
	moved := it.AddListener()
	other := servertest.NewReportListener(t)
	n.Configure(func(c map[string]any) { c["vm"], c["announce"] = moved, other.LocalAddr().String() })
	n.Signal(syscall.SIGHUP)
	if got := servertest.ReadReport(t, other); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
	servertest.WaitFor(t, "the link at its new address", func() bool { return it.LinkAddr() == moved })
	gateway.Write(fake.NewReserve(2, "after it").Encode(2))
	it.EndRun(it.WaitRuns(2)[1].ID, "OK", []byte("y"))
	if a := gateway.WaitResponse(2); a.Status != 200 {
		t.Errorf("a request after it: %+v", a)
	}
}

// TestDescriptorsOut takes all descriptors away: callers are rejected at once, and accepted again later.
func TestDescriptorsOut(t *testing.T) {
	n := startServer(t, finishImmediately)
	n.WaitCounter("connections", 0)
	used, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var before unix.Rlimit
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	highest := 0
	for _, fd := range used {
		number, _ := strconv.Atoi(fd.Name())
		highest = max(highest, number)
	}
	few := unix.Rlimit{Cur: uint64(highest + 1), Max: before.Max}
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	servertest.WaitFor(t, "a caller to be turned away", func() bool {
		servertest.Dial(t, n.Addr)
		n.Signal(syscall.SIGUSR1)
		return n.Counter("accept_errors") > 0
	})
	if err := unix.Prlimit(n.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	// One that came while none was free may still be rejected; the next ones are served.
	servertest.WaitFor(t, "a caller to be served", func() bool {
		g := servertest.Dial(t, n.Addr)
		if g.Gateway.Write(fake.NewLookup("").Encode(1)) != nil {
			return false
		}
		a, err := g.TryResponse(1)
		return err == nil && a.Status == 200
	})
}
