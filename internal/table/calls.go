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
	callShards  = 32
	handleBytes = 18
)

// Running is a call that a local backend server is working on.
type Running struct {
	Call *call.Call
	// Ctx ends with the call; its sub-calls end with it.
	Ctx context.Context
	// Begun is when the call began to run.
	Begun clock.Time

	mu     sync.Mutex
	left   int
	ended  bool
	below  Below
	levels shed.ServiceLevels
}

// Below is what became of a call's sub-calls.
type Below struct {
	// Called is set once a sub-call was asked for.
	Called bool
	// Overloaded is set when one was refused for overload.
	Overloaded bool
	// Failed is set when one came to a failure or an answer with a 5xx status.
	Failed bool
}

// TakeAllowance takes part of the retries left, for one sub-call. It refuses once
// the call has ended.
func (r *Running) TakeAllowance() (int, *call.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0, call.Refuse(call.HandleUnknown, "the call of this handle has ended")
	}
	take := (r.left + 1) / 2
	r.left -= take
	return take, nil
}

// ReturnAllowance gives back retries that a sub-call did not use.
func (r *Running) ReturnAllowance(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left += n
}

// MarkSubCall records that a sub-call was asked for.
func (r *Running) MarkSubCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.below.Called = true
}

// Below returns what became of the sub-calls so far.
func (r *Running) Below() Below {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.below
}

// Tie makes c a sub-call of r: its priority is that of the request that r is part of.
func (r *Running) Tie(c *call.Call, now clock.Time) {
	c.Priority = r.Call.Priority
	c.Depth = r.Call.Depth + 1
	c.Spent = r.Call.Spent + now.Sub(r.Begun)
}

// Conclude takes in what a sub-call to a service came to.
func (r *Running) Conclude(service string, x *call.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.below.Overloaded = r.below.Overloaded || x.Overloaded
	r.below.Failed = r.below.Failed || x.Failed()
	if x.Feedback != nil {
		r.levels.Record(service, *x.Feedback)
	}
}

// Tightest returns f with the admission level of the sub-calls' services where that
// admits less.
func (r *Running) Tightest(f *call.Feedback) *call.Feedback {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.levels.Tightest(*f)
	return &out
}

// End ends the call and returns the retries left and what became of its sub-calls.
func (r *Running) End() (left int, below Below) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left, r.left = r.left, 0
	r.ended = true
	return left, r.below
}

// Calls maps the handles given to local backend servers to their running calls.
// It is safe for concurrent use.
type Calls struct {
	shards [callShards]callShard
	tags   tags
	// untied is what became of sub-calls that nothing ties to their calls.
	untied untied
}

// untied is the latest failure that a sub-call of this VM met.
type untied struct {
	mu     sync.Mutex
	failed clock.Time
}

// NoteUntied takes in that a sub-call failed which nothing ties to its call.
func (c *Calls) NoteUntied(now clock.Time) {
	c.untied.mu.Lock()
	defer c.untied.mu.Unlock()
	c.untied.failed = now
}

// UntiedFailed reports whether a sub-call of this VM failed since a time.
func (c *Calls) UntiedFailed(since clock.Time) bool {
	c.untied.mu.Lock()
	defer c.untied.mu.Unlock()
	return c.untied.failed != 0 && !c.untied.failed.Before(since)
}

type callShard struct {
	mu   sync.Mutex
	rows map[string]*Running
}

// NewCalls returns an empty table.
func NewCalls() *Calls {
	c := &Calls{}
	for i := range c.shards {
		c.shards[i].rows = map[string]*Running{}
	}
	return c
}

// Open adds a call that begins to run and returns its handle, which cannot be guessed.
func (c *Calls) Open(ctx context.Context, cl *call.Call, begun clock.Time) (string, *Running) {
	raw := make([]byte, handleBytes)
	_, _ = rand.Read(raw)
	handle := base64.RawURLEncoding.EncodeToString(raw)
	r := &Running{Call: cl, Ctx: ctx, Begun: begun, left: cl.Allowance}
	s := c.shard(handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[handle] = r
	c.tags.add(r)
	return handle, r
}

// Get returns the running call of a handle, or nil.
func (c *Calls) Get(handle string) *Running {
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
		c.tags.drop(r)
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
	return &c.shards[handle[0]%callShards]
}
