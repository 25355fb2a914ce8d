package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/daemon"
	"tillerusher/internal/fake"
)

// The deployment and the disruptions of the case.
const (
	socketLimit    = 512 // descriptors of the program
	floodCallers   = 4
	floodConns     = 250 // open connections of each caller
	reloads        = 60
	reloadInterval = 1200 * time.Millisecond
	oldLinkGrace   = 1500 * time.Millisecond // after which the platform closes connections to the old addresses
	moveTimeout    = 5 * time.Second         // added to waitTimeout
	gatewayPause   = 100 * time.Millisecond
)

// runReload plays new configurations, each with new addresses, while many silent connections are opened and closed. The rule is
// broken if the program still does not use the new addresses waitTimeout and moveTimeout after a SIGHUP. Without the
// disruption no such connections are opened.
func runReload(e *environment) (broken string, err error) {
	interpreter, err := fake.NewInterpreter()
	if err != nil {
		return "", err
	}
	defer interpreter.Close()
	interpreter.FinishImmediately()
	reports, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer reports.Close()
	listen, err := fake.FreeAddr()
	if err != nil {
		return "", err
	}
	to, err := netip.ParseAddrPort(listen)
	if err != nil {
		return "", err
	}
	file := daemon.ConfigFile(filepath.Join(e.folder, "config.json"))
	var current *proxy // the interpreter's present address
	configure := func() error {
		if current, err = startProxy(interpreter.Addr()); err != nil {
			return err
		}
		endpoints := daemon.Endpoints{Listen: listen, Interpreter: current.addr(), LoadReport: reports.LocalAddr().String()}
		config := daemon.NewConfig("n3", endpoints, 64, fake.SiteSettings)
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": socketLimit}
		return file.Write(config)
	}
	if err := configure(); err != nil {
		return "", err
	}
	e.prefix = fmt.Sprintf("ulimit -n %d; ", socketLimit)
	server, err := e.run("", "RELAY_CONFIG="+string(file))
	if err != nil {
		return "", err
	}
	if err := server.waitLog("interpreter up"); err != nil {
		return "", err
	}
	time.Sleep(firstService)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	if e.trouble {
		for range floodCallers {
			callers.Go(func() { flood(to, stop) })
		}
		e.printf("%d silent connections are opened and closed again and again", floodCallers*floodConns)
		time.Sleep(time.Second)
	}
	counts := &gatewayCounts{}
	callers.Go(func() { sendReads(listen, stop, counts) })
	for n := range reloads {
		old := current
		if err := configure(); err != nil {
			return "", err
		}
		if err := server.Signal(syscall.SIGHUP); err != nil {
			return "", err
		}
		old.retire()
		e.printf("reload %d: SIGHUP, the interpreter is now at %s; gateway so far: %s", n+1, current.addr(), counts)
		if waitFor("the link", current.hasLink) != nil {
			before := counts.String()
			time.Sleep(moveTimeout)
			e.printf("gateway before and after %v: %s; %s", moveTimeout, before, counts)
			if current.hasLink() {
				return "", fmt.Errorf("the link moved only after %v", waitTimeout)
			}
			return fmt.Sprintf("%v after SIGHUP number %d the program does not use the new address", waitTimeout+moveTimeout, n+1), nil
		}
		time.Sleep(reloadInterval)
	}
	current.retire()
	e.printf("gateway: %s", counts)
	return "", nil
}

// proxy is one address of the interpreter.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []net.Conn
}

// startProxy starts a proxy at a free address.
func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.forward(conn)
		}
	}()
	return p, nil
}

// addr returns the address of the proxy.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// hasLink reports whether a connection was accepted.
func (p *proxy) hasLink() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// forward connects a link to the interpreter.
func (p *proxy) forward(conn net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, conn, target)
	p.mu.Unlock()
	pass := func(to, from net.Conn) {
		io.Copy(to, from)
		to.Close()
		from.Close()
	}
	go pass(target, conn)
	go pass(conn, target)
}

// retire refuses new links at once and closes the open ones after oldLinkGrace.
func (p *proxy) retire() {
	p.listener.Close()
	time.AfterFunc(oldLinkGrace, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, conn := range p.conns {
			conn.Close()
		}
	})
}

// flood opens connections without waiting for them and stays silent. Once it has floodConns of them, it closes the oldest for
// each new one.
func flood(to netip.AddrPort, stop <-chan struct{}) {
	var sockets []int
	for {
		select {
		case <-stop:
			for _, fd := range sockets {
				unix.Close(fd)
			}
			return
		default:
		}
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		unix.Connect(fd, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}) // EINPROGRESS, or a failure, which is ignored
		if sockets = append(sockets, fd); len(sockets) > floodConns {
			unix.Close(sockets[0])
			sockets = sockets[1:]
		}
	}
}

// gatewayCounts counts the answers to a gateway's reads.
type gatewayCounts struct {
	mu               sync.Mutex
	served, unserved int
}

// String returns the counts.
func (c *gatewayCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d served, %d not", c.served, c.unserved)
}

// sendReads sends reads one after the other, as a gateway does, each on a new connection.
func sendReads(addr string, stop <-chan struct{}, counts *gatewayCounts) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(gatewayPause):
		}
		isServed := false
		if gateway, err := fake.Dial(addr); err == nil {
			if gateway.Write(fake.NewLookup("part").Encode(1)) == nil {
				answer, err := gateway.ReadResponse(1, time.Now().Add(answerTimeout))
				isServed = err == nil && answer.Status == 200
			}
			gateway.Close()
		}
		counts.mu.Lock()
		if isServed {
			counts.served++
		} else {
			counts.unserved++
		}
		counts.mu.Unlock()
	}
}
