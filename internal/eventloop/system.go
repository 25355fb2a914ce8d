package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// System is what a loop needs of the operating system: the calls of epoll(7), socket(7) and tcp(7) that it makes, with
// their errors, and the clock. Descriptors are non-blocking. Tests and simulations replace it.
type System interface {
	Now() time.Time
	EpollCreate() (epoll int, err error)
	// EpollCtl takes EPOLL_CTL_ADD or EPOLL_CTL_MOD as op.
	EpollCtl(epoll, op, fd int, events uint32) error
	// EpollWait waits for ms milliseconds at most; -1 is without limit.
	EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error)
	Eventfd() (fd int, err error)
	// NewStreamSocket returns a TCP socket of the address's family.
	NewStreamSocket(family netip.AddrPort) (fd int, err error)
	// NewDatagramSocket returns a UDP socket of the address's family.
	NewDatagramSocket(family netip.AddrPort) (fd int, err error)
	Bind(fd int, at netip.AddrPort) error
	Listen(fd, backlog int) error
	Accept(fd int) (int, error)
	Connect(fd int, to netip.AddrPort) error
	// ConnectResult returns the error of a Connect that was in progress, or nil.
	ConnectResult(fd int) error
	// LocalAddr returns the address that a socket is bound to.
	LocalAddr(fd int) (netip.AddrPort, error)
	Read(fd int, p []byte) (int, error)
	// Peek reads without removing the bytes from the socket.
	Peek(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// ShutdownWrite closes the sending side of a connection.
	ShutdownWrite(fd int) error
	Close(fd int) error
}
