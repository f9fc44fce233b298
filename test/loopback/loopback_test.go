package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against failing to listen on an address of the network because an outgoing
// connection happens to use the same ephemeral port.
func TestOutgoingConnectionsOccupyNoAddress(t *testing.T) {
	n, err := Claim()
	require.NoError(t, err)
	defer n.Release()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port := probe.Addr().(*net.TCPAddr).Port
	require.NoError(t, probe.Close())
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}
	conn, err := d.Dial("tcp", server.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	lis, err := net.Listen("tcp", n.Address(1, port))
	require.NoError(t, err)
	require.NoError(t, lis.Close())
}

func TestClaimedNetworksDiffer(t *testing.T) {
	a, err := Claim()
	require.NoError(t, err)
	defer a.Release()
	b, err := Claim()
	require.NoError(t, err)
	defer b.Release()
	require.NotEqual(t, a.IP(1), b.IP(1))
}
