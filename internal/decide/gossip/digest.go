package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// Buckets is the number of parts in which two nodes compare their tables.
const Buckets = 256

// digest summarizes the usable members, so that equal tables have equal digests.
// Dead and left ones are not in it: their records end at each node's own time.
type digest struct {
	buckets [Buckets]uint64
	total   uint64
	ids     [Buckets]map[string]bool
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// recordHash is the same at all nodes that know the same version of a usable member.
func recordHash(m *table.Member) uint64 {
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], m.Incarnation)
	binary.LittleEndian.PutUint64(version[8:], m.Sequence)
	h := xxhash.New()
	_, _ = h.WriteString(m.ID)
	_, _ = h.Write(version[:])
	return h.Sum64()
}

// update replaces a record by another; either may be nil.
func (d *digest) update(old, m *table.Member) {
	if old != nil {
		d.toggle(old)
		if m == nil {
			delete(d.ids[bucketOf(old.ID)], old.ID)
		}
	}
	if m != nil {
		d.toggle(m)
		b := bucketOf(m.ID)
		if d.ids[b] == nil {
			d.ids[b] = map[string]bool{}
		}
		d.ids[b][m.ID] = true
	}
}

func (d *digest) toggle(m *table.Member) {
	if !m.Usable() {
		return
	}
	h := recordHash(m)
	d.buckets[bucketOf(m.ID)] ^= h
	d.total ^= h
}
