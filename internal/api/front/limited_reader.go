package front

import (
	"io"
	"net"
	"sync"
	"time"
)

// limitedReader reads from a connection within a byte limit and a time limit. Only the
// connection's reading goroutine may use it, except for stop.
type limitedReader struct {
	netConn net.Conn
	// remainingBytes is how many more bytes may be read; negative means no limit.
	remainingBytes int64
	// readTimeout bounds each single read if it is positive.
	readTimeout time.Duration
	// lastErr is the error of the last read.
	lastErr error

	mu sync.Mutex
	// isStopped is set once nothing more is to be read; later deadlines are then ignored.
	isStopped bool
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remainingBytes == 0 {
		return 0, io.EOF
	}
	if r.remainingBytes > 0 && int64(len(p)) > r.remainingBytes {
		p = p[:r.remainingBytes]
	}
	if r.readTimeout > 0 {
		r.setReadDeadline(time.Now().Add(r.readTimeout))
	}
	n, err := r.netConn.Read(p)
	r.lastErr = err
	if r.remainingBytes > 0 {
		r.remainingBytes -= int64(n)
	}
	return n, err
}

// limitIdle sets the timeout for the first byte of the next request and removes the byte limit.
func (r *limitedReader) limitIdle(idle time.Duration) {
	r.remainingBytes, r.readTimeout = -1, 0
	r.setReadDeadline(time.Now().Add(idle))
}

// limitHead sets the size in bytes and the timeout for a request's head.
func (r *limitedReader) limitHead(bytes int, timeout time.Duration) {
	r.remainingBytes, r.readTimeout = int64(bytes), 0
	r.setReadDeadline(time.Now().Add(timeout))
}

// limitBody sets the timeout for each read of a request's body and removes the byte limit, since
// readBody bounds the body itself.
func (r *limitedReader) limitBody() { r.remainingBytes, r.readTimeout = -1, bodyReadTimeout }

// clearLimits removes the byte and time limits.
func (r *limitedReader) clearLimits() {
	r.remainingBytes, r.readTimeout = -1, 0
	r.setReadDeadline(time.Time{})
}

// stop ends a read in progress and all further ones with a timeout. It may be called from any
// goroutine.
func (r *limitedReader) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isStopped {
		r.isStopped = true
		_ = r.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (r *limitedReader) setReadDeadline(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isStopped {
		_ = r.netConn.SetReadDeadline(t)
	}
}
