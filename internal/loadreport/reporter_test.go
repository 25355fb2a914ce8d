package loadreport

import (
	"net"
	"testing"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/servertest"
)

// startReporter returns a reporter, which is closed with the test, and the service that it reports to.
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

// TestReport sends both reports, and goes on after the service was down.
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
	r.Report(true) // nobody receives it, and the socket may learn of that at the next
	r.Report(true)
	if service, err = net.ListenUDP("udp4", addr); err != nil {
		t.Skip("the address is taken")
	}
	defer service.Close()
	r.Report(true)
	expect(true, "announce n3 true")
}

// TestServiceRestarted has the service come back after a report that nobody received: the next one arrives.
func TestServiceRestarted(t *testing.T) {
	r, service, addr := startReporter(t)
	var err error
	service.Close()
	r.Report(true)
	if service, err = net.ListenUDP("udp4", addr); err != nil {
		t.Skip("the address is taken")
	}
	defer service.Close()
	if err := r.Report(true); err == nil {
		t.Error("no error for the report that nobody received")
	}
	service.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
	buf := make([]byte, 100)
	if n, err := service.Read(buf); err != nil || string(buf[:n]) != "announce n3 true" {
		t.Errorf("read %q, %v", buf[:n], err)
	}
}
