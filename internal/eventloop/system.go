package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// System is the interface to the operating system: the clock and the calls of epoll(7), socket(7) and tcp(7) that the loop
// makes. Its errors are those of the system calls. All descriptors are non-blocking. Tests and simulations provide other
// implementations.
type System interface {
	Now() time.Time
	EpollCreate() (epoll int, err error)
	// EpollCtl performs op, which is EPOLL_CTL_ADD or EPOLL_CTL_MOD.
	EpollCtl(epoll, op, fd int, events uint32) error
	// EpollWait waits for at most ms milliseconds, or without a limit if ms is -1.
	EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error)
	Eventfd() (fd int, err error)
	// NewStreamSocket returns a TCP socket for the address family of addr.
	NewStreamSocket(addr netip.AddrPort) (fd int, err error)
	// NewDatagramSocket returns a UDP socket for the address family of addr.
	NewDatagramSocket(addr netip.AddrPort) (fd int, err error)
	Bind(fd int, addr netip.AddrPort) error
	Listen(fd, backlog int) error
	Accept(fd int) (int, error)
	Connect(fd int, to netip.AddrPort) error
	// ConnectResult returns the error of a Connect that was in progress, or nil if it succeeded.
	ConnectResult(fd int) error
	// LocalAddr returns the address to which a socket is bound.
	LocalAddr(fd int) (netip.AddrPort, error)
	Read(fd int, p []byte) (int, error)
	// Peek reads without removing the bytes from the socket.
	Peek(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// ShutdownWrite shuts down the sending direction of a connection.
	ShutdownWrite(fd int) error
	Close(fd int) error
}
