package settingsync

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// memberSnapshot is a snapshot of the member table.
type memberSnapshot struct {
	// changes is the table's change counter at the time of the snapshot.
	changes uint64
	// members are the members that count for majorities: all that have not left,
	// including dead ones.
	members []table.Member
	// alivePeers are the members that are neither dead nor left, without this node.
	alivePeers []table.Member
	// leftCount is the number of members in the table that have left.
	leftCount int
	// aliveInDomain is the number of alive members of this node's failure domain, this
	// node included.
	aliveInDomain int
}

// memberCache caches a snapshot until the member table changes. It is safe for concurrent
// use.
type memberCache struct {
	selfID string
	domain string
	table  *table.Members

	mu     sync.Mutex
	cached *memberSnapshot
}

// get returns the snapshot of the table's current state. It is shared and must not be
// modified.
func (c *memberCache) get() *memberSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.table.Changes()
	if c.cached == nil || c.cached.changes != changes {
		c.cached = c.build(changes)
	}
	return c.cached
}

func (c *memberCache) build(changes uint64) *memberSnapshot {
	out := &memberSnapshot{changes: changes}
	for _, m := range c.table.All() {
		if m.State == table.Left {
			out.leftCount++
			continue
		}
		out.members = append(out.members, m)
		if m.State == table.Dead {
			continue
		}
		if m.Domain == c.domain {
			out.aliveInDomain++
		}
		if m.ID != c.selfID {
			out.alivePeers = append(out.alivePeers, m)
		}
	}
	return out
}

// sampleAddresses returns the addresses of up to n distinct random members of alivePeers.
func (s *memberSnapshot) sampleAddresses(n int) []string {
	n = min(n, len(s.alivePeers))
	out := make([]string, 0, n)
	seen := make(map[int]bool, n)
	for len(out) < n {
		i := rand.IntN(len(s.alivePeers))
		if !seen[i] {
			seen[i] = true
			out = append(out, s.alivePeers[i].Address)
		}
	}
	return out
}

// membersInRange returns the members of the range index out of ranges. The hash of its
// ID assigns each member to exactly one range.
func (s *memberSnapshot) membersInRange(index, ranges int) []table.Member {
	if ranges <= 1 {
		return s.members
	}
	var out []table.Member
	for _, m := range s.members {
		if int(xxhash.Sum64String(m.ID)%uint64(ranges)) == index {
			out = append(out, m)
		}
	}
	return out
}
