package scenario

import "net/netip"

// The second byte of the machines' addresses: each kind of machine has its own network 10.x.0.0/16.
const (
	serverNet      = 1
	interpreterNet = 2
	gatewayNet     = 3
	rogueClientNet = 4
	probeNet       = 5
)

// The ports of servers and interpreters. An interpreter moves between interpreterPorts consecutive ports from
// interpreterPort on.
const (
	serverPort       = 9000
	interpreterPort  = 9100
	interpreterPorts = 2
)

var (
	rogueClientHost = hostAddr(rogueClientNet, 1)
	probeHost       = hostAddr(probeNet, 1)
)

// hostAddr returns the address of a machine in a network. Machine numbers start at 1.
func hostAddr(network byte, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, network, byte(number >> 8), byte(number)})
}
