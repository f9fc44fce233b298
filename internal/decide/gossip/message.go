package gossip

import "comfreycart.dev/comfreycart/internal/table"

// Target is a node to send a message to. ID is empty for a contact of which only
// the address is known.
type Target struct {
	ID      string
	Address string
}

// Message is what two nodes tell each other, as request and as reply.
type Message struct {
	// From is the sender's own record.
	From table.Member
	// Members are changed records, and in the reply to a comparison all records of
	// the Compared buckets.
	Members []table.Member
	// Digest summarizes the sender's usable members.
	Digest uint64
	// BucketDigests are the digests of all parts; only a comparison carries them.
	BucketDigests []uint64
	// Joining asks for a large reply to a comparison.
	Joining bool
	// Compared are the differing buckets whose records the reply carries.
	Compared []int
	// More says that other buckets differ as well.
	More bool
}
