// Package loadreport sends load reports to the platform's announce service. A report is one UDP datagram that says whether
// this server accepts requests. A Reporter must be used on the event loop's goroutine.
package loadreport

import (
	"fmt"
	"net/netip"

	"tillerusher/internal/eventloop"
)

// reportFormat is the format of a datagram. Its arguments are the server's name and whether the server accepts requests.
const reportFormat = "announce %s %t"

// Reporter sends the load reports of one server. Reports are not acknowledged. A report that can't be sent is dropped, since
// the next one follows soon.
type Reporter struct {
	system eventloop.System
	fd     int
	name   string
}

// New returns a reporter that sends to the service at the given address. name is the name of this server.
func New(system eventloop.System, to netip.AddrPort, name string) (*Reporter, error) {
	fd, err := system.NewDatagramSocket(to)
	if err != nil {
		return nil, fmt.Errorf("loadreport: open socket: %w", err)
	}
	if err := system.Connect(fd, to); err != nil {
		system.Close(fd)
		return nil, fmt.Errorf("loadreport: connect socket: %w", err)
	}
	return &Reporter{system: system, fd: fd, name: name}, nil
}

// Report sends one report. A write to a connected UDP socket fails with the ICMP error of the previous datagram and sends
// nothing, although the service may be available again. Report therefore writes the report once more after an error, and
// returns the error of the first write.
func (r *Reporter) Report(accepting bool) error {
	report := fmt.Appendf(nil, reportFormat, r.name, accepting)
	if _, err := r.system.Write(r.fd, report); err != nil {
		r.system.Write(r.fd, report) // an error is ignored, since the next report follows soon
		return fmt.Errorf("loadreport: send report: %w", err)
	}
	return nil
}

// Close closes the reporter's socket.
func (r *Reporter) Close() { r.system.Close(r.fd) }
