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
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// concurrentSendBytes is the body size from which the answer is read while the request
	// is still being sent, since a backend server may answer before it has read a long body.
	concurrentSendBytes = 16 << 10
	// maxForeignAnswers is the number of answers to other calls after which an exchange
	// fails.
	maxForeignAnswers = 4
)

var (
	errTooLarge  = errors.New("answer exceeds the route's size limit")
	errOtherCall = errors.New("answer belongs to another call")
	errUpgrade   = errors.New("answer switches to another protocol")
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writeBufferBytes holds a request's header and a body of the usual size.
const writeBufferBytes = 8 << 10

// exchange sends one call to a backend server and reads the answer. It does not use
// net/http's client, which resends some requests on its own and cannot skip an answer to
// another call.
type exchange struct {
	dialect Dialect
	pool    *pool
	clock   clock.Clock
	call    *call.Call
	local   table.LocalBackend
	handle  string
	// held is the memory reserved for the answer.
	held *memory.Reservation
	// foreignAnswers is the number of answers to other calls that were read.
	foreignAnswers int
}

// run sends the request on one connection and reads the complete answer. It never sends a
// request twice.
func (x *exchange) run(ctx context.Context) (*http.Response, []byte, *call.Failure) {
	cn, err := x.pool.get(ctx, x.dialect.CallID(x.call, x.handle))
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

// roundTrip sends the request on cn and reads the answer. A long body is sent while the
// answer is read. If the answer is complete before the request is sent, the connection is
// closed.
func (x *exchange) roundTrip(ctx context.Context, cn *conn) (*http.Response, []byte, error) {
	timeLeft := x.call.Deadline.Sub(x.clock.Now())
	req := x.dialect.Request(ctx, x.call, x.local, timeLeft, x.handle)
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

// receive reads complete answers until one belongs to this call.
func (x *exchange) receive(cn *conn, req *http.Request) (*http.Response, []byte, error) {
	traits := x.dialect.Traits()
	for x.foreignAnswers < maxForeignAnswers {
		resp, err := readHead(cn, req)
		if err != nil {
			return nil, nil, err
		}
		body, err := x.readBody(resp, traits.UnframedAnswers)
		if err != nil {
			return resp, nil, err
		}
		switch x.dialect.Match(resp, x.call, x.handle) {
		case NamedCall:
			return resp, body, nil
		case UnnamedCall:
			if notRun, _ := x.dialect.ProvesNotRun(resp, false); notRun {
				// If the backend server sends this answer once more, the next call on the
				// connection could not tell it from its own.
				resp.Close = true
			}
			return resp, body, nil
		}
		x.foreignAnswers++
		if resp.Close || !traits.ExtraAnswers {
			break
		}
	}
	return nil, nil, errOtherCall
}

// readHead reads the head of the next answer that is not an informational one.
func readHead(cn *conn, req *http.Request) (*http.Response, error) {
	defer cn.head.end()
	for range maxInformational {
		buffered, err := cn.reader.Peek(cn.reader.Buffered())
		if err != nil {
			return nil, err
		}
		cn.head.begin(buffered)
		resp, err := http.ReadResponse(cn.reader, req)
		if cn.head.err != nil {
			return nil, cn.head.err
		}
		if err != nil {
			return nil, err
		}
		if resp.ProtoMajor != 1 {
			return nil, errVersion
		}
		if cn.head.isEncoded && !resp.ProtoAtLeast(1, 1) {
			// The parser ignores the encoding, and the chunks' sizes would become a part of the body.
			return nil, errHeadMalformed
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUpgrade
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if !call.IsFinalStatus(resp.StatusCode) {
			return nil, errStatus
		}
		return resp, nil
	}
	return nil, errTooManyInterim
}

// usableIdleTime returns how long a connection may be idle after an answer with this header
// and still be used again.
func usableIdleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutFraction * min(float64(seconds)*float64(time.Second), float64(maxIdleTimeout)))
		}
	}
	return defaultIdleTimeout
}

// readBody reads the body of an answer that has a length or is chunked or, with
// allowUnframed, of one that ends with its connection. A connection that is reset before
// the end is an error in any case.
func (x *exchange) readBody(resp *http.Response, allowUnframed bool) ([]byte, error) {
	defer resp.Body.Close()
	chunked := len(resp.TransferEncoding) > 0
	limit := x.call.AnswerLimit
	hasBody := x.call.Request.Method != http.MethodHead
	if hasBody && resp.ContentLength > limit {
		return nil, errTooLarge
	}
	if hasBody && resp.ContentLength < 0 && !chunked {
		if !allowUnframed {
			return nil, io.ErrUnexpectedEOF
		}
		resp.Close = true
	}
	body, err := io.ReadAll(io.LimitReader(memory.Reader{Source: resp.Body, Reservation: x.held}, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// failure returns the failure of a call whose exchange ended with err. If the header of an
// answer was read, resp is that answer.
func (x *exchange) failure(ctx context.Context, cn *conn, resp *http.Response, err error) *call.Failure {
	switch {
	case !cn.sent:
		return call.NewRefusal(call.BackendUnreachable, "the connection to the backend server of %s was closed", x.call.Service)
	case errors.Is(err, errTooLarge):
		return call.NewUnknownOutcome(call.AnswerTooLarge, "the answer of %s exceeds %d bytes", x.call.Service, x.call.AnswerLimit)
	case errors.Is(err, memory.ErrExhausted):
		return call.NewUnknownOutcome(call.AnswerMemory, "this node has no memory for the answer of %s", x.call.Service)
	case errors.As(err, new(malformedError)):
		return call.NewUnknownOutcome(call.AnswerMalformed, "the backend server of %s: %s", x.call.Service, err)
	case errors.Is(err, errOtherCall):
		return call.NewUnknownOutcome(call.BackendLost, "the backend server of %s answered another call", x.call.Service)
	case resp != nil:
		return lostFailure(ctx, call.AnswerTruncated, x.call)
	}
	return lostFailure(ctx, call.BackendLost, x.call)
}

// lostFailure returns the failure of a request that may have run and got no complete
// answer: DeadlinePassed or Cancelled if ctx has ended, otherwise the given reason.
func lostFailure(ctx context.Context, reason call.Reason, c *call.Call) *call.Failure {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return call.NewUnknownOutcome(call.DeadlinePassed, "no whole answer of %s before the deadline", c.Service)
	case context.Canceled:
		return call.NewUnknownOutcome(call.Cancelled, "the caller went away")
	}
	return call.NewUnknownOutcome(reason, "the backend server of %s gave no whole answer", c.Service)
}
