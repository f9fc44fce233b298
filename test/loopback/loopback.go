// Package loopback gives tests addresses on which nothing else listens or dials.
package loopback

import (
	"errors"
	"fmt"
	"net"
)

// lockPort is the port whose listener marks a network as taken.
const lockPort = 7999

// ErrNoFreeNetwork means that every loopback network is taken.
var ErrNoFreeNetwork = errors.New("no free loopback network")

// Network is a loopback network 127.a.b.0/24 that no other process of these tests uses.
// Outgoing connections begin at 127.0.0.1, so none of them takes one of its addresses.
type Network struct {
	prefix string
	lock   net.Listener
}

// Claim takes a free network until Release.
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

// IP returns the IP number of a host, from 1 to 253.
func (n *Network) IP(host int) string { return fmt.Sprintf("%s%d", n.prefix, host) }

// Address returns the IP:port of a host.
func (n *Network) Address(host, port int) string { return fmt.Sprintf("%s%d:%d", n.prefix, host, port) }

// Release gives the network back.
func (n *Network) Release() { _ = n.lock.Close() }
