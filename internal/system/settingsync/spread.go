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
	// notifyFanout is how many members a node tells of a version that it installed.
	notifyFanout = 4
	// maxReportsPerMember bounds what is kept of members' versions, as a multiple of the members.
	maxReportsPerMember = 2
)

// exchangeLoop pulls from one random member a tick, and begins a round at need.
func (f *Follower) exchangeLoop(ctx context.Context) {
	system.Every(ctx, exchangeInterval, func() { f.Exchange(ctx) })
}

// Exchange starts one pull from a random member and, by chance, a round that is
// wanted. It does not wait for them.
func (f *Follower) Exchange(ctx context.Context) {
	snapshot := f.members.get()
	for _, address := range snapshot.sampleAddresses(1) {
		go f.pullAndLog(ctx, address)
	}
	if f.wantsRound() && rand.Float64() < evidence.RoundProbability(len(snapshot.members)) {
		go f.runRound(ctx)
	}
}

func (f *Follower) wantsRound() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NeedsRound(f.clock.Now())
}

func (f *Follower) pullAndLog(ctx context.Context, address string) {
	if err := f.pull(ctx, address); err != nil {
		f.log.Debug().Err(err).Str("peer", address).Msg("settings not pulled")
	}
}

// pull asks a node for its version and evidence, and installs what is newer.
func (f *Follower) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := f.clock.Now()
	reply, err := f.peers.To(ctx, address).Confirm(ctx, f.confirmRequest(0))
	if err != nil {
		return err
	}
	f.recordReport(reply.Id, reply.Installed)
	head := Head{Version: reply.Installed, Manifest: reply.Manifest, Members: int(reply.HeadMembers)}
	err = f.fetchAndInstall(ctx, head, &peerObjects{f.peers, address, platformObjects{f.store}})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPull = f.clock.Now()
	f.state.MergeStatus(standingFromProto(reply), asked, f.lastPull)
	return err
}

// confirmRequest is a request to confirm a round's version, or a mere pull if it is 0.
func (f *Follower) confirmRequest(round uint64) *peerpb.ConfirmRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peerpb.ConfirmRequest{Id: f.ID, Address: f.Address, Installed: f.state.Installed(), Round: round}
}

func (f *Follower) recordReport(id string, version uint64) {
	known := f.members.get()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[id] = VersionReport{version, f.clock.Now()}
	if len(f.reports) > maxReportsPerMember*len(known.members)+maxReportsPerMember {
		f.pruneReports(known)
	}
}

// pruneReports drops what members said that are no longer known.
func (f *Follower) pruneReports(known *memberSnapshot) {
	kept := make(map[string]VersionReport, len(known.members))
	for _, m := range known.members {
		if h, ok := f.reports[m.ID]; ok {
			kept[m.ID] = h
		}
	}
	f.reports = kept
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
	f.pullIfUseful(req.Address, req.Version)
	return &peerpb.NoticeReply{}, nil
}

// pullIfUseful pulls from a node that has a version, if that can bring anything.
func (f *Follower) pullIfUseful(address string, version uint64) {
	if !f.beginPull(version) {
		return
	}
	go func() {
		f.pullAndLog(context.Background(), address)
		f.endPull()
	}()
}

// beginPull reports whether a pull for a noticed version is worth it; one at a
// time runs for each version.
func (f *Follower) beginPull(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	useful := version > f.state.Installed() || version == f.state.Installed() && f.state.NeedsRound(f.clock.Now())
	if !useful || f.pullingVersion >= version {
		return false
	}
	f.pullingVersion = version
	return true
}

func (f *Follower) endPull() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pullingVersion = 0
}

// HandleConfirm tells another node of this node's settings. For a round, it first
// takes the version from the asking node.
func (f *Follower) HandleConfirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	f.recordReport(req.Id, req.Installed)
	if req.Round > f.installedVersion() {
		f.pullAndLog(ctx, req.Address)
	}
	if req.Installed > f.installedVersion() {
		f.pullIfUseful(req.Address, req.Installed)
	}
	members := len(f.members.get().members)
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

func (f *Follower) installedVersion() uint64 {
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
			AgeUs:   ageMicrosCeil(x.Age),
		})
	}
	return reply
}

// ageMicrosCeil rounds up, since an age must not be understated.
func ageMicrosCeil(age time.Duration) uint64 {
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
