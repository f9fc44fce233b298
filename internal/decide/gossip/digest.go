package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// BucketCount is the number of hash buckets by which two nodes compare their tables.
const BucketCount = 256

// digest summarizes the usable members, so that equal tables have equal digests. Dead and
// left members are excluded, since each node removes their records at a different time.
type digest struct {
	// bucketHashes holds the XOR of the record hashes in each bucket, and total that of
	// all.
	bucketHashes [BucketCount]uint64
	total        uint64
	// bucketIDs holds the sorted IDs of each bucket's members, dead and left ones
	// included.
	bucketIDs [BucketCount][]string
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % BucketCount) }

// recordHash hashes a member's ID and the version of its record, so that it is equal at
// all nodes that have the same version.
func recordHash(m *table.Member) uint64 {
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], m.Incarnation)
	binary.LittleEndian.PutUint64(version[8:], m.Sequence)
	h := xxhash.New()
	_, _ = h.WriteString(m.ID)
	_, _ = h.Write(version[:])
	return h.Sum64()
}

// update replaces the record old by m. A nil old adds a record, a nil m removes one.
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

// setListed adds a member's ID to its bucket or removes it.
func (d *digest) setListed(id string, present bool) {
	ids := &d.bucketIDs[bucketOf(id)]
	i, found := slices.BinarySearch(*ids, id)
	switch {
	case present && !found:
		*ids = slices.Insert(*ids, i, id)
	case !present && found:
		*ids = slices.Delete(*ids, i, i+1)
	}
}

// toggle adds a usable member's record to the digest, or removes it if it was added
// before. It ignores the records of dead and left members.
func (d *digest) toggle(m *table.Member) {
	if !m.Usable() {
		return
	}
	h := recordHash(m)
	d.bucketHashes[bucketOf(m.ID)] ^= h
	d.total ^= h
}
