package front

import (
	"io"
	"net"
	"sync"
	"time"
)

// source reads from a connection with a limit on bytes and on time. Only the reading
// goroutine uses it, but for linger.
type source struct {
	raw net.Conn
	// left is the bytes that may be read yet; negative means no limit.
	left int64
	// pause is how long each read may take where it is positive.
	pause time.Duration
	// failed is the error that ended the last read, if one did.
	failed error

	mu sync.Mutex
	// ending is set once only lingerTime is left for reading.
	ending bool
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if s.left > 0 && int64(len(p)) > s.left {
		p = p[:s.left]
	}
	if s.pause > 0 {
		s.deadline(time.Now().Add(s.pause))
	}
	n, err := s.raw.Read(p)
	s.failed = err
	if s.left > 0 {
		s.left -= int64(n)
	}
	return n, err
}

// wait bounds the time until the first byte of a request.
func (s *source) wait(idle time.Duration) {
	s.left, s.pause = -1, 0
	s.deadline(time.Now().Add(idle))
}

// head bounds the size and the time of a request's head.
func (s *source) head(bytes int, timeout time.Duration) {
	s.left, s.pause = int64(bytes), 0
	s.deadline(time.Now().Add(timeout))
}

// body bounds the pauses within a body.
func (s *source) body() { s.left, s.pause = -1, bodyPause }

// unlimited lets reads take as long as the connection lives.
func (s *source) unlimited() {
	s.left, s.pause = -1, 0
	s.deadline(time.Time{})
}

// linger bounds what is left for reading.
func (s *source) linger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		s.ending = true
		_ = s.raw.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

func (s *source) deadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		_ = s.raw.SetReadDeadline(t)
	}
}
