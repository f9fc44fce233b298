package gossip

import "comfreycart.dev/comfreycart/internal/table"

// Target is a node to send a message to.
type Target struct {
	// ID is empty for a contact, of which only the address is known.
	ID      string
	Address string
}

// Message is the payload of both requests and replies between two nodes.
type Message struct {
	// From is the sender's own record.
	From table.Member
	// Members holds changed records. The reply to a comparison also has all records of
	// the Compared buckets.
	Members []table.Member
	// Digest is the digest of the sender's usable members.
	Digest uint64
	// BucketDigests holds the digest of each bucket. It is set only in the request for a
	// comparison.
	BucketDigests []uint64
	// Joining is set by a node that has not yet joined and asks for a larger reply to
	// its comparison.
	Joining bool
	// Compared lists the differing buckets whose records the reply has.
	Compared []int
	// More reports that further buckets differ.
	More bool
}
