package document

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// maxWatchers bounds the members of the whole deployment that watch the platform, each in
	// a failure domain of its own, so that the platform's load does not grow with the fleet.
	maxWatchers = 3
	// minReaders is the minimum number of members of a failure domain that follow the
	// watchers, so that one of them may fail. Larger domains have one reader for every
	// membersPerReader members, so that answering the other members takes a small part
	// of a reader's CPU time.
	minReaders       = 2
	membersPerReader = 50
	// readerInterval is the time between a reader's requests to watchers, and relayInterval
	// that between the other members' requests to readers. Together they are short enough for
	// a change to take effect in the whole deployment well within the shortest time that is
	// allowed for that.
	readerInterval = 300 * time.Millisecond
	relayInterval  = 600 * time.Millisecond
	// relayTimeout bounds one request to another node, and pollTimeout the requests of one
	// poll together.
	relayTimeout = 250 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
	// contactTimeout bounds one request to a contact. It is short because all nodes may have
	// started at once, and then no contact has an answer.
	contactTimeout = 100 * time.Millisecond
	// maxContactsAsked bounds the contacts that are asked at the start.
	maxContactsAsked = 2
	// maxRelayAge is the maximum age of another node's settings. If they are older, the node
	// asks the next one or the platform.
	maxRelayAge = 2 * time.Second
)

// Peers sends requests to other nodes. It is safe for concurrent use.
type Peers interface {
	// Follow asks the node at address for the document.
	Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error)
}

// confirmation is the result of asking other nodes for the document.
type confirmation int

const (
	// unanswered means that no node answered.
	unanswered confirmation = iota
	// stale means that a node answered, but none knows whether its settings are current.
	stale
	// fresh means that the settings are confirmed.
	fresh
)

// sources are where a node gets the document from.
type sources struct {
	// watchesPlatform is set for a watcher: it asks the platform first, and other nodes only
	// if that fails. All others ask nodes first.
	watchesPlatform bool
	// groups are the nodes to ask. A group is asked if none of the groups before it has a
	// fresh answer.
	groups [][]table.Member
	// timeout bounds one request to a node, and interval is the time between two polls.
	timeout, interval time.Duration
}

// currentSources returns where this node gets the document from at present: a watcher from the
// platform, a reader from the watchers, and any other member from the readers of its failure
// domain. If these have no fresh settings, which happens if the platform turns some nodes away,
// all of them ask the other watchers and the readers of their domain.
func (f *Follower) currentSources() sources {
	s := sources{timeout: relayTimeout, interval: relayInterval}
	watchers, isWatcher := f.others(f.watchers())
	readers, isReader := f.others(f.domainReaders())
	switch {
	case isWatcher:
		s.watchesPlatform, s.groups = true, [][]table.Member{watchers, readers}
	case isReader:
		s.groups, s.interval = [][]table.Member{watchers, readers}, readerInterval
	case len(readers) > 0:
		s.groups = [][]table.Member{readers, watchers}
	default:
		s.groups, s.timeout = [][]table.Member{f.contactsToAsk()}, contactTimeout
	}
	return s
}

// others returns the members without this node, and whether it was among them.
func (f *Follower) others(members []table.Member) (others []table.Member, isMember bool) {
	for i, m := range members {
		if m.ID == f.ID {
			return slices.Concat(members[:i], members[i+1:]), true
		}
	}
	return members, false
}

// watchers returns the members that watch the platform: the ones that started first in each of
// the first maxWatchers failure domains. All nodes with the same view of the members determine
// the same ones.
func (f *Follower) watchers() []table.Member {
	var watchers []table.Member
	for _, domain := range f.Domains {
		if members := f.members.UsableOldestFirst(domain); len(members) > 0 && len(watchers) < maxWatchers {
			watchers = append(watchers, members[0])
		}
	}
	return watchers
}

// domainReaders returns the members of this node's failure domain that answer the others:
// those that started first.
func (f *Follower) domainReaders() []table.Member {
	members := f.members.UsableOldestFirst(f.Domain)
	return members[:min(len(members), max(minReaders, len(members)/membersPerReader))]
}

// contactsToAsk returns random contacts, as members of which only the address is known.
func (f *Follower) contactsToAsk() []table.Member {
	var contacts []table.Member
	for _, i := range rand.Perm(len(f.Contacts)) {
		if len(contacts) < maxContactsAsked {
			contacts = append(contacts, table.Member{Address: f.Contacts[i]})
		}
	}
	return contacts
}

// pollNodes asks nodes for the document, each group in random order, until one gives a fresh
// answer.
func (f *Follower) pollNodes(ctx context.Context, s sources) confirmation {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	best := unanswered
	for _, group := range s.groups {
		for _, i := range rand.Perm(len(group)) {
			best = max(best, f.pollNode(ctx, group[i], s.timeout))
			if best == fresh {
				return fresh
			}
		}
	}
	return best
}

// pollNode asks a node for a newer document and applies its answer. The age of the node's settings is
// added to the time since this node sent the request.
//
// A node that knows no document yet takes only one that was confirmed after its own start. It is
// then at least as new as all that an earlier process of this node can have known, so that no key
// that was refused before a restart is accepted after it.
func (f *Follower) pollNode(ctx context.Context, node table.Member, timeout time.Duration) confirmation {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.readerRequests.Inc()
	sentAt := f.clock.Now()
	f.mu.Lock()
	req := &peerpb.FollowRequest{Row: uint64(f.known.row.Version), Version: f.known.newest}
	isKnown := f.known.latest != 0
	f.mu.Unlock()
	reply, err := f.peers.Follow(ctx, node.Address, req)
	if err != nil {
		f.log.Debug().Err(err).Str("address", node.Address).Msg("reading the settings from another node failed")
		return unanswered
	}
	f.hear(reply.Version)
	age := time.Duration(min(reply.AgeUs, maxReportedAgeUs)) * time.Microsecond
	confirmed := sentAt.Add(-age)
	if reply.Row == 0 || !isKnown && confirmed.Before(f.startedAt) {
		return stale
	}
	if len(reply.Document) > 0 {
		f.applyRow(platform.Row{Key: f.RowKey, Value: reply.Document, Version: platform.Version(reply.Row)})
	}
	if age > maxRelayAge || !f.confirmFrom(reply, confirmed) {
		return stale
	}
	return fresh
}

// hear records that another node knows a document of the given version.
func (f *Follower) hear(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > f.known.newest && f.known.latest != 0 {
		f.log.Info().Uint64("version", version).Uint64("newest", f.known.newest).Msg("another node knows newer settings")
	}
	f.known.hear(version)
}

// confirmFrom records that another node has confirmed its settings at a time, and reports whether they
// are the installed ones. A later watch at the platform continues after the row that it had then.
func (f *Follower) confirmFrom(reply *peerpb.FollowReply, confirmed clock.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	installed := f.current.View()
	if installed == nil || installed.Version != reply.Version || reply.Version != f.known.newest {
		return false
	}
	f.watchAfter = max(f.watchAfter, platform.Version(reply.Row))
	f.confirm(confirmed)
	f.recordRegained()
	return true
}

// maxReportedAgeUs caps the age that a reader reports, in microseconds, so that its
// conversion to a time.Duration cannot overflow: one hour.
const maxReportedAgeUs = 3600 * 1000 * 1000

// HandleFollow returns the version and the age of this node's settings to another node, and the
// document if it or its row is newer than the requester's. It implements peer.DocumentSource.
func (f *Follower) HandleFollow(_ context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	f.hear(req.Version)
	// The confirmation time is read before the document. The document is then at least as new as
	// the one that was confirmed, so the confirmation is not attributed to an older one.
	confirmed := clock.Time(f.confirmedAt.Load())
	f.mu.Lock()
	row, newest := f.known.row, f.known.newest
	f.mu.Unlock()
	reply := &peerpb.FollowReply{
		Row: uint64(row.Version), Version: newest, AgeUs: uint64(f.clock.Now().Sub(confirmed).Microseconds()),
	}
	if uint64(row.Version) > req.Row || newest > req.Version {
		reply.Document = row.Value
	}
	return reply, nil
}
