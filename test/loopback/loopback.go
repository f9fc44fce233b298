// Package loopback reserves loopback addresses for tests, so that tests that run at the same
// time, in one or several processes, don't collide on ports.
package loopback

import (
	"errors"
	"fmt"
	"net"
)

// lockPort is the port of the listener at host 254 that marks a network as reserved.
const lockPort = 7999

// ErrNoFreeNetwork means that all loopback networks are reserved.
var ErrNoFreeNetwork = errors.New("no free loopback network")

// Network is a loopback network 127.a.b.0/24 reserved for one test. Outgoing connections
// without an explicit source address start from 127.0.0.1, so their ephemeral ports never
// occupy an address of the network.
type Network struct {
	prefix string
	lock   net.Listener
}

// Claim reserves a free network until Release. It returns ErrNoFreeNetwork if there is none.
func Claim() (*Network, error) {
	for a := 16; a < 250; a++ {
		for b := range 250 {
			prefix := fmt.Sprintf("127.%d.%d.", a, b)
			lis, err := net.Listen("tcp", fmt.Sprintf("%s254:%d", prefix, lockPort))
			if err == nil {
				return &Network{prefix: prefix, lock: lis}, nil
			}
		}
	}
	return nil, ErrNoFreeNetwork
}

// IP returns the IP address of a host number from 1 to 253.
func (n *Network) IP(host int) string { return fmt.Sprintf("%s%d", n.prefix, host) }

// Address returns the IP:port of a host number from 1 to 253.
func (n *Network) Address(host, port int) string { return fmt.Sprintf("%s%d:%d", n.prefix, host, port) }

// Release makes the network free for other tests.
func (n *Network) Release() { _ = n.lock.Close() }
