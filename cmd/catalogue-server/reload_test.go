package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestReload moves the interpreter and the load report service to new addresses twice while a request runs, and sends another
// request afterwards. Runs, notices and idempotency keys must continue at the new addresses, and the old addresses must not
// be used any more.
func TestReload(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	first := server.WaitRuns(1)[0].ID
	for range 2 {
		addr, reports := server.AddListener(), servertest.NewReportListener(t)
		server.Configure(func(c map[string]any) { c["vm"], c["announce"] = addr, reports.LocalAddr().String() })
		server.Signal(syscall.SIGHUP)
		servertest.WaitFor(t, "the link at the new address", func() bool { return server.LinkAddr() == addr })
		if got := servertest.ReadReport(t, reports); got != "announce n3 true" {
			t.Errorf("report at the new address %q, want announce n3 true", got)
		}
	}
	g.Write(fake.NewReserve(2, "y").Encode(2))
	second := server.WaitRuns(2)[1].ID
	server.EndRun(first, "OK", []byte("one"))
	server.EndRun(second, "OK", []byte("two"))
	for id, want := range map[uint16]string{1: "one", 2: "two"} {
		if a := g.WaitResponse(id); a.Status != 200 || string(a.Body) != want {
			t.Errorf("response to request %d: %+v, want status 200 and the run's result", id, a)
		}
	}
	g.Write(fake.NewReserve(1, "x").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("response to the retry %+v, want status 200 and body one", a)
	}
	server.WaitCounter("reloads", 2)
	if runs := server.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v, want 2", runs)
	}
}

// TestReloadBad checks that an invalid new configuration changes nothing, not even its valid fields, and that the log names
// the invalid field.
func TestReloadBad(t *testing.T) {
	server := startServer(t, finishImmediately)
	addr := server.Addr
	for field, edit := range map[string]func(c map[string]any){
		"stop_ms":           func(c map[string]any) { c["stop_ms"] = "soon" },
		"announce":          func(c map[string]any) { c["announce"] = "nowhere" },
		"family-info.below": withDownstream("sideways"),
	} {
		server.Configure(func(c map[string]any) {
			c["vm"] = "127.0.0.1:9"
			edit(c)
		})
		server.Signal(syscall.SIGHUP)
		servertest.WaitFor(t, "the log line about "+field, func() bool {
			for _, line := range strings.Split(server.Log(), "\n") {
				if strings.Contains(line, "configuration not reloaded") && strings.Contains(line, field) {
					return true
				}
			}
			return false
		})
	}
	if err := os.WriteFile(server.ConfigPath, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	server.Signal(syscall.SIGHUP)
	g := servertest.Dial(t, addr)
	g.Write(fake.NewLookup("after invalid reloads").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("response %+v, want status 200", a)
	}
	server.WaitCounter("interpreter_connects", 1)
	server.WaitCounter("reloads", 0)
}

// TestReloadAnyTime sends SIGHUP at times when the server cannot connect to the new address: before the interpreter is up
// and while it rejects links. It also sends SIGHUP during a drain.
func TestReloadAnyTime(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	interpreter.MarkDown()
	server := servertest.Start(t, serverCommand, interpreter, nil)
	servertest.Dial(t, server.Addr) // the connection shows that the server listens
	reload := func() {
		addr := server.AddListener()
		server.Configure(func(c map[string]any) { c["vm"] = addr })
		server.Signal(syscall.SIGHUP)
	}
	reload()
	server.WaitCounter("reloads", 1)
	interpreter.MarkUp()
	server.WaitHealthy()
	server.RejectLinks(true)
	server.CutLink()
	reload()
	server.WaitCounter("reloads", 2)
	server.RejectLinks(false)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := server.WaitRuns(1)[0].ID
	server.Signal(syscall.SIGTERM)
	servertest.WaitFor(t, "the drain to begin", func() bool { return strings.Contains(server.Log(), `"draining"`) })
	reload()
	servertest.WaitFor(t, "the link at the last address", func() bool { return server.LinkAddr() == interpreter.Addr() })
	server.EndRun(run, "OK", []byte("done"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("response %+v, want status 200 and body done", a)
	}
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
}

// TestReloadEarly sends SIGHUP repeatedly from the start of the process. The process must not end, and must reload.
func TestReloadEarly(t *testing.T) {
	server := servertest.Start(t, serverCommand, servertest.NewInterpreter(t), nil)
	servertest.WaitFor(t, "the shell to exec the server", func() bool {
		name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", server.Process.Pid))
		return err == nil && strings.TrimSpace(string(name)) == "catalogue-serve" // the kernel truncates the name to 15 bytes
	})
	servertest.WaitFor(t, "a reload", func() bool {
		server.Signal(syscall.SIGHUP)
		return strings.Contains(server.Log(), "configuration reloaded")
	})
	server.WaitHealthy()
}
