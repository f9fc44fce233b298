package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"comfreycart.dev/comfreycart/internal/memory"
)

// meteredConn is a connection that reserves memory for the message being read from it. A read
// fails once the node has no memory left, which ends the connection before the message is
// held. It carries one message at a time, as drpc connections do.
type meteredConn struct {
	net.Conn
	held *memory.Reservation
	// exhausted is set once a read failed for lack of memory.
	exhausted atomic.Bool
}

func newMeteredConn(raw net.Conn, bodies *memory.Budget) *meteredConn {
	return &meteredConn{Conn: raw, held: bodies.Reserve(memory.SmallBodyBytes)}
}

// Read implements net.Conn.
func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if growErr := m.held.Grow(int64(n)); errors.Is(growErr, memory.ErrExhausted) {
		m.exhausted.Store(true)
		return 0, growErr
	}
	return n, err
}

// Close implements net.Conn.
func (m *meteredConn) Close() error {
	m.held.Close()
	return m.Conn.Close()
}

type meteredConnKey struct{}

// withMeteredConn returns a context that names the connection on which a request came.
func withMeteredConn(ctx context.Context, m *meteredConn) context.Context {
	return context.WithValue(ctx, meteredConnKey{}, m)
}

// meteredConnFrom returns the connection on which a request came, or nil.
func meteredConnFrom(ctx context.Context) *meteredConn {
	m, _ := ctx.Value(meteredConnKey{}).(*meteredConn)
	return m
}
