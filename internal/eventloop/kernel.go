package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Kernel implements System with the system calls of the host's kernel.
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

// newSocket returns a non-blocking socket of the given type for the address family of addr.
func newSocket(addr netip.AddrPort, kind int) (int, error) {
	family := unix.AF_INET6
	if addr.Addr().Unmap().Is4() {
		family = unix.AF_INET
	}
	return unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// sockaddr converts an address to the type that package unix uses.
func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// NewStreamSocket implements System.
func (Kernel) NewStreamSocket(addr netip.AddrPort) (int, error) {
	fd, err := newSocket(addr, unix.SOCK_STREAM)
	if err != nil {
		return -1, err
	}
	return setNoDelay(fd)
}

// setNoDelay sets TCP_NODELAY and closes the socket if that fails. Responses are small and are written once per round, so
// waiting for a full segment would only delay them.
func setNoDelay(fd int) (int, error) {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// NewDatagramSocket implements System.
func (Kernel) NewDatagramSocket(addr netip.AddrPort) (int, error) {
	return newSocket(addr, unix.SOCK_DGRAM)
}

// Bind implements System. It sets SO_REUSEADDR because a restarted process must not wait for the connections of its
// predecessor.
func (Kernel) Bind(fd int, addr netip.AddrPort) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return unix.Bind(fd, sockaddr(addr))
}

// Listen implements System.
func (Kernel) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Accept implements System. A connection on which TCP_NODELAY can't be set is already broken. The error is then
// ECONNABORTED, which callers take as an error of this connection alone.
func (Kernel) Accept(fd int) (int, error) {
	conn, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return -1, err
	}
	if conn, err = setNoDelay(conn); err != nil {
		return -1, unix.ECONNABORTED
	}
	return conn, nil
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
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)), nil
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
