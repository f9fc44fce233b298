package certs

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// handshakeTimeout bounds the handshake of a new connection.
const handshakeTimeout = 5 * time.Second

// Listener hands out connections whose handshake is done; the others it logs and
// counts, so that a slow or wrong one holds nobody up.
type Listener struct {
	net.Listener
	config  *tls.Config
	log     zerolog.Logger
	onHandshakeFailure func()

	handshaken chan net.Conn
	// pending counts the handshakes under way.
	pending sync.WaitGroup
	acceptDone    chan struct{}
	err     error
}

// NewListener serves TLS on lis; refused is called for each failed handshake.
func NewListener(lis net.Listener, s *Source, log zerolog.Logger, refused func()) *Listener {
	l := &Listener{
		Listener: lis, config: s.ServerConfig(), log: log, onHandshakeFailure: refused,
		handshaken: make(chan net.Conn), acceptDone: make(chan struct{}),
	}
	go l.acceptLoop()
	return l
}

// Accept implements net.Listener. After Close it still hands out the connections
// that were being handshaken: their clients may have sent a request already.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.handshaken:
		return c, nil
	case <-l.acceptDone:
		return nil, l.err
	}
}

func (l *Listener) acceptLoop() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.pending.Wait()
			l.err = err
			close(l.acceptDone)
			return
		}
		l.pending.Go(func() { l.handshake(c) })
	}
}

func (l *Listener) handshake(raw net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	c := tls.Server(raw, l.config)
	if err := c.HandshakeContext(ctx); err != nil {
		l.onHandshakeFailure()
		l.log.Warn().Err(err).Stringer("from", raw.RemoteAddr()).Msg("TLS handshake refused")
		_ = raw.Close()
		return
	}
	select {
	case l.handshaken <- c:
	case <-ctx.Done():
		_ = c.Close()
	}
}
