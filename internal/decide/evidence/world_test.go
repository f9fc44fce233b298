package evidence

import (
	"maps"
	"time"

	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
)

// fleetModel is a fleet over a platform in virtual time. Messages are steps that run in
// any order, late, or never.
type fleetModel struct {
	t    *rapid.T
	now  time.Duration
	platformDown bool

	// owners gives the owner of one slot at each version; index 0 is no owner.
	owners []slotOwner
	// members is the number of members that each version was accepted among.
	members []int
	// accepted is when the operator got the answer for a version.
	accepted map[uint64]time.Duration
	nodes    []*modelNode
	steps    []*pendingStep
}

// slotOwner is a slot's owner, and the first version that names it.
type slotOwner struct {
	node, incarnation int
	since             uint64
}

// modelNode is one node; its clock has its own origin and runs a little fast or slow.
type modelNode struct {
	index       int
	incarnation int
	clockOrigin      time.Duration
	clockRate        float64
	state       *State
	// view is the members that the node knows; it begins with itself alone.
	view map[int]bool
	// largestView is the widest view of the last round that this incarnation completed.
	largestView  int
	highestInstalled uint64
	// pendingChange is the version that an operator at this node waits for.
	pendingChange uint64
	// cut holds the node's messages back.
	cut bool
}

// pendingStep is what is left to do of a message between a node's incarnation and a peer,
// which is the node itself where the platform is meant.
type pendingStep struct {
	node        *modelNode
	incarnation int
	peer        *modelNode
	run         func()
}

func (s *pendingStep) isCut() bool { return s.node.cut || s.peer.cut }

func (s *pendingStep) runIfCurrent() {
	if s.incarnation == s.node.incarnation {
		s.run()
	}
}

func newFleetModel(t *rapid.T) *fleetModel {
	w := &fleetModel{t: t, now: time.Hour, accepted: map[uint64]time.Duration{}, owners: make([]slotOwner, 2)}
	for i := range rapid.IntRange(3, 5).Draw(t, "nodes") {
		n := &modelNode{
			index:  i,
			clockOrigin: time.Duration(rapid.IntRange(1, 1000).Draw(t, "origin")) * time.Second,
			clockRate:   rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
		}
		w.startNode(n)
		n.state.Install(1)
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		for i := range w.nodes {
			n.view[i] = true
		}
	}
	w.members = []int{0, len(w.nodes)}
	return w
}

// startNode begins a node's incarnation, which knows nothing.
func (w *fleetModel) startNode(n *modelNode) {
	n.highestInstalled, n.pendingChange, n.largestView = 0, 0, 0
	n.state = New(w.clock(n))
	n.view = map[int]bool{n.index: true}
}

func (w *fleetModel) clock(n *modelNode) clock.Time {
	return clock.Time(n.clockOrigin + time.Duration(float64(w.now)*n.clockRate))
}

func (w *fleetModel) head() uint64 { return uint64(len(w.owners) - 1) }

func (w *fleetModel) pickNode(label string) *modelNode {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, label)]
}

// schedule adds a step between a node and a peer.
func (w *fleetModel) schedule(n, peer *modelNode, run func()) {
	w.steps = append(w.steps, &pendingStep{n, n.incarnation, peer, run})
}

// deliver runs some steps in any order; a step may stay to run again.
func (w *fleetModel) deliver(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "deliveries") {
		if len(w.steps) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.steps)-1).Draw(t, "step")
		s := w.steps[i]
		if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
			w.steps = append(w.steps[:i:i], w.steps[i+1:]...)
		}
		s.runIfCurrent()
	}
}

// deliverPromptly starts a message and runs most of its steps at once, as in a healthy
// network. What it holds back stays for deliver.
func (w *fleetModel) deliverPromptly(start func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		held := w.steps
		w.steps = nil
		start(t)
		for len(w.steps) > 0 {
			s := w.steps[0]
			w.steps = w.steps[1:]
			if s.isCut() || rapid.IntRange(0, 15).Draw(t, "held") == 0 {
				held = append(held, s)
				continue
			}
			s.runIfCurrent()
		}
		w.steps = held
	}
}

// toggleCut holds one node's messages back, or no longer.
func (w *fleetModel) toggleCut(*rapid.T) {
	n := w.pickNode("cut")
	n.cut = !n.cut
}

func (w *fleetModel) dropSteps(*rapid.T) { w.steps = nil }

func (w *fleetModel) advanceTime(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
}

func (w *fleetModel) toggleOutage(*rapid.T) { w.platformDown = !w.platformDown }

func (w *fleetModel) restart(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "restart") > 0 {
		return
	}
	n := w.pickNode("restarted")
	n.incarnation++
	w.startNode(n)
}

// poll reads the head row; the answer may come late.
func (w *fleetModel) poll(*rapid.T) { w.readHead(w.pickNode("poller")) }

func (w *fleetModel) readHead(n *modelNode) {
	asked := w.clock(n)
	w.schedule(n, n, func() {
		if w.platformDown {
			return
		}
		head := w.head()
		w.schedule(n, n, func() {
			n.state.Install(head)
			n.state.AddStamp(Platform, Stamp{head, asked})
		})
	})
}

// pull asks a peer; the peer's incarnation of the moment answers.
func (w *fleetModel) pull(*rapid.T) {
	a, b := w.pickNode("asker"), w.pickNode("asked")
	asked := w.clock(a)
	w.schedule(a, b, func() {
		standing := b.state.Status(w.clock(b))
		w.schedule(a, b, func() {
			a.state.Install(standing.Installed)
			a.state.MergeStatus(standing, asked, w.clock(a))
			maps.Copy(a.view, b.view)
		})
	})
}

// startRound has all members confirm the version at one node.
func (w *fleetModel) startRound(*rapid.T) { w.requestConfirmations(w.pickNode("gatherer")) }

func (w *fleetModel) requestConfirmations(a *modelNode) {
	version, started := a.state.Installed(), w.clock(a)
	r := NewQuorumRound(version, started, len(a.view), w.members[version])
	counted := map[int]bool{}
	for _, b := range w.nodes {
		if !a.view[b.index] {
			continue
		}
		w.schedule(a, b, func() {
			b.state.Install(version)
			confirmed, known, widest := b.state.Confirms(version), b.state.Known(), len(b.view)
			w.schedule(a, b, func() {
				a.state.Observe(known)
				if !confirmed || counted[b.index] {
					return
				}
				counted[b.index] = true
				r.Add(Tally{Members: 1, Confirmed: 1, LargestView: widest})
				w.finishRound(a, r)
			})
		})
	}
}

// fence has all nodes confirm the version that a version not yet fenced names as owners.
func (w *fleetModel) fence(*rapid.T) {
	a := w.pickNode("fencer")
	version := a.state.Installed()
	missing := map[int]bool{}
	for v := max(1, a.state.highestFenced(w.clock(a))); v <= version; v++ {
		if o := w.owners[v]; o.since != 0 {
			missing[o.node] = true
		}
	}
	for _, b := range w.nodes {
		if !missing[b.index] {
			continue
		}
		w.schedule(a, b, func() {
			b.state.Install(version)
			confirmed := b.state.Confirms(version)
			w.schedule(a, b, func() {
				if !confirmed {
					return
				}
				delete(missing, b.index)
				if len(missing) == 0 {
					a.state.MarkFenced(version, w.clock(a))
				}
			})
		})
	}
}

func (w *fleetModel) finishRound(a *modelNode, r *QuorumRound) {
	stamp, ok := r.Result(w.clock(a))
	if !ok {
		return
	}
	a.state.AddStamp(Majority, stamp)
	a.state.MarkSettled(stamp.Version, w.clock(a))
	a.largestView = r.LargestView()
	if a.pendingChange != 0 && a.state.Settled() >= a.pendingChange {
		w.accepted[a.pendingChange] = w.now
		a.pendingChange = 0
	}
}

// acceptChange moves the head on behalf of an operator, at a node that has reached a
// majority. The answer may be lost on the way from the platform.
func (w *fleetModel) acceptChange(*rapid.T) {
	a := w.pickNode("acceptor")
	if a.largestView == 0 {
		return
	}
	asked, base, moved, members := w.clock(a), w.head(), false, a.largestView
	w.schedule(a, a, func() {
		if w.platformDown || moved || w.head() != base {
			return
		}
		moved = true
		w.advanceHead(members)
		w.schedule(a, a, func() {
			a.state.Install(base + 1)
			a.state.AddStamp(Platform, Stamp{base + 1, asked})
			a.pendingChange = base + 1
			w.requestConfirmations(a)
		})
	})
}

// advanceHead makes a new head, which may name another owner.
func (w *fleetModel) advanceHead(members int) {
	w.members = append(w.members, members)
	last := w.owners[len(w.owners)-1]
	n := w.nodes[rapid.IntRange(0, 1).Draw(w.t, "owner")]
	next := slotOwner{n.index, n.incarnation, w.head() + 1}
	if last.since != 0 && last.node == next.node && last.incarnation == next.incarnation {
		next.since = last.since
	}
	w.owners = append(w.owners, next)
}

// checkInvariants holds at every moment.
func (w *fleetModel) checkInvariants(t *rapid.T) {
	acting := 0
	for _, n := range w.nodes {
		installed := n.state.Installed()
		if installed < n.highestInstalled {
			t.Fatalf("node %d went back from version %d to %d", n.index, n.highestInstalled, installed)
		}
		n.highestInstalled = installed
		w.checkFresh(t, n)
		if w.actsAsOwner(n) {
			acting++
		}
	}
	if acting > 1 {
		t.Fatalf("%d owners act at once", acting)
	}
}

// checkFresh: no node trusts an older version longer than its term after the answer.
func (w *fleetModel) checkFresh(t *rapid.T, n *modelNode) {
	if !n.state.Fresh(w.clock(n)) {
		return
	}
	for version, at := range w.accepted {
		if version > n.state.Installed() && w.now-at > MaxStampAge+DriftMargin {
			t.Fatalf("node %d is fresh with version %d, %v after version %d was accepted",
				n.index, n.state.Installed(), w.now-at, version)
		}
	}
}

// actsAsOwner reports whether a node acts for the slot.
func (w *fleetModel) actsAsOwner(n *modelNode) bool {
	o := w.owners[n.state.Installed()]
	if o.since == 0 || o.node != n.index || o.incarnation != n.incarnation {
		return false
	}
	return n.state.Fresh(w.clock(n)) && n.state.Fenced(o.since, w.clock(n))
}
