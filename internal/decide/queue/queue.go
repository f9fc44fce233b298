// Package queue orders the calls that wait for a slot at an endpoint: by priority, then
// sub-calls of requests in progress before new requests, then fairly by client account.
// It does no I/O and is not safe for concurrent use.
package queue

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// numClasses is the number of classes: for each priority one for new requests and one
// for sub-calls.
const numClasses = 2 * int(call.NumPriorities)

// maxFreeFlows is the maximum number of flows kept for reuse.
const maxFreeFlows = 64

// Item is one waiting call. It may be reused once it has left the queue.
type Item struct {
	Priority call.Priority
	Account  string
	// Depth is 0 for a new request and greater for its sub-calls.
	Depth int
	// Spent is the service time that the request has already used.
	Spent    time.Duration
	Deadline clock.Time
	// Arrived is when the call was queued. The queue does not use it.
	Arrived clock.Time
	// Owner is the caller's record of the call. The queue does not use it.
	Owner any

	flow       *flow
	prev, next *Item
}

// Waiting reports whether the item is in a queue.
func (it *Item) Waiting() bool { return it.flow != nil }

// class returns the item's class; a higher one is served first. Critical calls are above
// all others, below them sub-calls are above new requests, and each of these groups is
// ordered by priority.
func (it *Item) class() int {
	isSubCall := it.Depth > 0
	switch {
	case it.Priority == call.Critical && isSubCall:
		return numClasses - 1
	case it.Priority == call.Critical:
		return numClasses - 2
	case isSubCall:
		return int(call.Critical) + int(it.Priority)
	}
	return int(it.Priority)
}

// flow holds one account's items of a class, those with the most time spent first.
type flow struct {
	account    string
	class      *class
	head, tail *Item
	len        int
	// prev and next link the class's ring of flows, which are served round-robin.
	prev, next *flow
}

type class struct {
	flows map[string]*flow
	// nextFlow is the flow to be served next, nil if the class is empty.
	nextFlow *flow
	len      int
}

// Queue holds waiting calls. Its zero value is an empty queue ready to use.
type Queue struct {
	classes   [numClasses]class
	len       int
	freeFlows []*flow
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.len }

// Push adds an item, which must not be in a queue already.
func (q *Queue) Push(it *Item) {
	c := &q.classes[it.class()]
	f := c.flows[it.Account]
	if f == nil {
		f = q.addFlow(c, it.Account)
	}
	f.insert(it)
	c.len++
	q.len++
}

// Pop removes and returns the next item to run; nil if the queue is empty.
func (q *Queue) Pop() *Item {
	for i := numClasses - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.nextFlow == nil {
			continue
		}
		f := c.nextFlow
		c.nextFlow = f.next
		it := f.head
		q.Remove(it)
		return it
	}
	return nil
}

// PopLast removes and returns the item that is the least important to run; nil if the queue is
// empty.
func (q *Queue) PopLast() *Item {
	for i := range q.classes {
		if c := &q.classes[i]; c.len > 0 {
			return q.removeTail(c.longestFlow())
		}
	}
	return nil
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue) Remove(it *Item) bool {
	f := it.flow
	if f == nil {
		return false
	}
	f.remove(it)
	f.class.len--
	q.len--
	if f.len == 0 {
		q.removeFlow(f)
	}
	return true
}

// Evict removes and returns the item that must make room for newcomer: one of the lowest
// nonempty class below it, or else one of its own class whose account has more items
// waiting there than newcomer's would have. It returns nil if there is no such item.
func (q *Queue) Evict(newcomer *Item) *Item {
	own := newcomer.class()
	for i := 0; i < own; i++ {
		if c := &q.classes[i]; c.len > 0 {
			return q.removeTail(c.longestFlow())
		}
	}
	c := &q.classes[own]
	f := c.longestFlow()
	if f == nil || f.account == newcomer.Account {
		return nil
	}
	waiting := 0
	if ownFlow := c.flows[newcomer.Account]; ownFlow != nil {
		waiting = ownFlow.len
	}
	if f.len <= waiting+1 {
		return nil
	}
	return q.removeTail(f)
}

func (q *Queue) removeTail(f *flow) *Item {
	it := f.tail
	q.Remove(it)
	return it
}

// longestFlow returns the flow with the most items, nil if the class is empty.
func (c *class) longestFlow() *flow {
	longest := c.nextFlow
	if longest == nil {
		return nil
	}
	for f := c.nextFlow.next; f != c.nextFlow; f = f.next {
		if f.len > longest.len {
			longest = f
		}
	}
	return longest
}

// addFlow adds a flow that is served after all others of its class.
func (q *Queue) addFlow(c *class, account string) *flow {
	f := q.newFlow()
	f.account, f.class = account, c
	if c.flows == nil {
		c.flows = map[string]*flow{}
	}
	c.flows[account] = f
	if c.nextFlow == nil {
		c.nextFlow, f.prev, f.next = f, f, f
		return f
	}
	last := c.nextFlow.prev
	last.next, f.prev = f, last
	f.next, c.nextFlow.prev = c.nextFlow, f
	return f
}

// newFlow returns an empty flow, a reused one if possible.
func (q *Queue) newFlow() *flow {
	n := len(q.freeFlows)
	if n == 0 {
		return &flow{}
	}
	f := q.freeFlows[n-1]
	q.freeFlows = q.freeFlows[:n-1]
	return f
}

func (q *Queue) removeFlow(f *flow) {
	c := f.class
	delete(c.flows, f.account)
	if f.next == f {
		c.nextFlow = nil
	} else {
		f.prev.next, f.next.prev = f.next, f.prev
		if c.nextFlow == f {
			c.nextFlow = f.next
		}
	}
	*f = flow{}
	if len(q.freeFlows) < maxFreeFlows {
		q.freeFlows = append(q.freeFlows, f)
	}
}

// insert keeps the order: most time spent first, in order of arrival among equals.
func (f *flow) insert(it *Item) {
	after := f.tail
	for after != nil && after.Spent < it.Spent {
		after = after.prev
	}
	it.flow, it.prev = f, after
	if after == nil {
		it.next, f.head = f.head, it
	} else {
		it.next, after.next = after.next, it
	}
	if it.next == nil {
		f.tail = it
	} else {
		it.next.prev = it
	}
	f.len++
}

func (f *flow) remove(it *Item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.flow, it.prev, it.next = nil, nil, nil
	f.len--
}
