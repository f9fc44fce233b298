package settingsync

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// memberSnapshot is a snapshot of the members that count for majorities: all that have not
// left, dead ones included.
type memberSnapshot struct {
	changes uint64
	members []table.Member
	// alivePeers are the members to ask, this node left out.
	alivePeers []table.Member
	// leftCount is the number of members that have left and are still known.
	leftCount int
	// aliveInDomain is the number of alive members of this node's failure domain.
	aliveInDomain int
}

// memberCache keeps the snapshot until the table changes. It is safe for concurrent use.
type memberCache struct {
	selfID    string
	domain  string
	table *table.Members

	mu   sync.Mutex
	cached *memberSnapshot
}

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

// sampleAddresses returns up to n addresses of different alive members.
func (f *memberSnapshot) sampleAddresses(n int) []string {
	n = min(n, len(f.alivePeers))
	out := make([]string, 0, n)
	seen := make(map[int]bool, n)
	for len(out) < n {
		i := rand.IntN(len(f.alivePeers))
		if !seen[i] {
			seen[i] = true
			out = append(out, f.alivePeers[i].Address)
		}
	}
	return out
}

// membersInRange returns the members of one range out of ranges. Each member is in one.
func (f *memberSnapshot) membersInRange(index, ranges int) []table.Member {
	if ranges <= 1 {
		return f.members
	}
	var out []table.Member
	for _, m := range f.members {
		if int(xxhash.Sum64String(m.ID)%uint64(ranges)) == index {
			out = append(out, m)
		}
	}
	return out
}
