package loadreport

import (
	"net"
	"testing"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/servertest"
)

// startReporter starts a service and returns it with its address and a reporter, which is closed at the end of the test.
func startReporter(t *testing.T) (r *Reporter, service *net.UDPConn, addr *net.UDPAddr) {
	t.Helper()
	service, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr = service.LocalAddr().(*net.UDPAddr)
	if r, err = New(eventloop.Kernel{}, addr.AddrPort(), "n3"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, service, addr
}

// TestReport sends reports with both values, and checks that reports arrive again after the service was down.
func TestReport(t *testing.T) {
	r, service, addr := startReporter(t)
	var err error
	buf := make([]byte, 100)
	expect := func(accepting bool, want string) {
		t.Helper()
		if err := r.Report(accepting); err != nil {
			t.Fatal(err)
		}
		service.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
		if n, err := service.Read(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("read %q, %v, want %q", buf[:n], err, want)
		}
	}
	expect(true, "announce n3 true")
	expect(false, "announce n3 false")
	service.Close()
	r.Report(true) // not received; the socket may return the ICMP error only for the next report
	r.Report(true)
	if service, err = net.ListenUDP("udp4", addr); err != nil {
		t.Skip("the address of the service is in use")
	}
	defer service.Close()
	r.Report(true)
	expect(true, "announce n3 true")
}

// TestServiceRestarted restarts the service after a report that was not received. The next report must arrive, although
// Report returns an error.
func TestServiceRestarted(t *testing.T) {
	r, service, addr := startReporter(t)
	var err error
	service.Close()
	r.Report(true)
	if service, err = net.ListenUDP("udp4", addr); err != nil {
		t.Skip("the address of the service is in use")
	}
	defer service.Close()
	if err := r.Report(true); err == nil {
		t.Error("no error for the report that was not received")
	}
	service.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
	buf := make([]byte, 100)
	if n, err := service.Read(buf); err != nil || string(buf[:n]) != "announce n3 true" {
		t.Errorf("read %q, %v, want announce n3 true", buf[:n], err)
	}
}
