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

// TestReload moves the interpreter and the load report service while a request runs and another is asked for: runs,
// notices and keys go on at the new addresses, twice in a row, and the old ones are not used any more.
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
			t.Errorf("report at the new address %q", got)
		}
	}
	g.Write(fake.NewReserve(2, "y").Encode(2))
	second := server.WaitRuns(2)[1].ID
	server.EndRun(first, "OK", []byte("one"))
	server.EndRun(second, "OK", []byte("two"))
	for id, want := range map[uint16]string{1: "one", 2: "two"} {
		if a := g.WaitResponse(id); a.Status != 200 || string(a.Body) != want {
			t.Errorf("answer to request %d: %+v", id, a)
		}
	}
	g.Write(fake.NewReserve(1, "x").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("answer to the repeat %+v", a)
	}
	server.WaitCounter("reloads", 2)
	if runs := server.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestReloadBad keeps all of the old configuration where the new one is invalid, and logs the name of the field.
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
		servertest.WaitFor(t, "the complaint about "+field, func() bool {
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
	g.Write(fake.NewLookup("still here").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer %+v", a)
	}
	server.WaitCounter("interpreter_connects", 1)
	server.WaitCounter("reloads", 0)
}

// TestReloadAnyTime sends SIGHUP when nothing can be done with it: before the interpreter is up, while the link is
// down, and during a drain.
func TestReloadAnyTime(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	interpreter.MarkDown()
	server := servertest.Start(t, program, interpreter, nil)
	servertest.Dial(t, server.Addr) // a connection shows that it listens
	hup := func() {
		addr := server.AddListener()
		server.Configure(func(c map[string]any) { c["vm"] = addr })
		server.Signal(syscall.SIGHUP)
	}
	hup()
	server.WaitCounter("reloads", 1)
	interpreter.MarkUp()
	server.WaitHealthy()
	server.RejectLinks(true)
	server.CutLink()
	hup()
	server.WaitCounter("reloads", 2)
	server.RejectLinks(false)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := server.WaitRuns(1)[0].ID
	server.Signal(syscall.SIGTERM)
	servertest.WaitFor(t, "the drain", func() bool { return strings.Contains(server.Log(), `"draining"`) })
	hup()
	servertest.WaitFor(t, "the link at the last address", func() bool { return server.LinkAddr() == interpreter.Addr() })
	server.EndRun(run, "OK", []byte("done"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer %+v", a)
	}
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
}

// TestReloadEarly sends SIGHUP again and again from the first moment of the process on.
func TestReloadEarly(t *testing.T) {
	server := servertest.Start(t, program, servertest.NewInterpreter(t), nil)
	servertest.WaitFor(t, "the shell to become the program", func() bool {
		name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", server.Process.Pid))
		return err == nil && strings.TrimSpace(string(name)) == "catalogue-serve" // the kernel keeps 15 bytes of a name
	})
	servertest.WaitFor(t, "a configuration to be taken over", func() bool {
		server.Signal(syscall.SIGHUP)
		return strings.Contains(server.Log(), "configuration reloaded")
	})
	server.WaitHealthy()
}
