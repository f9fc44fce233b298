package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// An outgoing connection that happens to use the same port does not take an address.
func TestOutgoingConnectionsTakeNoAddress(t *testing.T) {
	n, err := Claim()
	require.NoError(t, err)
	defer n.Release()
	far, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer far.Close()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port := probe.Addr().(*net.TCPAddr).Port
	require.NoError(t, probe.Close())
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}
	out, err := d.Dial("tcp", far.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	lis, err := net.Listen("tcp", n.Address(1, port))
	require.NoError(t, err)
	require.NoError(t, lis.Close())
}

func TestNetworksDiffer(t *testing.T) {
	a, err := Claim()
	require.NoError(t, err)
	defer a.Release()
	b, err := Claim()
	require.NoError(t, err)
	defer b.Release()
	require.NotEqual(t, a.IP(1), b.IP(1))
}
