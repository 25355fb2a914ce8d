package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// System is what a loop asks of the operating system: the calls of epoll(7), socket(7) and tcp(7) that it makes, with their
// errors, and the clock. Descriptors do not block. A rehearsal puts a simulated one under the same loop.
type System interface {
	Now() time.Time
	EpollCreate() (epoll int, err error)
	// EpollCtl is EPOLL_CTL_ADD or EPOLL_CTL_MOD.
	EpollCtl(epoll, op, fd int, events uint32) error
	// EpollWait waits for so many milliseconds; -1 is for ever.
	EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error)
	Eventfd() (fd int, err error)
	// NewStreamSocket and Datagram are new sockets of the family of an address.
	NewStreamSocket(family netip.AddrPort) (fd int, err error)
	NewDatagramSocket(family netip.AddrPort) (fd int, err error)
	Bind(fd int, at netip.AddrPort) error
	Listen(fd, backlog int) error
	Accept(fd int) (int, error)
	Connect(fd int, to netip.AddrPort) error
	// ConnectResult is the outcome of a Connect that was under way.
	ConnectResult(fd int) error
	// LocalAddr is what a socket is bound to.
	LocalAddr(fd int) (netip.AddrPort, error)
	Read(fd int, p []byte) (int, error)
	// Peek is Read that leaves what is there.
	Peek(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// ShutdownWrite ends what this side sends.
	ShutdownWrite(fd int) error
	Close(fd int) error
}

// Kernel is the operating system itself.
type Kernel struct{}

// Now implements System.
func (Kernel) Now() time.Time { return time.Now() }

// EpollCreate implements System.
func (Kernel) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// EpollCtl implements System.
func (Kernel) EpollCtl(epoll, op, fd int, events uint32) error {
	return unix.EpollCtl(epoll, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// EpollWait implements System.
func (Kernel) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	return unix.EpollWait(epoll, events, ms)
}

// Eventfd implements System.
func (Kernel) Eventfd() (int, error) { return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }

// socket is a new socket of the family of an address.
func socket(a netip.AddrPort, kind int) (int, error) {
	family := unix.AF_INET6
	if a.Addr().Unmap().Is4() {
		family = unix.AF_INET
	}
	return unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// sockaddr turns an address into the form of the system calls.
func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// NewStreamSocket implements System. Answers are small and written once a round: waiting to fill a segment would only delay them.
func (Kernel) NewStreamSocket(family netip.AddrPort) (int, error) {
	fd, err := socket(family, unix.SOCK_STREAM)
	if err != nil {
		return -1, err
	}
	return withoutDelay(fd)
}

// withoutDelay sets TCP_NODELAY, or closes the socket.
func withoutDelay(fd int) (int, error) {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// NewDatagramSocket implements System.
func (Kernel) NewDatagramSocket(family netip.AddrPort) (int, error) {
	return socket(family, unix.SOCK_DGRAM)
}

// Bind implements System. A restart must not wait for the connections of the life before.
func (Kernel) Bind(fd int, at netip.AddrPort) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return unix.Bind(fd, sockaddr(at))
}

// Listen implements System.
func (Kernel) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Accept implements System. A connection that can't be set up has broken already, and says nothing of the next.
func (Kernel) Accept(fd int) (int, error) {
	c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return -1, err
	}
	if c, err = withoutDelay(c); err != nil {
		return -1, unix.ECONNABORTED
	}
	return c, nil
}

// Connect implements System.
func (Kernel) Connect(fd int, to netip.AddrPort) error { return unix.Connect(fd, sockaddr(to)) }

// ConnectResult implements System.
func (Kernel) ConnectResult(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// LocalAddr implements System.
func (Kernel) LocalAddr(fd int) (netip.AddrPort, error) {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, unix.EAFNOSUPPORT
}

// Read implements System.
func (Kernel) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

// Peek implements System.
func (Kernel) Peek(fd int, p []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, p, unix.MSG_PEEK)
	return n, err
}

// Write implements System.
func (Kernel) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// ShutdownWrite implements System.
func (Kernel) ShutdownWrite(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }

// Close implements System.
func (Kernel) Close(fd int) error { return unix.Close(fd) }
