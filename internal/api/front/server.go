// Package front serves callers' HTTP/1.1 connections where requests are pipelined.
//
// It reads the next request while earlier ones are still being answered, runs them side
// by side, and answers in the order in which they came. A caller that leaves is noticed
// at any time, also behind bytes that were not read yet: the context of its requests
// ends. A request that was read is always answered before its connection is closed.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
)

const (
	// maxPipelined bounds the requests of one connection that are answered side by side.
	maxPipelined = 32
	// bodyReadTimeout is how long a caller may pause within a request's body.
	bodyReadTimeout = 10 * time.Second
	// writeChunkTimeout is how long a caller may leave a part of an answer unread.
	writeChunkTimeout = 10 * time.Second
	// ioChunkBytes is the size of such a part in bytes.
	ioChunkBytes = 32 << 10
	// lingerTimeout is how long a closed connection is read on, so that bytes which cross
	// the close do not reset it before the caller has its answer.
	lingerTimeout = 500 * time.Millisecond
)

// Request is a request that was read whole.
type Request struct {
	Method string
	// Target is the path and the query as they were sent.
	Target string
	Host   string
	// Header has neither Host nor what concerns the body's transfer.
	Header http.Header
	Body   []byte
}

// Reply is the answer to a request.
type Reply struct {
	Status int
	// Header has nothing that concerns the body's transfer.
	Header http.Header
	Body   []byte
}

// Handler answers requests. It is called concurrently.
type Handler interface {
	// Serve answers one request; ctx ends when its caller leaves.
	Serve(ctx context.Context, r *Request) *Reply
	// Refuse makes the reply to a request that could not be read, by its HTTP status.
	Refuse(status int, detail string) *Reply
}

// Options are what a Server needs to know.
type Options struct {
	// Limits gives the limits in force.
	Limits func() settings.Limits
	// SingleValueHeaders names the headers, in canonical form, that a request may have once at most.
	SingleValueHeaders []string
	// MaxHeldBodyBytes bounds the requests' bodies that are held at a time.
	MaxHeldBodyBytes int64
}

// Server serves connections. It is safe for concurrent use.
type Server struct {
	Options
	handler Handler
	log     zerolog.Logger
	bodyMemory  *semaphore.Weighted
	requestErrors map[int]*metrics.Counter

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// New returns a server in front of the handler.
func New(o Options, h Handler, m *metric.Set, log zerolog.Logger) *Server {
	s := &Server{
		Options: o, handler: h, log: log, conns: map[*conn]struct{}{},
		bodyMemory: semaphore.NewWeighted(o.MaxHeldBodyBytes), requestErrors: map[int]*metrics.Counter{},
	}
	for _, status := range requestErrorStatuses {
		s.requestErrors[status] = m.Counter("comfreycart_unreadable_requests_total", "status", http.StatusText(status))
	}
	m.Gauge("comfreycart_caller_connections", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(len(s.conns))
	})
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(lis net.Listener) error {
	for {
		raw, err := lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("connection not accepted")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// acceptRetryDelay keeps a listener without descriptors from spinning.
const acceptRetryDelay = 10 * time.Millisecond

// Stop makes every answer after which nothing is left to answer end its connection.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which nothing is being read or answered, and
// returns how many others there are.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	busy := 0
	for _, c := range all {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
