package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// BucketCount is the number of parts in which two nodes compare their tables.
const BucketCount = 256

// digest summarizes the usable members, so that equal tables have equal digests.
// Dead and left ones are not in it: their records end at each node's own time.
type digest struct {
	bucketHashes [BucketCount]uint64
	total   uint64
	// bucketIDs holds each bucket's members in order, gone ones included.
	bucketIDs [BucketCount][]string
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % BucketCount) }

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
	}
	if m != nil {
		d.toggle(m)
	}
	switch {
	case old == nil && m != nil:
		d.setListed(m.ID, true)
	case old != nil && m == nil:
		d.setListed(old.ID, false)
	}
}

// setListed puts a member into its bucket or takes it out.
func (d *digest) setListed(id string, in bool) {
	ids := &d.bucketIDs[bucketOf(id)]
	at, there := slices.BinarySearch(*ids, id)
	switch {
	case in && !there:
		*ids = slices.Insert(*ids, at, id)
	case !in && there:
		*ids = slices.Delete(*ids, at, at+1)
	}
}

func (d *digest) toggle(m *table.Member) {
	if !m.Usable() {
		return
	}
	h := recordHash(m)
	d.bucketHashes[bucketOf(m.ID)] ^= h
	d.total ^= h
}
