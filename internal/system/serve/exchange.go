package serve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// concurrentSendBytes is the size in bytes from which a body is sent while the answer is read,
	// since a backend server may answer before it has read the whole body.
	concurrentSendBytes = 16 << 10
	// maxForeignAnswers bounds the answers to other calls that are skipped on one connection.
	maxForeignAnswers = 4
)

var (
	errTooLarge = errors.New("answer above the route's limit")
	errOtherCall  = errors.New("answers to other calls")
	errUpgrade  = errors.New("answer leaves HTTP")
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writeBufferBytes holds a request's head and a body of the users' usual size.
const writeBufferBytes = 8 << 10

// exchange is one call at a backend server. The standard client is not used, since it
// sends some requests again by itself and cannot skip an answer to another call.
type exchange struct {
	dialect Dialect
	pool    *pool
	clock   clock.Clock
	call    *call.Call
	local   table.LocalBackend
	handle  string
}

// run sends the request on one connection and reads the whole answer. It never sends a
// request twice.
func (x *exchange) run(ctx context.Context) (*http.Response, []byte, *call.Failure) {
	cn, err := x.pool.get(ctx)
	if err != nil {
		return nil, nil, call.NewRefusal(call.BackendUnreachable, "no connection to the backend server of %s", x.call.Service)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.SetDeadline(time.Unix(1, 0)) })
	resp, body, err := x.roundTrip(ctx, cn)
	if !stop() || err != nil || resp.Close || cn.reader.Buffered() > 0 {
		cn.close()
	} else {
		cn.idleTimeout = usableIdleTime(resp.Header)
		x.pool.put(cn)
	}
	if err != nil {
		return nil, nil, x.failure(ctx, cn, resp, err)
	}
	return resp, body, nil
}

func (x *exchange) roundTrip(ctx context.Context, cn *conn) (*http.Response, []byte, error) {
	left := x.call.Deadline.Sub(x.clock.Now())
	req := x.dialect.Request(ctx, x.call, x.local, left, x.handle)
	if len(x.call.Request.Body) < concurrentSendBytes {
		if err := writeRequest(cn, req); err != nil {
			return nil, nil, err
		}
		return x.receive(cn, req)
	}
	sent := make(chan error, 1)
	cn.sent = true
	go func() { sent <- writeRequest(cn, req) }()
	resp, body, err := x.receive(cn, req)
	select {
	case sendErr := <-sent:
		if err == nil && sendErr != nil {
			resp.Close = true
		}
	default:
		cn.close()
		<-sent
		if err == nil {
			resp.Close = true
		}
	}
	return resp, body, err
}

func writeRequest(cn *conn, req *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(cn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads answers until one is to this call, and that one whole.
func (x *exchange) receive(cn *conn, req *http.Request) (*http.Response, []byte, error) {
	traits := x.dialect.Traits()
	for skipped := 0; skipped < maxForeignAnswers; {
		resp, err := http.ReadResponse(cn.reader, req)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, errUpgrade
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp, x.call.Request.Method, x.call.AnswerLimit, traits.UnframedAnswers)
		if err != nil {
			return resp, nil, err
		}
		if !x.dialect.IsForOtherCall(resp, x.call, x.handle) {
			return resp, body, nil
		}
		if resp.Close || !traits.ExtraAnswers {
			break
		}
		skipped++
	}
	return nil, nil, errOtherCall
}

// usableIdleTime is how long a connection may be kept unused after an answer.
func usableIdleTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutFraction * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultIdleTimeout
}

// readBody reads an answer whose end is marked, or, where unframed is allowed, one that
// ends with its connection. A reset connection ends no answer.
func readBody(resp *http.Response, method string, limit int64, unframed bool) ([]byte, error) {
	defer resp.Body.Close()
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && method != http.MethodHead {
		if !unframed {
			return nil, io.ErrUnexpectedEOF
		}
		resp.Close = true
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// failure says what became of a call whose exchange failed.
func (x *exchange) failure(ctx context.Context, cn *conn, resp *http.Response, err error) *call.Failure {
	switch {
	case !cn.sent:
		return call.NewRefusal(call.BackendUnreachable, "the connection to the backend server of %s was closed", x.call.Service)
	case errors.Is(err, errTooLarge):
		return call.NewUnknownOutcome(call.AnswerTooLarge, "the answer of %s exceeds %d bytes", x.call.Service, x.call.AnswerLimit)
	case errors.Is(err, errOtherCall):
		return call.NewUnknownOutcome(call.BackendLost, "the backend server of %s answered another call", x.call.Service)
	case resp != nil:
		return lostFailure(ctx, call.AnswerTruncated, x.call)
	}
	return lostFailure(ctx, call.BackendLost, x.call)
}

// lostFailure classes the loss of a request that may have run.
func lostFailure(ctx context.Context, reason call.Reason, c *call.Call) *call.Failure {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return call.NewUnknownOutcome(call.DeadlinePassed, "no whole answer of %s before the deadline", c.Service)
	case context.Canceled:
		return call.NewUnknownOutcome(call.Cancelled, "the caller went away")
	}
	return call.NewUnknownOutcome(reason, "the backend server of %s gave no whole answer", c.Service)
}
