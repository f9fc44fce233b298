package document

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// minReaders is the minimum number of members of a failure domain that watch the
	// platform, so that one of them may fail. Larger domains have one reader for every
	// membersPerReader members, so that answering the other members takes a small part
	// of a reader's CPU time.
	minReaders       = 2
	membersPerReader = 50
	// relayInterval is the time between a node's requests to readers. It is short enough
	// for a change to take effect in the whole domain well within the shortest bound.
	relayInterval = 600 * time.Millisecond
	// relayTimeout bounds one request to a reader, which is in the same failure domain.
	relayTimeout = 250 * time.Millisecond
	// maxRelayAge is the maximum age of a reader's settings. If they are older, the node
	// asks the platform itself.
	maxRelayAge = 2 * time.Second
)

// Peers sends requests to other nodes. It is safe for concurrent use.
type Peers interface {
	// Follow asks the node at address for the document.
	Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error)
}

// pollReaders asks the readers of the failure domain for the document, in random order,
// until one gives a fresh answer, and then waits for relayInterval. It returns false if
// the node has to ask the platform: if it is a reader itself, has no document yet, or gets
// no fresh answer.
func (f *Follower) pollReaders(ctx context.Context) bool {
	readers, isReader := f.domainReaders()
	f.mu.Lock()
	known := f.latestRow.Version
	f.mu.Unlock()
	if isReader || known == 0 || len(readers) == 0 {
		return false
	}
	first := rand.IntN(len(readers))
	for i := range readers {
		if f.pollReader(ctx, readers[(first+i)%len(readers)], known) {
			select {
			case <-ctx.Done():
			case <-time.After(relayInterval):
			}
			return true
		}
	}
	return false
}

// domainReaders returns the members of this node's failure domain that watch the platform:
// those that started first. If this node is one of them, it returns nil and true.
func (f *Follower) domainReaders() ([]table.Member, bool) {
	members := f.members.UsableOldestFirst(f.Domain)
	readers := members[:min(len(members), max(minReaders, len(members)/membersPerReader))]
	for _, m := range readers {
		if m.ID == f.ID {
			return nil, true
		}
	}
	return readers, false
}

// pollReader asks a reader for a newer row than known, applies its answer, and reports
// whether the answer was fresh. The reader's age is added to the time since this node
// sent the request.
func (f *Follower) pollReader(ctx context.Context, reader table.Member, known uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	f.readerRequests.Inc()
	sentAt := f.clock.Now()
	reply, err := f.peers.Follow(ctx, reader.Address, &peerpb.FollowRequest{Row: known})
	if err != nil {
		f.log.Debug().Err(err).Str("reader", reader.ID).Msg("reading the settings from a reader node failed")
		return false
	}
	age := time.Duration(min(reply.AgeUs, maxReportedAgeUs)) * time.Microsecond
	if reply.Row < known || age > maxRelayAge {
		return false
	}
	if reply.Row > known {
		if len(reply.Document) == 0 {
			return false
		}
		f.applyRow(platform.Row{Key: f.RowKey, Value: reply.Document, Version: reply.Row})
	}
	f.recordConfirmation(reply.Row, sentAt.Add(-age))
	return true
}

// maxReportedAgeUs caps the age that a reader reports, in microseconds: one hour.
const maxReportedAgeUs = 3600 * 1000 * 1000

// HandleFollow implements peer.DocumentSource.
func (f *Follower) HandleFollow(_ context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	// The confirmation time is read before the row. The row is then at least as new as the
	// one that was confirmed, so the confirmation is not attributed to an older row.
	confirmed := clock.Time(f.confirmedAt.Load())
	f.mu.Lock()
	row := f.latestRow
	f.mu.Unlock()
	reply := &peerpb.FollowReply{Row: row.Version, AgeUs: uint64(f.clock.Now().Sub(confirmed).Microseconds())}
	if row.Version > req.Row {
		reply.Document = row.Value
	}
	return reply, nil
}
