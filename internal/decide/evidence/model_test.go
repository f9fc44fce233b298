package evidence

import (
	"maps"
	"time"

	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
)

// fleetModel models a fleet and a platform in virtual time. Messages consist of steps,
// which run in any order, late, or never.
type fleetModel struct {
	t   *rapid.T
	now time.Duration
	// platformDown is set while the platform does not answer.
	platformDown bool

	// owners holds the owner of one slot at each version; versions 0 and 1 have none.
	owners []slotOwner
	// members holds the number of members that each version was accepted among.
	members []int
	// accepted holds the time at which the operator was told that a version is accepted.
	accepted map[uint64]time.Duration
	nodes    []*modelNode
	steps    []*pendingStep
}

// slotOwner is the owner of the slot at one version. since is the first of the consecutive
// versions that name this owner, 0 if there is no owner.
type slotOwner struct {
	node, incarnation int
	since             uint64
}

// modelNode is one node. Its clock has its own origin and drifts.
type modelNode struct {
	index       int
	incarnation int
	clockOrigin time.Duration
	clockRate   float64
	state       *State
	// view holds the members that the node knows, at its start only itself.
	view map[int]bool
	// largestView is the largest view of the last round that this incarnation completed.
	largestView int
	// highestInstalled is the highest version that this incarnation had in force.
	highestInstalled uint64
	// pendingChange is the version that an operator waits for at this node, 0 if there is
	// none.
	pendingChange uint64
	// cut is set while the node's messages are held back.
	cut bool
}

// pendingStep is one step of a message exchange between an incarnation of a node and a
// peer. For an exchange with the platform the peer is the node itself.
type pendingStep struct {
	node        *modelNode
	incarnation int
	peer        *modelNode
	run         func()
}

func (s *pendingStep) isCut() bool { return s.node.cut || s.peer.cut }

// runIfCurrent runs the step unless the node was restarted since the exchange began.
func (s *pendingStep) runIfCurrent() {
	if s.incarnation == s.node.incarnation {
		s.run()
	}
}

func newFleetModel(t *rapid.T) *fleetModel {
	f := &fleetModel{t: t, now: time.Hour, accepted: map[uint64]time.Duration{}, owners: make([]slotOwner, 2)}
	for i := range rapid.IntRange(3, 5).Draw(t, "nodes") {
		n := &modelNode{
			index:       i,
			clockOrigin: time.Duration(rapid.IntRange(1, 1000).Draw(t, "origin")) * time.Second,
			clockRate:   rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
		}
		f.startNode(n)
		n.state.Install(1)
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		for i := range f.nodes {
			n.view[i] = true
		}
	}
	f.members = []int{0, len(f.nodes)}
	return f
}

// startNode starts a new incarnation of a node, which knows nothing.
func (f *fleetModel) startNode(n *modelNode) {
	n.highestInstalled, n.pendingChange, n.largestView = 0, 0, 0
	n.state = New(f.clock(n))
	n.view = map[int]bool{n.index: true}
}

// clock reads a node's clock.
func (f *fleetModel) clock(n *modelNode) clock.Time {
	return clock.Time(n.clockOrigin + time.Duration(float64(f.now)*n.clockRate))
}

// head returns the head version.
func (f *fleetModel) head() uint64 { return uint64(len(f.owners) - 1) }

func (f *fleetModel) pickNode(label string) *modelNode {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, label)]
}

// schedule adds a pending step between a node and a peer.
func (f *fleetModel) schedule(n, peer *modelNode, run func()) {
	f.steps = append(f.steps, &pendingStep{n, n.incarnation, peer, run})
}

// deliver runs some pending steps in random order. A step may stay pending and run again.
func (f *fleetModel) deliver(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "deliveries") {
		if len(f.steps) == 0 {
			return
		}
		i := rapid.IntRange(0, len(f.steps)-1).Draw(t, "step")
		s := f.steps[i]
		if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
			f.steps = append(f.steps[:i:i], f.steps[i+1:]...)
		}
		s.runIfCurrent()
	}
}

// deliverPromptly starts an exchange and runs most of its steps at once, as in a healthy
// network. The steps that it holds back stay pending for deliver.
func (f *fleetModel) deliverPromptly(start func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		held := f.steps
		f.steps = nil
		start(t)
		for len(f.steps) > 0 {
			s := f.steps[0]
			f.steps = f.steps[1:]
			if s.isCut() || rapid.IntRange(0, 15).Draw(t, "held") == 0 {
				held = append(held, s)
				continue
			}
			s.runIfCurrent()
		}
		f.steps = held
	}
}

// toggleCut begins or ends the isolation of a random node.
func (f *fleetModel) toggleCut(*rapid.T) {
	n := f.pickNode("cut")
	n.cut = !n.cut
}

// dropSteps drops all pending steps.
func (f *fleetModel) dropSteps(*rapid.T) { f.steps = nil }

// advanceTime lets up to 1.5 s pass.
func (f *fleetModel) advanceTime(t *rapid.T) {
	f.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
}

// toggleOutage begins or ends an outage of the platform.
func (f *fleetModel) toggleOutage(*rapid.T) { f.platformDown = !f.platformDown }

// restart sometimes restarts a random node.
func (f *fleetModel) restart(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "restart") > 0 {
		return
	}
	n := f.pickNode("restarted")
	n.incarnation++
	f.startNode(n)
}

// poll has a random node read the head row.
func (f *fleetModel) poll(*rapid.T) { f.readHead(f.pickNode("poller")) }

// readHead reads the head row; the answer may come late.
func (f *fleetModel) readHead(n *modelNode) {
	asked := f.clock(n)
	f.schedule(n, n, func() {
		if f.platformDown {
			return
		}
		head := f.head()
		f.schedule(n, n, func() {
			n.state.Install(head)
			n.state.AddStamp(Platform, Stamp{head, asked})
		})
	})
}

// pull has a random node pull from another one. Whatever incarnation of the peer runs when
// the request arrives answers it.
func (f *fleetModel) pull(*rapid.T) {
	n, peer := f.pickNode("asker"), f.pickNode("asked")
	asked := f.clock(n)
	f.schedule(n, peer, func() {
		status := peer.state.Status(f.clock(peer))
		f.schedule(n, peer, func() {
			n.state.Install(status.Installed)
			n.state.MergeStatus(status, asked, f.clock(n))
			maps.Copy(n.view, peer.view)
		})
	})
}

// startRound has a random node begin a quorum round for its version in force.
func (f *fleetModel) startRound(*rapid.T) { f.requestConfirmations(f.pickNode("initiator")) }

// requestConfirmations asks all members that a node knows to confirm its version in force.
func (f *fleetModel) requestConfirmations(n *modelNode) {
	version, started := n.state.Installed(), f.clock(n)
	r := NewQuorumRound(version, started, len(n.view), f.members[version])
	counted := map[int]bool{}
	for _, peer := range f.nodes {
		if !n.view[peer.index] {
			continue
		}
		f.schedule(n, peer, func() {
			peer.state.Install(version)
			confirmed, known, largestView := peer.state.Confirms(version), peer.state.Known(), len(peer.view)
			f.schedule(n, peer, func() {
				n.state.Observe(known)
				if !confirmed || counted[peer.index] {
					return
				}
				counted[peer.index] = true
				r.Add(Tally{Members: 1, Confirmed: 1, LargestView: largestView})
				f.finishRound(n, r)
			})
		})
	}
}

// fence has a random node ask every node that its highest fenced version or a later one
// names as the owner to confirm its version in force. Once all have, it marks that version
// as fenced.
func (f *fleetModel) fence(*rapid.T) {
	n := f.pickNode("fencer")
	version := n.state.Installed()
	missing := map[int]bool{}
	for v := max(1, n.state.highestFenced(f.clock(n))); v <= version; v++ {
		if o := f.owners[v]; o.since != 0 {
			missing[o.node] = true
		}
	}
	for _, peer := range f.nodes {
		if !missing[peer.index] {
			continue
		}
		f.schedule(n, peer, func() {
			peer.state.Install(version)
			confirmed := peer.state.Confirms(version)
			f.schedule(n, peer, func() {
				if !confirmed {
					return
				}
				delete(missing, peer.index)
				if len(missing) == 0 {
					n.state.MarkFenced(version, f.clock(n))
				}
			})
		})
	}
}

// finishRound takes the result of a round at a node, if it is complete. A change that an
// operator waits for is accepted once its version is settled.
func (f *fleetModel) finishRound(n *modelNode, r *QuorumRound) {
	stamp, ok := r.Result(f.clock(n))
	if !ok {
		return
	}
	n.state.AddStamp(Majority, stamp)
	n.state.MarkSettled(stamp.Version, f.clock(n))
	n.largestView = r.LargestView()
	if n.pendingChange != 0 && n.state.Settled() >= n.pendingChange {
		f.accepted[n.pendingChange] = f.now
		n.pendingChange = 0
	}
}

// acceptChange advances the head on behalf of an operator, at a node that has completed a
// round. The platform's answer may be lost.
func (f *fleetModel) acceptChange(*rapid.T) {
	n := f.pickNode("acceptor")
	if n.largestView == 0 {
		return
	}
	asked, base, moved, members := f.clock(n), f.head(), false, n.largestView
	f.schedule(n, n, func() {
		if f.platformDown || moved || f.head() != base {
			return
		}
		moved = true
		f.advanceHead(members)
		f.schedule(n, n, func() {
			n.state.Install(base + 1)
			n.state.AddStamp(Platform, Stamp{base + 1, asked})
			n.pendingChange = base + 1
			f.requestConfirmations(n)
		})
	})
}

// advanceHead creates a new head version, which may name another owner.
func (f *fleetModel) advanceHead(members int) {
	f.members = append(f.members, members)
	last := f.owners[len(f.owners)-1]
	n := f.nodes[rapid.IntRange(0, 1).Draw(f.t, "owner")]
	next := slotOwner{n.index, n.incarnation, f.head() + 1}
	if last.since != 0 && last.node == next.node && last.incarnation == next.incarnation {
		next.since = last.since
	}
	f.owners = append(f.owners, next)
}

// checkInvariants verifies after each action that no node goes back to an older version
// or trusts one for too long, and that at most one owner acts.
func (f *fleetModel) checkInvariants(t *rapid.T) {
	acting := 0
	for _, n := range f.nodes {
		installed := n.state.Installed()
		if installed < n.highestInstalled {
			t.Fatalf("node %d went back from version %d to %d", n.index, n.highestInstalled, installed)
		}
		n.highestInstalled = installed
		f.checkFresh(t, n)
		if f.actsAsOwner(n) {
			acting++
		}
	}
	if acting > 1 {
		t.Fatalf("%d owners act at once", acting)
	}
}

// checkFresh verifies that a node does not trust an older version for longer than
// MaxStampAge and DriftMargin after the operator was told that a newer one is accepted.
func (f *fleetModel) checkFresh(t *rapid.T, n *modelNode) {
	if !n.state.Fresh(f.clock(n)) {
		return
	}
	for version, at := range f.accepted {
		if version > n.state.Installed() && f.now-at > MaxStampAge+DriftMargin {
			t.Fatalf("node %d is fresh with version %d, %v after version %d was accepted",
				n.index, n.state.Installed(), f.now-at, version)
		}
	}
}

// actsAsOwner reports whether a node acts as the owner of the slot.
func (f *fleetModel) actsAsOwner(n *modelNode) bool {
	o := f.owners[n.state.Installed()]
	if o.since == 0 || o.node != n.index || o.incarnation != n.incarnation {
		return false
	}
	return n.state.Fresh(f.clock(n)) && n.state.Fenced(o.since, f.clock(n))
}
