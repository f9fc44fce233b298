package gossip

import (
	"container/list"
	"math/bits"
)

// retransmitFactor times the logarithm of the fleet's size is how often one node passes
// on one change.
const retransmitFactor = 1

// changeQueue holds the changes that this node still passes on: those sent least often
// first, and among these the most recent.
type changeQueue struct {
	elements map[string]*list.Element
	// bySendCount holds the changes by how often they were sent.
	bySendCount []*list.List
}

type queuedChange struct {
	id   string
	sendCount int
}

func newChangeQueue() *changeQueue { return &changeQueue{elements: map[string]*list.Element{}} }

// retransmitLimit returns how often a change is passed on in a fleet of n.
func retransmitLimit(n int) int { return retransmitFactor * (bits.Len(uint(n)) + 1) }

func (q *changeQueue) len() int { return len(q.elements) }

// add queues a change anew; an earlier change of the same member is replaced.
func (q *changeQueue) add(id string) {
	q.remove(id)
	q.elements[id] = q.sendList(0).PushFront(queuedChange{id: id})
}

func (q *changeQueue) remove(id string) {
	e := q.elements[id]
	if e == nil {
		return
	}
	q.sendList(e.Value.(queuedChange).sendCount).Remove(e)
	delete(q.elements, id)
}

// take returns changes whose sizes together stay within budget bytes, and counts
// them as sent once more; those sent limit times are forgotten.
func (q *changeQueue) take(budget, limit int, size func(id string) int) []string {
	var out []queuedChange
	for _, l := range q.bySendCount {
		for e := l.Front(); e != nil; e = e.Next() {
			x := e.Value.(queuedChange)
			n := size(x.id)
			if n > budget {
				return q.markSent(out, limit)
			}
			budget -= n
			out = append(out, x)
		}
	}
	return q.markSent(out, limit)
}

func (q *changeQueue) markSent(taken []queuedChange, limit int) []string {
	ids := make([]string, len(taken))
	for i, x := range taken {
		ids[i] = x.id
		q.remove(x.id)
		if x.sendCount++; x.sendCount < limit {
			q.elements[x.id] = q.sendList(x.sendCount).PushBack(x)
		}
	}
	return ids
}

func (q *changeQueue) sendList(n int) *list.List {
	for len(q.bySendCount) <= n {
		q.bySendCount = append(q.bySendCount, list.New())
	}
	return q.bySendCount[n]
}
