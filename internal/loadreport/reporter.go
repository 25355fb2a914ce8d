// Package announce reports to the announce service, one datagram a report.
package loadreport

import (
	"fmt"
	"net/netip"

	"tillerusher/internal/eventloop"
)

// Reporter sends reports for one server. A report gets no answer, and one that can't be sent is not repeated:
// the next is due soon.
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

// Report sends one report. That nobody heard the one before is told by an error of the next write, which sends nothing
// then, though the service may be back: one more goes out in its place, and the error is handed on.
func (r *Reporter) Report(accepting bool) error {
	report := fmt.Appendf(nil, "announce %s %t", r.name, accepting)
	if _, err := r.system.Write(r.fd, report); err != nil {
		r.system.Write(r.fd, report) // where that fails, too, the next is due soon
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// Close ends the reporter.
func (r *Reporter) Close() { r.system.Close(r.fd) }
