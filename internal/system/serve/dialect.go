package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/table"
)

// Dialect is how calls are put to backend servers, and how their answers are read. It is
// safe for concurrent use.
type Dialect interface {
	// Request returns the request for a call with the time left to it. The handle names
	// the call on this node.
	Request(ctx context.Context, c *call.Call, l table.LocalBackend, left time.Duration, handle string) *http.Request
	// IsForOtherCall reports whether an answer is to another call.
	IsForOtherCall(resp *http.Response, c *call.Call, handle string) bool
	// ProvesNotRun reports whether an answer proves that the call did not run, and whether
	// the reason is that the address now belongs to another instance.
	ProvesNotRun(resp *http.Response, called bool) (notRun, moved bool)
	// ReportedLoad reads what an answer tells of the backend server's load; false if nothing.
	ReportedLoad(resp *http.Response) (Load, bool)
	// Traits tells what else to expect of backend servers.
	Traits() Traits
	// CanForward reports whether an answer can be given to the caller as it is.
	CanForward(resp *http.Response, c *call.Call) bool
}

// Traits is what to expect of backend servers beside the form of their answers.
type Traits struct {
	// UnframedAnswers answers, without a length, may end with their connection.
	UnframedAnswers bool
	// ExtraAnswers answers to earlier calls may come before the one to a call.
	ExtraAnswers bool
	// EndpointLocalSheds is set where an endpoint's shed says nothing of the service's others.
	EndpointLocalSheds bool
}

// Load is a backend server's own word on its load, in calls.
type Load struct {
	Running, Waiting, Slots int
}

// hasRoom reports whether a call could have run at once.
func (l Load) hasRoom() bool { return l.Waiting == 0 && l.Running < l.Slots }

// Headers between a node and its backend servers.
const (
	HeaderAccount = "Comfreycart-Account"
	HeaderCall    = "Comfreycart-Call"
	HeaderTimeout = "Request-Timeout-Ms"
	HeaderOutcome = "Comfreycart-Outcome"
)

// NativeDialect is the product's own dialect.
type NativeDialect struct {
	// echoing has the services whose backend server named a call in its answer.
	echoing sync.Map
}

// Request implements Dialect.
func (*NativeDialect) Request(ctx context.Context, c *call.Call, l table.LocalBackend, left time.Duration, handle string) *http.Request {
	r := c.Request
	req := NewRequest(ctx, c, &url.URL{Scheme: "http", Host: l.Address, Path: r.Path, RawQuery: r.RawQuery})
	req.Host = l.Address
	req.Header.Set(HeaderAccount, c.Account)
	req.Header.Set(HeaderCall, handle)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	return req
}

// NewRequest returns a request with a call's method, header and body.
func NewRequest(ctx context.Context, c *call.Call, to *url.URL) *http.Request {
	r := c.Request
	req := &http.Request{
		Method:        r.Method,
		URL:           to,
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

// IsForOtherCall implements Dialect. An answer is foreign if it names another call, or names
// none although its backend server does so otherwise.
func (d *NativeDialect) IsForOtherCall(resp *http.Response, c *call.Call, handle string) bool {
	named := resp.Header.Get(HeaderCall)
	if named == handle {
		d.echoing.Store(c.Service, true)
		return false
	}
	_, names := d.echoing.Load(c.Service)
	return named != "" || names
}

// ProvesNotRun implements Dialect. A call that asked for a sub-call did run: its server may
// only pass on what it was told below.
func (*NativeDialect) ProvesNotRun(resp *http.Response, called bool) (notRun, moved bool) {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(HeaderOutcome) == string(call.NotRun) &&
		!called, false
}

// ReportedLoad implements Dialect.
func (*NativeDialect) ReportedLoad(*http.Response) (Load, bool) { return Load{}, false }

// Traits implements Dialect.
func (*NativeDialect) Traits() Traits { return Traits{} }

// CanForward implements Dialect.
func (*NativeDialect) CanForward(*http.Response, *call.Call) bool { return true }
