// Package front is an HTTP/1.1 server for callers that pipeline requests.
//
// It reads the next request of a connection while earlier ones are still being served,
// serves them concurrently, and writes the replies in request order. It detects at any time
// that a caller has disconnected, even with bytes of a further request still unread, and
// cancels the context of that caller's requests. A request that was read is always answered
// before the server closes the connection.
package front

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress at a time.
	maxPipelined = 32
	// bodyReadTimeout bounds each read of a request's body.
	bodyReadTimeout = 10 * time.Second
	// writeChunkTimeout bounds each write of at most ioChunkBytes of a reply, and so how
	// long a caller may leave a part of it unread.
	writeChunkTimeout = 10 * time.Second
	// ioChunkBytes is the size of one write of a reply, and the step by which memory is
	// reserved for a chunked body.
	ioChunkBytes = 32 << 10
)

// Request is a request with its whole body.
type Request struct {
	Method string
	// Target is the path and the query, escaped as they were sent.
	Target string
	Host   string
	// Header lacks Host and the fields for the framing of the body.
	Header http.Header
	Body   []byte
}

// Reply is the answer to a request.
type Reply struct {
	Status int
	// Header must have no fields for the framing of the body, except a Content-Length that
	// replaces the computed one.
	Header http.Header
	Body   []byte
}

// Handler serves requests. Its methods are called concurrently.
type Handler interface {
	// Serve returns the reply to a request. ctx is cancelled when the caller disconnects.
	Serve(ctx context.Context, r *Request) *Reply
	// Refuse returns the reply to a request that was rejected while it was read.
	Refuse(status int, detail string) *Reply
}

// Options configure a Server.
type Options struct {
	// Limits returns the limits currently in force.
	Limits func() settings.Limits
	// SingleValueHeaders are the headers, in canonical form, that may occur at most once in a
	// request.
	SingleValueHeaders []string
	// Memory bounds the memory for the bodies of all requests in progress and for the replies
	// that are not sent yet.
	Memory *memory.Budget
}

// Server serves HTTP/1.1 connections with pipelining. It is safe for concurrent use.
type Server struct {
	Options
	handler       Handler
	log           zerolog.Logger
	requestErrors map[int]*metrics.Counter

	// lingerFailed limits its log line to one.
	lingerFailed sync.Once
	stopping     atomic.Bool
	mu           sync.Mutex
	conns        map[*conn]struct{}
}

// New returns a server that calls h, and registers its metrics in m.
func New(o Options, h Handler, m *metric.Set, log zerolog.Logger) *Server {
	s := &Server{
		Options: o, handler: h, log: log, conns: map[*conn]struct{}{},
		requestErrors: map[int]*metrics.Counter{},
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

// Serve accepts connections until the listener is closed, and then returns nil. It retries
// after any other error of Accept.
func (s *Server) Serve(lis net.Listener) error {
	for {
		netConn, err := lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, netConn)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// acceptRetryDelay avoids a busy loop while Accept fails, for instance for lack of file
// descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Stop makes each connection close after the reply to its last pending request, or to its next one if none
// is pending. No further request is read on it. Drain ends the connections that stay idle.
func (s *Server) Stop() { s.stopping.Store(true) }

// Drain ends the connections: no request is read that is not being read yet, and each connection
// closes once those that were read are answered. It does not wait, and returns on how many connections a
// request is being read or served or its reply has not been received. Call it again until there are none,
// since a connection may become idle without a reply that closes it.
func (s *Server) Drain() int { return s.DrainAcceptedBefore(time.Now()) }

// DrainAcceptedBefore is like Drain, but leaves the connections alone that were accepted at t or later.
func (s *Server) DrainAcceptedBefore(t time.Time) int {
	s.mu.Lock()
	all := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	busy := 0
	for _, c := range all {
		if c.acceptedAt.Before(t) && !c.drain() {
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
