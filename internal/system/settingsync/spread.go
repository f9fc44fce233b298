package settingsync

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/decide/evidence"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/system"
)

const (
	// exchangeInterval is the pause between one node's pulls from random members.
	exchangeInterval = 250 * time.Millisecond
	// pullTimeout bounds one pull, objects included.
	pullTimeout = 700 * time.Millisecond
	// pushFanout is how many members a node tells of a version that it installed.
	pushFanout = 4
	// heardSlack bounds what is kept of members' versions, as a multiple of the members.
	heardSlack = 2
)

// exchangeLoop pulls from one random member a tick, and begins a round at need.
func (f *Follower) exchangeLoop(ctx context.Context) {
	system.Every(ctx, exchangeInterval, func() { f.Exchange(ctx) })
}

// Exchange starts one pull from a random member and, by chance, a round that is
// wanted. It does not wait for them.
func (f *Follower) Exchange(ctx context.Context) {
	snapshot := f.fleet.get()
	for _, address := range snapshot.sample(1) {
		go f.pullLogged(ctx, address)
	}
	if f.wantsRound() && rand.Float64() < evidence.RoundProbability(len(snapshot.members)) {
		go f.round(ctx)
	}
}

func (f *Follower) wantsRound() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NeedsRound(f.clock.Now())
}

func (f *Follower) pullLogged(ctx context.Context, address string) {
	if err := f.pull(ctx, address); err != nil {
		f.log.Debug().Err(err).Str("peer", address).Msg("settings not pulled")
	}
}

// pull asks a node for its version and evidence, and installs what is newer.
func (f *Follower) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := f.clock.Now()
	reply, err := f.peers.To(ctx, address).Confirm(ctx, f.question(0))
	if err != nil {
		return err
	}
	f.noteHeard(reply.Id, reply.Installed)
	head := Head{Version: reply.Installed, Manifest: reply.Manifest, Members: int(reply.HeadMembers)}
	err = f.install(ctx, head, &peerObjects{f.peers, address, platformObjects{f.store}})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pulled = f.clock.Now()
	f.state.MergeStatus(standingFromProto(reply), asked, f.pulled)
	return err
}

// question is a request to confirm a round's version, or a mere pull if it is 0.
func (f *Follower) question(round uint64) *peerpb.ConfirmRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peerpb.ConfirmRequest{Id: f.ID, Address: f.Address, Installed: f.state.Installed(), Round: round}
}

func (f *Follower) noteHeard(id string, version uint64) {
	known := f.fleet.get()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[id] = Heard{version, f.clock.Now()}
	if len(f.heard) > heardSlack*len(known.members)+heardSlack {
		f.forgetGone(known)
	}
}

// forgetGone drops what members said that are no longer known.
func (f *Follower) forgetGone(known *fleet) {
	kept := make(map[string]Heard, len(known.members))
	for _, m := range known.members {
		if h, ok := f.heard[m.ID]; ok {
			kept[m.ID] = h
		}
	}
	f.heard = kept
}

// notify tells nodes that there is something to pull here.
func (f *Follower) notify(addresses []string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	notice := &peerpb.NoticeRequest{Address: f.Address, Version: version}
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			_, _ = f.peers.To(ctx, address).Notice(ctx, notice)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// HandleNotice pulls from the sender if that can bring anything.
func (f *Follower) HandleNotice(_ context.Context, req *peerpb.NoticeRequest) (*peerpb.NoticeReply, error) {
	f.follow(req.Address, req.Version)
	return &peerpb.NoticeReply{}, nil
}

// follow pulls from a node that has a version, if that can bring anything.
func (f *Follower) follow(address string, version uint64) {
	if !f.beginFetch(version) {
		return
	}
	go func() {
		f.pullLogged(context.Background(), address)
		f.endFetch()
	}()
}

// beginFetch reports whether a pull for a noticed version is worth it; one at a
// time runs for each version.
func (f *Follower) beginFetch(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	useful := version > f.state.Installed() || version == f.state.Installed() && f.state.NeedsRound(f.clock.Now())
	if !useful || f.fetching >= version {
		return false
	}
	f.fetching = version
	return true
}

func (f *Follower) endFetch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = 0
}

// HandleConfirm tells another node of this node's settings. For a round, it first
// takes the version from the asking node.
func (f *Follower) HandleConfirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	f.noteHeard(req.Id, req.Installed)
	if req.Round > f.installed() {
		f.pullLogged(ctx, req.Address)
	}
	if req.Installed > f.installed() {
		f.follow(req.Address, req.Installed)
	}
	members := len(f.fleet.get().members)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Observe(max(req.Round, req.Installed))
	reply := standingToProto(f.state.Status(f.clock.Now()))
	reply.Id = f.ID
	reply.Manifest = f.head.Manifest
	reply.HeadMembers = uint32(f.head.Members)
	reply.Members = uint32(members)
	reply.Confirmed = f.state.Confirms(req.Round)
	return reply, nil
}

func (f *Follower) installed() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Installed()
}

func standingToProto(s evidence.Status) *peerpb.ConfirmReply {
	reply := &peerpb.ConfirmReply{Installed: s.Installed, Known: s.Known, Settled: s.Settled, Fenced: s.Fenced}
	for _, x := range s.Stamps {
		reply.Stamps = append(reply.Stamps, &peerpb.Stamp{
			Kind:    uint32(x.Kind),
			Version: x.Version,
			AgeUs:   ageMicros(x.Age),
		})
	}
	return reply
}

// ageMicros rounds up, since an age must not be understated.
func ageMicros(age time.Duration) uint64 {
	return uint64((age + time.Microsecond - 1) / time.Microsecond)
}

func standingFromProto(p *peerpb.ConfirmReply) evidence.Status {
	s := evidence.Status{Installed: p.Installed, Known: p.Known, Settled: p.Settled, Fenced: p.Fenced}
	for _, x := range p.Stamps {
		s.Stamps = append(s.Stamps, evidence.AgedStamp{
			Kind:    evidence.Kind(x.Kind),
			Version: x.Version,
			Age:     time.Duration(x.AgeUs) * time.Microsecond,
		})
	}
	return s
}
