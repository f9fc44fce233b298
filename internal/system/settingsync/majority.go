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
	// confirmTimeout bounds the asking of one member, which may pull first.
	confirmTimeout = 500 * time.Millisecond
	// gatherTimeout bounds the asking of one range of members.
	gatherTimeout = 800 * time.Millisecond
	// roundTimeout bounds a round; it is below evidence.FreshFor.
	roundTimeout = 2 * time.Second
	// reachTimeout and settleTimeout bound an accepting node's rounds, repeats included.
	reachTimeout  = 3 * time.Second
	settleTimeout = 5 * time.Second
	roundPause    = 50 * time.Millisecond
)

// errNoMajority: no majority of the members confirmed a version in time.
var errNoMajority = errors.New("no majority of the members answered")

// round asks all members to confirm the version in force, and reports whether a
// majority did. It returns as soon as that is clear.
func (f *Follower) round(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
	context.AfterFunc(ctx, cancel)
	snapshot, started := f.fleet.get(), f.clock.Now()
	version, floor := f.inForce()
	tallies := f.ask(ctx, version, snapshot)
	r := evidence.NewQuorumRound(version, started, len(snapshot.members), floor-snapshot.left)
	for t := range tallies {
		r.Add(t)
		if stamp, ok := r.Result(f.clock.Now()); ok {
			f.conclude(stamp, r.LargestView())
			go f.notify(snapshot.sample(evidence.NotifyCount(len(snapshot.members))), version)
			return true
		}
	}
	return false
}

// ask asks all members, directly or by ranges.
func (f *Follower) ask(ctx context.Context, version uint64, s *fleet) <-chan evidence.Tally {
	ranges := evidence.RangeCount(len(s.members))
	if ranges == 1 {
		return f.askMembers(ctx, version, s.members)
	}
	return f.askRanges(ctx, version, s, ranges)
}

// inForce returns the version in force and the members that it was accepted among.
func (f *Follower) inForce() (version uint64, members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Installed(), f.head.Members
}

// conclude takes in a complete round.
func (f *Follower) conclude(stamp evidence.Stamp, widest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.widest = widest
	f.state.AddStamp(evidence.Majority, stamp)
	f.state.MarkSettled(stamp.Version, f.clock.Now())
}

// askMembers asks members directly; the channel closes after the last one.
func (f *Follower) askMembers(ctx context.Context, version uint64, members []table.Member) <-chan evidence.Tally {
	out := make(chan evidence.Tally, len(members))
	return f.collect(out, len(members), func(i int) evidence.Tally {
		return f.confirmOne(ctx, version, members[i])
	})
}

// askRanges has one alive member ask each range.
func (f *Follower) askRanges(ctx context.Context, version uint64, s *fleet, ranges int) <-chan evidence.Tally {
	out := make(chan evidence.Tally, ranges)
	return f.collect(out, ranges, func(i int) evidence.Tally { return f.delegate(ctx, version, s, i, ranges) })
}

// collect runs ask for 0 to n-1 at a time and closes out after the last one.
func (f *Follower) collect(out chan evidence.Tally, n int, ask func(i int) evidence.Tally) <-chan evidence.Tally {
	done := make(chan struct{}, n)
	for i := range n {
		go func() {
			out <- ask(i)
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

// confirmOne has one member confirm a version.
func (f *Follower) confirmOne(ctx context.Context, version uint64, m table.Member) evidence.Tally {
	out := evidence.Tally{Members: 1}
	if m.ID == f.ID {
		out.Confirmed = count(f.confirms(version))
		return out
	}
	if m.State == table.Dead {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := f.peers.To(ctx, m.Address).Confirm(ctx, f.question(version))
	if err != nil || reply.Id != m.ID {
		return out
	}
	f.noteHeard(reply.Id, reply.Installed)
	f.learn(reply.Known)
	out.Confirmed, out.LargestView = count(reply.Confirmed), int(reply.Members)
	return out
}

func (f *Follower) confirms(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Confirms(version)
}

func count(confirmed bool) int {
	if confirmed {
		return 1
	}
	return 0
}

func (f *Follower) learn(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Observe(version)
}

// delegate has a random member ask a range; if that fails, another one.
func (f *Follower) delegate(ctx context.Context, version uint64, s *fleet, index, ranges int) evidence.Tally {
	req := &peerpb.GatherRequest{Address: f.Address, Version: version, Index: uint32(index), Ranges: uint32(ranges)}
	for _, address := range s.sample(2) {
		reply, err := f.gather(ctx, address, req)
		if err != nil {
			continue
		}
		f.learn(reply.Known)
		return evidence.Tally{
			Members:     int(reply.Members),
			Confirmed:   int(reply.Confirmed),
			LargestView: int(reply.Widest),
		}
	}
	return evidence.Tally{}
}

func (f *Follower) gather(ctx context.Context, address string, req *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	return f.peers.To(ctx, address).Gather(ctx, req)
}

// HandleGather asks one range of members on behalf of another node.
func (f *Follower) HandleGather(ctx context.Context, req *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	if req.Version > f.installed() {
		f.pullLogged(ctx, req.Address)
	}
	snapshot := f.fleet.get()
	members := snapshot.inRange(int(req.Index), int(req.Ranges))
	reply := &peerpb.GatherReply{Members: uint32(len(members)), Widest: uint32(len(snapshot.members))}
	for t := range f.askMembers(ctx, req.Version, members) {
		reply.Confirmed += uint32(t.Confirmed)
		reply.Widest = max(reply.Widest, uint32(t.LargestView))
	}
	reply.Known, _ = f.Known()
	return reply, nil
}

// Reach returns an error unless this node reaches a majority of the members.
func (f *Follower) Reach(ctx context.Context) error {
	return f.repeat(ctx, reachTimeout, f.round)
}

// Settle returns once a majority of the members is known to hold a version or a
// higher one.
func (f *Follower) Settle(ctx context.Context, version uint64) error {
	return f.repeat(ctx, settleTimeout, func(ctx context.Context) bool {
		if f.settled() < version {
			f.round(ctx)
		}
		return f.settled() >= version
	})
}

func (f *Follower) settled() uint64 {
	_, settled := f.Known()
	return settled
}

// repeat tries until it succeeds or the time is up; between tries it catches up
// with the platform.
func (f *Follower) repeat(ctx context.Context, limit time.Duration, try func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !try(ctx) {
		select {
		case <-ctx.Done():
			return errNoMajority
		case <-time.After(roundPause + rand.N(roundPause)):
		}
		_ = f.Poll(ctx)
	}
	return nil
}
