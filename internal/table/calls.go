// Package table holds a node's entities in tables: members, endpoints, running
// calls. Systems read and change them; the tables themselves decide nothing.
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
	numCallShards  = 32
	handleBytes = 18
)

// RunningCall is a call that a local backend server is working on.
type RunningCall struct {
	Call *call.Call
	// Ctx ends with the call; its sub-calls end with it.
	Ctx context.Context
	// Started is when the call began to run.
	Started clock.Time

	mu     sync.Mutex
	retriesLeft   int
	ended  bool
	subCalls  SubCallSummary
	admissionLevels shed.ServiceLevels
}

// SubCallSummary is what became of a call's sub-calls.
type SubCallSummary struct {
	// Requested is set once a sub-call was asked for.
	Requested bool
	// Overloaded is set when one was refused for overload.
	Overloaded bool
	// Failed is set when one came to a failure or an answer with a 5xx status.
	Failed bool
}

// TakeRetryAllowance takes part of the retries left, for one sub-call. It refuses once
// the call has ended.
func (r *RunningCall) TakeRetryAllowance() (int, *call.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0, call.NewRefusal(call.HandleUnknown, "the call of this handle has ended")
	}
	take := (r.retriesLeft + 1) / 2
	r.retriesLeft -= take
	return take, nil
}

// ReturnRetryAllowance gives back retries that a sub-call did not use.
func (r *RunningCall) ReturnRetryAllowance(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retriesLeft += n
}

// MarkSubCallRequested records that a sub-call was asked for.
func (r *RunningCall) MarkSubCallRequested() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subCalls.Requested = true
}

// SubCalls returns what became of the sub-calls so far.
func (r *RunningCall) SubCalls() SubCallSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.subCalls
}

// InitSubCall makes c a sub-call of r: its priority is that of the request that r is part of.
func (r *RunningCall) InitSubCall(c *call.Call, now clock.Time) {
	c.Priority = r.Call.Priority
	c.Depth = r.Call.Depth + 1
	c.ServiceTimeUsed = r.Call.ServiceTimeUsed + now.Sub(r.Started)
}

// RecordSubCallResult takes in what a sub-call to a service came to.
func (r *RunningCall) RecordSubCallResult(service string, x *call.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subCalls.Overloaded = r.subCalls.Overloaded || x.Overloaded
	r.subCalls.Failed = r.subCalls.Failed || x.Failed()
	if x.Feedback != nil {
		r.admissionLevels.Record(service, *x.Feedback)
	}
}

// StrictestFeedback returns f with the admission level of the sub-calls' services where that
// admits less.
func (r *RunningCall) StrictestFeedback(f *call.Feedback) *call.Feedback {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.admissionLevels.Tightest(*f)
	return &out
}

// End ends the call and returns the retries left and what became of its sub-calls.
func (r *RunningCall) End() (left int, below SubCallSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left, r.retriesLeft = r.retriesLeft, 0
	r.ended = true
	return left, r.subCalls
}

// Calls maps the handles given to local backend servers to their running calls.
// It is safe for concurrent use.
type Calls struct {
	shards [numCallShards]callShard
	byRequestID   requestIDIndex
	// unattributed is what became of sub-calls that nothing ties to their calls.
	unattributed unattributedFailure
}

// unattributedFailure is the latest failure that a sub-call of this VM met.
type unattributedFailure struct {
	mu     sync.Mutex
	latest clock.Time
}

// RecordUnattributedFailure takes in that a sub-call failed which nothing ties to its call.
func (c *Calls) RecordUnattributedFailure(now clock.Time) {
	c.unattributed.mu.Lock()
	defer c.unattributed.mu.Unlock()
	c.unattributed.latest = now
}

// UnattributedFailureSince reports whether a sub-call of this VM failed since a time.
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

// Open adds a call that begins to run and returns its handle, which cannot be guessed.
func (c *Calls) Open(ctx context.Context, cl *call.Call, begun clock.Time) (string, *RunningCall) {
	raw := make([]byte, handleBytes)
	_, _ = rand.Read(raw)
	handle := base64.RawURLEncoding.EncodeToString(raw)
	r := &RunningCall{Call: cl, Ctx: ctx, Started: begun, retriesLeft: cl.RetryAllowance}
	s := c.shard(handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[handle] = r
	c.byRequestID.add(r)
	return handle, r
}

// Get returns the running call of a handle, or nil.
func (c *Calls) Get(handle string) *RunningCall {
	s := c.shard(handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[handle]
}

// Close ends a handle.
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
