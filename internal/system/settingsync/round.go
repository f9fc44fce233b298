package settingsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/decide/evidence"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// confirmTimeout bounds one Confirm call; the called member may pull the version
	// before it answers.
	confirmTimeout = 500 * time.Millisecond
	// gatherTimeout bounds one Gather call, in which a member collects the confirmations
	// of one range.
	gatherTimeout = 800 * time.Millisecond
	// roundTimeout bounds a round. It is less than evidence.MaxStampAge, since a round that
	// takes longer than that proves nothing.
	roundTimeout = 2 * time.Second
	// ensureMajorityTimeout and waitSettledTimeout bound EnsureMajority and WaitSettled,
	// including their retries.
	ensureMajorityTimeout = 3 * time.Second
	waitSettledTimeout    = 5 * time.Second
	// roundRetryDelay is the minimum delay between two attempts of EnsureMajority or
	// WaitSettled. The actual delay is random and less than twice this value.
	roundRetryDelay = 50 * time.Millisecond
)

// errNoMajority means that no majority of the members confirmed a version in time.
var errNoMajority = errors.New("no majority of the members answered")

// runRound asks all members to confirm the installed version and reports whether a
// majority did. It returns as soon as the majority is reached; the other requests go on
// until roundTimeout, also if ctx ends. The majority is counted over at least the Head.Members
// of the installed version, less the members that have left.
func (f *Follower) runRound(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
	context.AfterFunc(ctx, cancel)
	snapshot, started := f.members.get(), f.clock.Now()
	version, floor := f.installedHead()
	tallies := f.confirmAll(ctx, version, snapshot)
	r := evidence.NewQuorumRound(version, started, len(snapshot.members), floor-snapshot.leftCount)
	for tally := range tallies {
		r.Add(tally)
		if stamp, ok := r.Result(f.clock.Now()); ok {
			f.recordMajority(stamp, r.LargestView())
			go f.notify(snapshot.sampleAddresses(evidence.NotifyCount(len(snapshot.members))), version)
			return true
		}
	}
	return false
}

// confirmAll asks all members to confirm a version: directly if they fit into one range,
// otherwise by delegating each range to a member.
func (f *Follower) confirmAll(ctx context.Context, version uint64, snapshot *memberSnapshot) <-chan evidence.Tally {
	ranges := evidence.RangeCount(len(snapshot.members))
	if ranges == 1 {
		return f.confirmMembers(ctx, version, snapshot.members)
	}
	return f.confirmRanges(ctx, version, snapshot, ranges)
}

// installedHead returns the installed version and its Head.Members.
func (f *Follower) installedHead() (version uint64, members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Installed(), f.head.Members
}

// recordMajority records the result of a complete round.
func (f *Follower) recordMajority(stamp evidence.Stamp, largestView int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.largestMemberCount = largestView
	f.state.AddStamp(evidence.Majority, stamp)
	f.state.MarkSettled(stamp.Version, f.clock.Now())
}

// confirmMembers asks the given members directly to confirm a version. The channel is
// closed after the last tally.
func (f *Follower) confirmMembers(ctx context.Context, version uint64, members []table.Member) <-chan evidence.Tally {
	out := make(chan evidence.Tally, len(members))
	return f.collectTallies(out, len(members), func(i int) evidence.Tally {
		return f.confirmMember(ctx, version, members[i])
	})
}

// confirmRanges delegates each range to an alive member, which asks the members of the
// range to confirm a version. The channel is closed after the last tally.
func (f *Follower) confirmRanges(ctx context.Context, version uint64, snapshot *memberSnapshot, ranges int) <-chan evidence.Tally {
	out := make(chan evidence.Tally, ranges)
	return f.collectTallies(out, ranges, func(i int) evidence.Tally { return f.delegateRange(ctx, version, snapshot, i, ranges) })
}

// collectTallies calls tally concurrently for 0 to n-1, sends the results to out and
// closes out after the last one.
func (f *Follower) collectTallies(out chan evidence.Tally, n int, tally func(i int) evidence.Tally) <-chan evidence.Tally {
	done := make(chan struct{}, n)
	for i := range n {
		go func() {
			out <- tally(i)
			done <- struct{}{}
		}()
	}
	go func() {
		for range n {
			<-done
		}
		close(out)
	}()
	return out
}

// confirmMember asks one member to confirm a version. A member that is dead, does not
// answer in time or answers under another ID counts as not confirming.
func (f *Follower) confirmMember(ctx context.Context, version uint64, m table.Member) evidence.Tally {
	out := evidence.Tally{Members: 1}
	if m.ID == f.ID {
		out.Confirmed = countConfirmed(f.confirms(version))
		return out
	}
	if m.State == table.Dead {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := f.peers.To(ctx, m.Address).Confirm(ctx, f.confirmRequest(version))
	if err != nil || reply.Id != m.ID {
		return out
	}
	f.recordReport(reply.Id, reply.Installed)
	f.recordKnown(reply.Known)
	out.Confirmed, out.LargestView = countConfirmed(reply.Confirmed), int(reply.Members)
	return out
}

func (f *Follower) confirms(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Confirms(version)
}

func countConfirmed(confirmed bool) int {
	if confirmed {
		return 1
	}
	return 0
}

func (f *Follower) recordKnown(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Observe(version)
}

// delegateRange has a random alive member ask the members of a range, and another one if
// the first fails. The tally is empty if both fail.
func (f *Follower) delegateRange(ctx context.Context, version uint64, snapshot *memberSnapshot, index, ranges int) evidence.Tally {
	req := &peerpb.GatherRequest{Address: f.Address, Version: version, Index: uint32(index), Ranges: uint32(ranges)}
	for _, address := range snapshot.sampleAddresses(2) {
		reply, err := f.requestGather(ctx, address, req)
		if err != nil {
			continue
		}
		f.recordKnown(reply.Known)
		return evidence.Tally{
			Members:     int(reply.Members),
			Confirmed:   int(reply.Confirmed),
			LargestView: int(reply.Widest),
		}
	}
	return evidence.Tally{}
}

func (f *Follower) requestGather(ctx context.Context, address string, req *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	return f.peers.To(ctx, address).Gather(ctx, req)
}

// HandleGather asks the members of one range to confirm a version on behalf of another
// node.
func (f *Follower) HandleGather(ctx context.Context, req *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	if req.Version > f.installedVersion() {
		f.pullAndLog(ctx, req.Address)
	}
	snapshot := f.members.get()
	members := snapshot.membersInRange(int(req.Index), int(req.Ranges))
	reply := &peerpb.GatherReply{Members: uint32(len(members)), Widest: uint32(len(snapshot.members))}
	for tally := range f.confirmMembers(ctx, req.Version, members) {
		reply.Confirmed += uint32(tally.Confirmed)
		reply.Widest = max(reply.Widest, uint32(tally.LargestView))
	}
	reply.Known, _ = f.KnownVersions()
	return reply, nil
}

// EnsureMajority returns an error unless a majority of the members confirms the installed
// version within ensureMajorityTimeout.
func (f *Follower) EnsureMajority(ctx context.Context) error {
	return f.retry(ctx, ensureMajorityTimeout, f.runRound)
}

// WaitSettled returns nil once a majority of the members is known to hold a version or a
// higher one, and an error if that takes longer than waitSettledTimeout.
func (f *Follower) WaitSettled(ctx context.Context, version uint64) error {
	return f.retry(ctx, waitSettledTimeout, func(ctx context.Context) bool {
		if f.settledVersion() < version {
			f.runRound(ctx)
		}
		return f.settledVersion() >= version
	})
}

func (f *Follower) settledVersion() uint64 {
	_, settled := f.KnownVersions()
	return settled
}

// retry calls try until it succeeds or limit is over. It polls the platform between the
// calls, to catch up with a newer version.
func (f *Follower) retry(ctx context.Context, limit time.Duration, try func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !try(ctx) {
		select {
		case <-ctx.Done():
			return errNoMajority
		case <-time.After(roundRetryDelay + rand.N(roundRetryDelay)):
		}
		_ = f.Poll(ctx)
	}
	return nil
}
