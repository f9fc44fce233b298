package serve

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/table"
)

// Dialect is the HTTP protocol between a node and its backend servers: how calls are sent
// and how answers are interpreted. It is safe for concurrent use.
type Dialect interface {
	// Request returns the HTTP request for a call that has the given time left. The handle
	// identifies the call on this node.
	Request(ctx context.Context, c *call.Call, l table.LocalBackend, timeLeft time.Duration, handle string) *http.Request
	// CallID returns the ID that the backend server's answers to the call repeat. All sendings of
	// one call may have the same ID.
	CallID(c *call.Call, handle string) string
	// Match reports whether an answer belongs to c.
	Match(resp *http.Response, c *call.Call, handle string) Match
	// ProvesNotRun reports whether an answer proves that the call did not run, and whether
	// the reason is that the address now belongs to another instance. The parameter
	// requestedSubCall says whether the call has requested a sub-call.
	ProvesNotRun(resp *http.Response, requestedSubCall bool) (notRun, otherInstance bool)
	// ReportedLoad returns the load that the backend server reports in an answer, and false
	// if it reports none.
	ReportedLoad(resp *http.Response) (Load, bool)
	// Notice returns what the backend server states in an answer for all nodes that send it
	// calls, without the instance. It returns an error if a statement is malformed.
	Notice(resp *http.Response) (call.Notice, error)
	// Traits returns further properties of the backend servers.
	Traits() Traits
	// CanForward reports whether an answer may be passed on to the caller unchanged.
	CanForward(resp *http.Response, c *call.Call) bool
}

// Match says whether an answer belongs to a call.
type Match uint8

// The matches.
const (
	// OtherCall is the match of an answer that belongs to another call.
	OtherCall Match = iota
	// NamedCall is the match of an answer that repeats the call's ID.
	NamedCall
	// UnnamedCall is the match of an answer without an ID, from a backend server that has never
	// sent one.
	UnnamedCall
)

// Traits are properties of backend servers that decide how their connections and sheds are
// handled.
type Traits struct {
	// UnframedAnswers is set if an answer without a length may end with its connection.
	UnframedAnswers bool
	// ExtraAnswers is set if answers to earlier calls may precede the answer to a call.
	ExtraAnswers bool
	// EndpointLocalSheds is set if a shed by one endpoint says nothing about the load of the
	// service's other endpoints.
	EndpointLocalSheds bool
}

// Load is the load that a backend server reports about itself, in calls.
type Load struct {
	Running, Waiting, Slots int
}

// hasRoom reports whether a call could have run immediately.
func (l Load) hasRoom() bool { return l.Waiting == 0 && l.Running < l.Slots }

// ParseRate parses a rate limit in requests a second. It returns an error unless the text is a
// number from 0 to call.MaxRate.
func ParseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !call.IsRate(rate) {
		return 0, fmt.Errorf("rate limit %q: want a number of requests a second up to %g", text, float64(call.MaxRate))
	}
	return rate, nil
}

// Headers between a node and its backend servers.
const (
	HeaderAccount = "Comfreycart-Account"
	HeaderCall    = "Comfreycart-Call"
	HeaderTimeout = "Request-Timeout-Ms"
	HeaderOutcome = "Comfreycart-Outcome"
	// HeaderRateLimit is the number of requests a second that the backend server takes from all
	// nodes together, in each of its answers while that holds.
	HeaderRateLimit = "Comfreycart-Rate-Limit"
	// HeaderLeaving is "1" in the answers of a backend server that takes no new calls any more.
	HeaderLeaving = "Comfreycart-Leaving"
)

// NativeDialect is the dialect of backend servers that use the Comfreycart headers.
type NativeDialect struct {
	// echoing holds the services whose backend servers return the handle of the call in
	// their answers.
	echoing sync.Map
}

// Request implements Dialect. It adds the account, the handle and the time left as headers.
func (*NativeDialect) Request(ctx context.Context, c *call.Call, l table.LocalBackend, timeLeft time.Duration, handle string) *http.Request {
	r := c.Request
	req := NewRequest(ctx, c, &url.URL{Scheme: "http", Host: l.Address, Path: r.Path, RawQuery: r.RawQuery})
	req.Host = l.Address
	req.Header.Set(HeaderAccount, c.Account)
	req.Header.Set(HeaderCall, handle)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	return req
}

// NewRequest returns an HTTP request to target with the method, header and body of a call.
func NewRequest(ctx context.Context, c *call.Call, target *url.URL) *http.Request {
	r := c.Request
	req := &http.Request{
		Method:        r.Method,
		URL:           target,
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
	return req.WithContext(ctx)
}

// CallID implements Dialect. Each sending has a handle of its own.
func (*NativeDialect) CallID(_ *call.Call, handle string) string { return handle }

// Match implements Dialect. An answer belongs to another call if it contains the handle of
// another call, or none although the service's backend server has sent handles before.
func (d *NativeDialect) Match(resp *http.Response, c *call.Call, handle string) Match {
	answered := resp.Header.Get(HeaderCall)
	if answered == handle {
		d.echoing.Store(c.Service, true)
		return NamedCall
	}
	if _, echoes := d.echoing.Load(c.Service); echoes || answered != "" {
		return OtherCall
	}
	return UnnamedCall
}

// ProvesNotRun implements Dialect. A call that requested a sub-call has run: its backend
// server may just be passing on the outcome of that sub-call.
func (*NativeDialect) ProvesNotRun(resp *http.Response, requestedSubCall bool) (notRun, otherInstance bool) {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(HeaderOutcome) == string(call.NotRun) &&
		!requestedSubCall, false
}

// ReportedLoad implements Dialect. The native dialect has no load reports.
func (*NativeDialect) ReportedLoad(*http.Response) (Load, bool) { return Load{}, false }

// Notice implements Dialect.
func (*NativeDialect) Notice(resp *http.Response) (call.Notice, error) {
	n := call.Notice{Leaving: resp.Header.Get(HeaderLeaving) == "1"}
	if text := resp.Header.Get(HeaderRateLimit); text != "" {
		rate, err := ParseRate(text)
		if err != nil {
			return n, err
		}
		n.RateLimited, n.Rate = true, rate
	}
	return n, nil
}

// Traits implements Dialect.
func (*NativeDialect) Traits() Traits { return Traits{} }

// CanForward implements Dialect. Every answer may be passed on.
func (*NativeDialect) CanForward(*http.Response, *call.Call) bool { return true }
