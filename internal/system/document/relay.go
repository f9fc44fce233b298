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
	// minReaders is how many members of a failure domain watch the platform, so that one
	// may be lost; one more does for each membersPerReader, so that answering the others
	// stays a small part of a reader's processor time.
	minReaders       = 2
	membersPerReader = 50
	// relayInterval is the time between two questions to a reader; with it a change is
	// in force in the domain well within the shortest bound.
	relayInterval = 600 * time.Millisecond
	// relayTimeout bounds one question within the failure domain.
	relayTimeout = 250 * time.Millisecond
	// maxRelayAge is the age of a reader's settings from which the platform is asked.
	maxRelayAge = 2 * time.Second
)

// Peers asks other nodes. It is safe for concurrent use.
type Peers interface {
	Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error)
}

// pollReaders asks one of the domain's readers, where this node is none. It reports
// false if the platform is to be asked: before the first settings, by readers, and while
// no reader has a fresh answer.
func (f *Follower) pollReaders(ctx context.Context) bool {
	readers, reads := f.domainReaders()
	f.mu.Lock()
	known := f.latestRow.Version
	f.mu.Unlock()
	if reads || known == 0 || len(readers) == 0 {
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

// domainReaders returns the members of this node's domain that watch the platform, and whether
// this node is one of them.
func (f *Follower) domainReaders() ([]table.Member, bool) {
	all := f.members.UsableOldestFirst(f.Domain)
	readers := all[:min(len(all), max(minReaders, len(all)/membersPerReader))]
	for _, m := range readers {
		if m.ID == f.ID {
			return nil, true
		}
	}
	return readers, false
}

// pollReader reports whether a reader gave a fresh answer. Its age counts from before this
// node asked.
func (f *Follower) pollReader(ctx context.Context, m table.Member, known uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	f.readerRequests.Inc()
	asked := f.clock.Now()
	reply, err := f.peers.Follow(ctx, m.Address, &peerpb.FollowRequest{Row: known})
	if err != nil {
		f.log.Debug().Err(err).Str("reader", m.ID).Msg("settings not told by a reader")
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
	f.recordConfirmation(reply.Row, asked.Add(-age))
	return true
}

// maxReportedAgeUs bounds the age that a reader may claim, in microseconds: an hour.
const maxReportedAgeUs = 3600 * 1000 * 1000

// HandleFollow implements peer.DocumentSource.
func (f *Follower) HandleFollow(_ context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	// The confirmation is read first: it then holds for the row, or for an older one.
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
