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
	// exchangeInterval is the time between a node's pulls from random members.
	exchangeInterval = 250 * time.Millisecond
	// pullTimeout bounds one pull, including the transfer of objects, and one notify.
	pullTimeout = 700 * time.Millisecond
	// notifyFanout is the number of members that a node notifies after it has installed a
	// version.
	notifyFanout = 4
	// maxReportsPerMember bounds the number of stored version reports, as a multiple of
	// the member count plus one, so that reports of removed members do not accumulate.
	maxReportsPerMember = 2
)

// exchangeLoop calls Exchange every exchangeInterval until ctx ends.
func (f *Follower) exchangeLoop(ctx context.Context) {
	system.Every(ctx, exchangeInterval, func() { f.Exchange(ctx) })
}

// Exchange starts a pull from a random member and, if a round is needed, starts one with
// a probability that bounds the rounds of the whole deployment. It does not wait for
// either.
func (f *Follower) Exchange(ctx context.Context) {
	snapshot := f.members.get()
	for _, address := range snapshot.sampleAddresses(1) {
		go f.pullAndLog(ctx, address)
	}
	if f.needsRound() && rand.Float64() < evidence.RoundProbability(len(snapshot.members)) {
		go f.runRound(ctx)
	}
}

func (f *Follower) needsRound() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NeedsRound(f.clock.Now())
}

// pullAndLog calls pull and logs its error.
func (f *Follower) pullAndLog(ctx context.Context, address string) {
	if err := f.pull(ctx, address); err != nil {
		f.log.Debug().Err(err).Str("peer", address).Msg("pulling the settings from a peer failed")
	}
}

// pull asks a node for its installed version and its evidence that this is current, and
// adopts both. The age of the evidence counts from before the request was sent, so
// that it is not understated.
func (f *Follower) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sentAt := f.clock.Now()
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
	f.state.MergeStatus(statusFromProto(reply), sentAt, f.lastPull)
	return err
}

// confirmRequest returns a request to confirm the version of a round. If version is 0, the
// request is a plain pull.
func (f *Follower) confirmRequest(version uint64) *peerpb.ConfirmRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peerpb.ConfirmRequest{Id: f.ID, Address: f.Address, Installed: f.state.Installed(), Round: version}
}

// recordReport records that a node has reported version as its installed one.
func (f *Follower) recordReport(id string, version uint64) {
	snapshot := f.members.get()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[id] = VersionReport{version, f.clock.Now()}
	if len(f.reports) > maxReportsPerMember*len(snapshot.members)+maxReportsPerMember {
		f.pruneReports(snapshot)
	}
}

// pruneReports drops the reports of nodes that are not in the snapshot. The caller holds
// mu.
func (f *Follower) pruneReports(snapshot *memberSnapshot) {
	kept := make(map[string]VersionReport, len(snapshot.members))
	for _, m := range snapshot.members {
		if report, ok := f.reports[m.ID]; ok {
			kept[m.ID] = report
		}
	}
	f.reports = kept
}

// notify tells other nodes that they can pull version from this node. It waits for their
// answers, at most pullTimeout; errors are ignored, since pulls from random members make
// up for lost notices.
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

// HandleNotice starts a pull from the sender if its version or evidence is useful here.
func (f *Follower) HandleNotice(_ context.Context, req *peerpb.NoticeRequest) (*peerpb.NoticeReply, error) {
	f.pullIfUseful(req.Address, req.Version)
	return &peerpb.NoticeReply{}, nil
}

// pullIfUseful starts a pull from a node that has installed version, if the version is
// newer or the node's evidence for it is needed.
func (f *Follower) pullIfUseful(address string, version uint64) {
	if !f.beginPull(version) {
		return
	}
	go func() {
		f.pullAndLog(context.Background(), address)
		f.endPull()
	}()
}

// beginPull reports whether to pull a version that another node has announced, and marks
// the pull as running. It returns false while a pull for the same or a higher version
// runs.
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

// endPull marks the running pull as finished.
func (f *Follower) endPull() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pullingVersion = 0
}

// HandleConfirm returns this node's installed version and evidence to another node. For a
// round, it first pulls the version from the requesting node if it is newer. Without a
// round, it pulls a newer version of the requesting node in the background.
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
	reply := statusToProto(f.state.Status(f.clock.Now()))
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

func statusToProto(s evidence.Status) *peerpb.ConfirmReply {
	reply := &peerpb.ConfirmReply{Installed: s.Installed, Known: s.Known, Settled: s.Settled, Fenced: s.Fenced}
	for _, stamp := range s.Stamps {
		reply.Stamps = append(reply.Stamps, &peerpb.Stamp{
			Kind:    uint32(stamp.Kind),
			Version: stamp.Version,
			AgeUs:   ageMicrosCeil(stamp.Age),
		})
	}
	return reply
}

// ageMicrosCeil converts an age to microseconds. It rounds up, since an age must not be
// understated.
func ageMicrosCeil(age time.Duration) uint64 {
	return uint64((age + time.Microsecond - 1) / time.Microsecond)
}

func statusFromProto(p *peerpb.ConfirmReply) evidence.Status {
	s := evidence.Status{Installed: p.Installed, Known: p.Known, Settled: p.Settled, Fenced: p.Fenced}
	for _, stamp := range p.Stamps {
		s.Stamps = append(s.Stamps, evidence.AgedStamp{
			Kind:    evidence.Kind(stamp.Kind),
			Version: stamp.Version,
			Age:     time.Duration(stamp.AgeUs) * time.Microsecond,
		})
	}
	return s
}
