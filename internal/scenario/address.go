package scenario

import "net/netip"

// The second byte of the addresses of machines, 10.x.0.0/16, by what they are.
const (
	serverNet      = 1
	interpreterNet = 2
	gatewayNet     = 3
	rogueClientNet = 4
	probeNet       = 5
)

// The ports of a server and of an interpreter, which moves between two.
const (
	serverPort       = 9000
	interpreterPort  = 9100
	interpreterPorts = 2
)

var (
	rogueClientHost = hostAddr(rogueClientNet, 1)
	probeHost       = hostAddr(probeNet, 1)
)

// hostAddr returns the address of a machine; numbers begin at 1.
func hostAddr(network byte, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, network, byte(number >> 8), byte(number)})
}
