package front

import (
	"io"
	"net"
	"sync"
	"time"
)

// limitedReader reads from a connection with a limit on bytes and on time. Only the reading
// goroutine uses it, but for linger.
type limitedReader struct {
	netConn net.Conn
	// remainingBytes is the bytes that may be read yet; negative means no limit.
	remainingBytes int64
	// readTimeout is how long each read may take where it is positive.
	readTimeout time.Duration
	// lastErr is the error that ended the last read, if one did.
	lastErr error

	mu sync.Mutex
	// isLingering is set once only lingerTime is left for reading.
	isLingering bool
}

// Read implements io.Reader.
func (s *limitedReader) Read(p []byte) (int, error) {
	if s.remainingBytes == 0 {
		return 0, io.EOF
	}
	if s.remainingBytes > 0 && int64(len(p)) > s.remainingBytes {
		p = p[:s.remainingBytes]
	}
	if s.readTimeout > 0 {
		s.setReadDeadline(time.Now().Add(s.readTimeout))
	}
	n, err := s.netConn.Read(p)
	s.lastErr = err
	if s.remainingBytes > 0 {
		s.remainingBytes -= int64(n)
	}
	return n, err
}

// limitIdle bounds the time until the first byte of a request.
func (s *limitedReader) limitIdle(idle time.Duration) {
	s.remainingBytes, s.readTimeout = -1, 0
	s.setReadDeadline(time.Now().Add(idle))
}

// limitHead bounds the size and the time of a request's head.
func (s *limitedReader) limitHead(bytes int, timeout time.Duration) {
	s.remainingBytes, s.readTimeout = int64(bytes), 0
	s.setReadDeadline(time.Now().Add(timeout))
}

// limitBody bounds the pauses within a body.
func (s *limitedReader) limitBody() { s.remainingBytes, s.readTimeout = -1, bodyReadTimeout }

// clearLimits lets reads take as long as the connection lives.
func (s *limitedReader) clearLimits() {
	s.remainingBytes, s.readTimeout = -1, 0
	s.setReadDeadline(time.Time{})
}

// startLinger bounds what is left for reading.
func (s *limitedReader) startLinger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLingering {
		s.isLingering = true
		_ = s.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

func (s *limitedReader) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLingering {
		_ = s.netConn.SetReadDeadline(t)
	}
}
