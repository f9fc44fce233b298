package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// Headers between a node and its backend servers.
const (
	HeaderAccount = "Comfreycart-Account"
	HeaderCall    = "Comfreycart-Call"
	HeaderTimeout = "Request-Timeout-Ms"
	HeaderOutcome = "Comfreycart-Outcome"
)

var errTooLarge = errors.New("answer above the route's limit")

// maxAnswerHeaderBytes bounds the header of an answer.
const maxAnswerHeaderBytes = 256 << 10

// exchange sends one request on one connection and reads the whole answer. It
// never sends a request twice.
func exchange(ctx context.Context, p *pool, clk clock.Clock, c *call.Call, handle string) (*http.Response, []byte, *call.Failure) {
	cn, err := p.get(ctx)
	if err != nil {
		return nil, nil, call.Refuse(call.BackendUnreachable, "no connection to the backend server of %s", c.Service)
	}
	before := cn.written.Load()
	resp, err := cn.RoundTrip(backendRequest(ctx, p.address, clk, c, handle))
	if err != nil {
		_ = cn.Close()
		if cn.written.Load() == before {
			return nil, nil, call.Refuse(call.BackendUnreachable, "the connection to the backend server of %s was closed", c.Service)
		}
		return nil, nil, lost(ctx, call.BackendLost, c)
	}
	if p.foreign(resp, handle) {
		_ = cn.Close()
		return nil, nil, call.Lose(call.BackendLost, "the backend server of %s answered another call", c.Service)
	}
	body, err := readWhole(resp, c.Request.Method, c.AnswerLimit)
	if err != nil {
		_ = cn.Close()
		return nil, nil, bodyFailure(ctx, err, c)
	}
	p.put(cn)
	return resp, body, nil
}

// foreign reports whether an answer is none to this call: it leaves HTTP, names
// another call, or names none although the backend server does so otherwise.
func (p *pool) foreign(resp *http.Response, handle string) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return true
	}
	named := resp.Header.Get(HeaderCall)
	if named == handle {
		p.names.Store(true)
		return false
	}
	return named != "" || p.names.Load()
}

func backendRequest(ctx context.Context, address string, clk clock.Clock, c *call.Call, handle string) *http.Request {
	r := c.Request
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: r.Path, RawQuery: r.RawQuery},
		Host:          address,
		Header:        r.Header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderAccount, c.Account)
	req.Header.Set(HeaderCall, handle)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(c.Deadline.Sub(clk.Now()).Milliseconds(), 10))
	return req.WithContext(ctx)
}

// readWhole reads an answer whose end is marked; any other is cut.
func readWhole(resp *http.Response, method string, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && method != http.MethodHead {
		return nil, io.ErrUnexpectedEOF
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

func bodyFailure(ctx context.Context, err error, c *call.Call) *call.Failure {
	if errors.Is(err, errTooLarge) {
		return call.Lose(call.AnswerTooLarge, "the answer of %s exceeds %d bytes", c.Service, c.AnswerLimit)
	}
	return lost(ctx, call.AnswerTruncated, c)
}

// lost classes the loss of a request that may have run.
func lost(ctx context.Context, reason call.Reason, c *call.Call) *call.Failure {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return call.Lose(call.DeadlinePassed, "no whole answer of %s before the deadline", c.Service)
	case context.Canceled:
		return call.Lose(call.Cancelled, "the caller went away")
	}
	return call.Lose(reason, "the backend server of %s gave no whole answer", c.Service)
}

// promisedNotRun recognizes an answer by which a backend server promises that it
// did not run the call. A call that asked for a sub-call did run: its server may
// only pass on what it was told below.
func promisedNotRun(resp *http.Response, below table.Below) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(HeaderOutcome) == string(call.NotRun) &&
		!below.Called
}
