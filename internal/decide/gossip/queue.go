package gossip

import (
	"container/list"
	"math/bits"
)

// retransmitFactor, times about the binary logarithm of the number of members, is how many
// times one node sends one change.
const retransmitFactor = 1

// changeQueue holds the members whose changes this node still passes on. Those sent least
// often come first, and among changes not yet sent the most recent.
type changeQueue struct {
	// elements finds a member's element in its list.
	elements map[string]*list.Element
	// bySendCount holds one list of queued changes per number of times sent.
	bySendCount []*list.List
}

// queuedChange is a change waiting to be sent; the record itself is in the table of
// members.
type queuedChange struct {
	id        string
	sendCount int
}

func newChangeQueue() *changeQueue { return &changeQueue{elements: map[string]*list.Element{}} }

// retransmitLimit returns how many times a node sends one change.
func retransmitLimit(members int) int { return retransmitFactor * (bits.Len(uint(members)) + 1) }

func (q *changeQueue) len() int { return len(q.elements) }

// add queues a member's change as not yet sent, in place of an earlier change of the
// same member.
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

// take returns the IDs of queued changes whose sizes together stay within budget bytes
// and counts them as sent. A change that has been sent limit times is removed.
func (q *changeQueue) take(budget, limit int, size func(id string) int) []string {
	var out []queuedChange
	for _, l := range q.bySendCount {
		for e := l.Front(); e != nil; e = e.Next() {
			change := e.Value.(queuedChange)
			n := size(change.id)
			if n > budget {
				return q.markSent(out, limit)
			}
			budget -= n
			out = append(out, change)
		}
	}
	return q.markSent(out, limit)
}

// markSent counts changes as sent once more and returns the IDs of their members.
func (q *changeQueue) markSent(taken []queuedChange, limit int) []string {
	ids := make([]string, len(taken))
	for i, change := range taken {
		ids[i] = change.id
		q.remove(change.id)
		if change.sendCount++; change.sendCount < limit {
			q.elements[change.id] = q.sendList(change.sendCount).PushBack(change)
		}
	}
	return ids
}

// sendList returns the list of the changes that were sent the given number of times.
func (q *changeQueue) sendList(sent int) *list.List {
	for len(q.bySendCount) <= sent {
		q.bySendCount = append(q.bySendCount, list.New())
	}
	return q.bySendCount[sent]
}
