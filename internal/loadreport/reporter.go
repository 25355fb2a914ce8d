// Package loadreport reports to the platform's announce service whether this server accepts requests, with one UDP datagram
// a report. It belongs to the event loop's goroutine.
package loadreport

import (
	"fmt"
	"net/netip"

	"tillerusher/internal/eventloop"
)

// reportFormat is the content of a datagram: the server's name, and whether it accepts requests.
const reportFormat = "announce %s %t"

// Reporter sends reports for one server. Reports are not acknowledged, and one that can't be sent is dropped: the next
// one follows soon.
type Reporter struct {
	system eventloop.System
	fd     int
	name   string
}

// New returns a reporter to the service at the address.
func New(system eventloop.System, to netip.AddrPort, name string) (*Reporter, error) {
	fd, err := system.NewDatagramSocket(to)
	if err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	if err := system.Connect(fd, to); err != nil {
		system.Close(fd)
		return nil, fmt.Errorf("announce: %w", err)
	}
	return &Reporter{system: system, fd: fd, name: name}, nil
}

// Report sends one report. On a connected UDP socket a write fails with the ICMP error of the datagram before it, and sends
// nothing, though the service may be back. So the report is then written once more, and the error is returned.
func (r *Reporter) Report(accepting bool) error {
	report := fmt.Appendf(nil, reportFormat, r.name, accepting)
	if _, err := r.system.Write(r.fd, report); err != nil {
		r.system.Write(r.fd, report) // if this fails, too, the next report follows soon
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// Close closes the socket.
func (r *Reporter) Close() { r.system.Close(r.fd) }
