package settingsync

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// fleet is a snapshot of the members that count for majorities: all that have not
// left, dead ones included.
type fleet struct {
	changes uint64
	members []table.Member
	// alive are the members to ask, this node left out.
	alive []table.Member
	// left is the number of members that have left and are still known.
	left int
	// domain is the number of alive members of this node's failure domain.
	domain int
}

// fleetCache keeps the snapshot until the table changes. It is safe for concurrent use.
type fleetCache struct {
	self    string
	domain  string
	members *table.Members

	mu   sync.Mutex
	last *fleet
}

func (c *fleetCache) get() *fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.members.Changes()
	if c.last == nil || c.last.changes != changes {
		c.last = c.read(changes)
	}
	return c.last
}

func (c *fleetCache) read(changes uint64) *fleet {
	out := &fleet{changes: changes}
	for _, m := range c.members.All() {
		if m.State == table.Left {
			out.left++
			continue
		}
		out.members = append(out.members, m)
		if m.State == table.Dead {
			continue
		}
		if m.Domain == c.domain {
			out.domain++
		}
		if m.ID != c.self {
			out.alive = append(out.alive, m)
		}
	}
	return out
}

// sample returns up to n addresses of different alive members.
func (f *fleet) sample(n int) []string {
	n = min(n, len(f.alive))
	out := make([]string, 0, n)
	seen := make(map[int]bool, n)
	for len(out) < n {
		i := rand.IntN(len(f.alive))
		if !seen[i] {
			seen[i] = true
			out = append(out, f.alive[i].Address)
		}
	}
	return out
}

// inRange returns the members of one range out of ranges. Each member is in one.
func (f *fleet) inRange(index, ranges int) []table.Member {
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
