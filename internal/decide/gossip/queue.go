package gossip

import (
	"container/list"
	"math/bits"
)

// resendFactor times the logarithm of the fleet's size is how often one node passes
// on one change.
const resendFactor = 2

// queue holds the changes that this node still passes on: those sent least often
// first, and among these the most recent.
type queue struct {
	rows map[string]*list.Element
	// levels holds the changes by how often they were sent.
	levels []*list.List
}

type queued struct {
	id   string
	sent int
}

func newQueue() *queue { return &queue{rows: map[string]*list.Element{}} }

// resends returns how often a change is passed on in a fleet of n.
func resends(n int) int { return resendFactor * (bits.Len(uint(n)) + 1) }

func (q *queue) len() int { return len(q.rows) }

// push queues a change anew; an earlier change of the same member is replaced.
func (q *queue) push(id string) {
	q.drop(id)
	q.rows[id] = q.level(0).PushFront(queued{id: id})
}

func (q *queue) drop(id string) {
	e := q.rows[id]
	if e == nil {
		return
	}
	q.level(e.Value.(queued).sent).Remove(e)
	delete(q.rows, id)
}

// take returns changes whose sizes together stay within budget bytes, and counts
// them as sent once more; those sent limit times are forgotten.
func (q *queue) take(budget, limit int, size func(id string) int) []string {
	var out []queued
	for _, l := range q.levels {
		for e := l.Front(); e != nil; e = e.Next() {
			x := e.Value.(queued)
			n := size(x.id)
			if n > budget {
				return q.count(out, limit)
			}
			budget -= n
			out = append(out, x)
		}
	}
	return q.count(out, limit)
}

func (q *queue) count(taken []queued, limit int) []string {
	ids := make([]string, len(taken))
	for i, x := range taken {
		ids[i] = x.id
		q.drop(x.id)
		if x.sent++; x.sent < limit {
			q.rows[x.id] = q.level(x.sent).PushBack(x)
		}
	}
	return ids
}

func (q *queue) level(n int) *list.List {
	for len(q.levels) <= n {
		q.levels = append(q.levels, list.New())
	}
	return q.levels[n]
}
