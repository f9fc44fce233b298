// Package table holds a node's in-memory state: the known nodes, the endpoints that
// calls can be sent to, this VM's backend servers, and the running calls. It stores and
// indexes this state; the decisions based on it are made by the packages that use it.
package table

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"sync"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/shed"
)

const (
	numCallShards = 32
	handleBytes   = 18
)

// RunningCall is a call that a local backend server is processing.
type RunningCall struct {
	Call *call.Call
	// Ctx is done when the call ends, which also cancels its sub-calls.
	Ctx context.Context
	// Started is when the call was handed to the backend server.
	Started clock.Time

	mu              sync.Mutex
	retriesLeft     int
	ended           bool
	subCalls        SubCallSummary
	admissionLevels shed.ServiceLevels
}

// SubCallSummary summarizes the results of a call's sub-calls.
type SubCallSummary struct {
	// Requested is set once the call has requested a sub-call.
	Requested bool
	// Overloaded is set if a sub-call was refused for overload.
	Overloaded bool
	// Failed is set if a sub-call ended with a failure or with a 5xx answer.
	Failed bool
}

// TakeRetryAllowance takes half of the remaining retries, rounded up, for one sub-call.
// It fails with HandleUnknown once the call has ended.
func (r *RunningCall) TakeRetryAllowance() (int, *call.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0, call.NewRefusal(call.HandleUnknown, "the call of this handle has ended")
	}
	taken := (r.retriesLeft + 1) / 2
	r.retriesLeft -= taken
	return taken, nil
}

// ReturnRetryAllowance returns the retries that a sub-call did not use.
func (r *RunningCall) ReturnRetryAllowance(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retriesLeft += n
}

// MarkSubCallRequested records that the call has requested a sub-call.
func (r *RunningCall) MarkSubCallRequested() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subCalls.Requested = true
}

// SubCalls returns the summary of the sub-calls so far.
func (r *RunningCall) SubCalls() SubCallSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.subCalls
}

// InitSubCall sets the fields that c has as a sub-call of r: the priority of the request
// that r is part of, the depth, and the service time already used.
func (r *RunningCall) InitSubCall(c *call.Call, now clock.Time) {
	c.Priority = r.Call.Priority
	c.Depth = r.Call.Depth + 1
	c.ServiceTimeUsed = r.Call.ServiceTimeUsed + now.Sub(r.Started)
}

// RecordSubCallResult records the result of a sub-call to a service.
func (r *RunningCall) RecordSubCallResult(service string, result *call.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subCalls.Overloaded = r.subCalls.Overloaded || result.Overloaded
	r.subCalls.Failed = r.subCalls.Failed || result.Failed()
	if result.Feedback != nil {
		r.admissionLevels.Record(service, *result.Feedback)
	}
}

// StrictestFeedback returns f, with its admission level raised to that of the strictest
// service that sub-calls went to.
func (r *RunningCall) StrictestFeedback(f *call.Feedback) *call.Feedback {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.admissionLevels.Tightest(*f)
	return &out
}

// End marks the call as ended and returns the unused retries and the summary of its
// sub-calls.
func (r *RunningCall) End() (unusedRetries int, subCalls SubCallSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unusedRetries, r.retriesLeft = r.retriesLeft, 0
	r.ended = true
	return unusedRetries, r.subCalls
}

// Calls maps handles to running calls. A handle is the random ID under which a call is
// known to the local backend server that runs it. It is safe for concurrent use.
type Calls struct {
	shards      [numCallShards]callShard
	byRequestID requestIDIndex
	// unattributed records failures of sub-calls whose parent call is not known.
	unattributed unattributedFailure
}

// unattributedFailure holds the time of the latest failure of a sub-call of this VM whose
// parent call is not known.
type unattributedFailure struct {
	mu     sync.Mutex
	latest clock.Time
}

// RecordUnattributedFailure records that a sub-call whose parent call is not known has
// failed.
func (c *Calls) RecordUnattributedFailure(now clock.Time) {
	c.unattributed.mu.Lock()
	defer c.unattributed.mu.Unlock()
	c.unattributed.latest = now
}

// UnattributedFailureSince reports whether a sub-call of this VM whose parent call is not
// known has failed at or after the given time.
func (c *Calls) UnattributedFailureSince(since clock.Time) bool {
	c.unattributed.mu.Lock()
	defer c.unattributed.mu.Unlock()
	return c.unattributed.latest != 0 && !c.unattributed.latest.Before(since)
}

type callShard struct {
	mu   sync.Mutex
	rows map[string]*RunningCall
}

// NewCalls returns an empty table.
func NewCalls() *Calls {
	c := &Calls{}
	for i := range c.shards {
		c.shards[i].rows = map[string]*RunningCall{}
	}
	return c
}

// Open adds a call that starts to run and returns its handle, which is random so that it
// cannot be guessed.
func (c *Calls) Open(ctx context.Context, cl *call.Call, started clock.Time) (string, *RunningCall) {
	raw := make([]byte, handleBytes)
	_, _ = rand.Read(raw)
	handle := base64.RawURLEncoding.EncodeToString(raw)
	r := &RunningCall{Call: cl, Ctx: ctx, Started: started, retriesLeft: cl.RetryAllowance}
	s := c.shard(handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[handle] = r
	c.byRequestID.add(r)
	return handle, r
}

// Get returns the running call with the given handle, or nil.
func (c *Calls) Get(handle string) *RunningCall {
	s := c.shard(handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[handle]
}

// Close removes the call with the given handle.
func (c *Calls) Close(handle string) {
	s := c.shard(handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[handle]; r != nil {
		c.byRequestID.remove(r)
	}
	delete(s.rows, handle)
}

// Len returns the number of running calls.
func (c *Calls) Len() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.rows)
		s.mu.Unlock()
	}
	return n
}

func (c *Calls) shard(handle string) *callShard {
	if handle == "" {
		return &c.shards[0]
	}
	return &c.shards[handle[0]%numCallShards]
}
