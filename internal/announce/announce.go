// Package announce reports to the announce service, one datagram a report.
package announce

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"tillerusher/internal/loop"
)

// Reporter sends reports for one server. A report gets no answer, and one that can't be sent is not repeated:
// the next is due soon.
type Reporter struct {
	fd   int
	name string
}

// New returns a reporter to the service at the address.
func New(to netip.AddrPort, name string) (*Reporter, error) {
	family, sa := loop.Sockaddr(to)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	if err := unix.Connect(fd, sa); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("announce: %w", err)
	}
	return &Reporter{fd: fd, name: name}, nil
}

// Report sends one report.
func (r *Reporter) Report(accepting bool) error {
	if _, err := unix.Write(r.fd, fmt.Appendf(nil, "announce %s %t", r.name, accepting)); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// Close ends the reporter.
func (r *Reporter) Close() { unix.Close(r.fd) }
