package evidence

import (
	"maps"
	"time"

	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
)

// world is a fleet over a platform in virtual time. Messages are steps that run in
// any order, late, or never.
type world struct {
	t    *rapid.T
	now  time.Duration
	down bool

	// owners gives the owner of one slot at each version; index 0 is no owner.
	owners []owner
	// members is the number of members that each version was accepted among.
	members []int
	// accepted is when the operator got the answer for a version.
	accepted map[uint64]time.Duration
	nodes    []*node
	steps    []*step
}

// owner is a slot's owner, and the first version that names it.
type owner struct {
	node, incarnation int
	since             uint64
}

// node is one node; its clock has its own origin and runs a little fast or slow.
type node struct {
	index       int
	incarnation int
	origin      time.Duration
	rate        float64
	state       *State
	// view is the members that the node knows; it begins with itself alone.
	view map[int]bool
	// widest is the widest view of the last round that this incarnation completed.
	widest  int
	highest uint64
	// change is the version that an operator at this node waits for.
	change uint64
	// cut holds the node's messages back.
	cut bool
}

// step is what is left to do of a message between a node's incarnation and a peer,
// which is the node itself where the platform is meant.
type step struct {
	node        *node
	incarnation int
	peer        *node
	run         func()
}

func (s *step) cut() bool { return s.node.cut || s.peer.cut }

func (s *step) do() {
	if s.incarnation == s.node.incarnation {
		s.run()
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Hour, accepted: map[uint64]time.Duration{}, owners: make([]owner, 2)}
	for i := range rapid.IntRange(3, 5).Draw(t, "nodes") {
		n := &node{
			index:  i,
			origin: time.Duration(rapid.IntRange(1, 1000).Draw(t, "origin")) * time.Second,
			rate:   rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
		}
		w.start(n)
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

// start begins a node's incarnation, which knows nothing.
func (w *world) start(n *node) {
	n.highest, n.change, n.widest = 0, 0, 0
	n.state = New(w.clock(n))
	n.view = map[int]bool{n.index: true}
}

func (w *world) clock(n *node) clock.Time {
	return clock.Time(n.origin + time.Duration(float64(w.now)*n.rate))
}

func (w *world) head() uint64 { return uint64(len(w.owners) - 1) }

func (w *world) pick(label string) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, label)]
}

// later adds a step between a node and a peer.
func (w *world) later(n, peer *node, run func()) {
	w.steps = append(w.steps, &step{n, n.incarnation, peer, run})
}

// deliver runs some steps in any order; a step may stay to run again.
func (w *world) deliver(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "deliveries") {
		if len(w.steps) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.steps)-1).Draw(t, "step")
		s := w.steps[i]
		if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
			w.steps = append(w.steps[:i:i], w.steps[i+1:]...)
		}
		s.do()
	}
}

// promptly starts a message and runs most of its steps at once, as in a healthy
// network. What it holds back stays for deliver.
func (w *world) promptly(start func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		held := w.steps
		w.steps = nil
		start(t)
		for len(w.steps) > 0 {
			s := w.steps[0]
			w.steps = w.steps[1:]
			if s.cut() || rapid.IntRange(0, 15).Draw(t, "held") == 0 {
				held = append(held, s)
				continue
			}
			s.do()
		}
		w.steps = held
	}
}

// cut holds one node's messages back, or no longer.
func (w *world) cut(*rapid.T) {
	n := w.pick("cut")
	n.cut = !n.cut
}

func (w *world) lose(*rapid.T) { w.steps = nil }

func (w *world) pass(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
}

func (w *world) outage(*rapid.T) { w.down = !w.down }

func (w *world) restart(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "restart") > 0 {
		return
	}
	n := w.pick("restarted")
	n.incarnation++
	w.start(n)
}

// poll reads the head row; the answer may come late.
func (w *world) poll(*rapid.T) { w.read(w.pick("poller")) }

func (w *world) read(n *node) {
	asked := w.clock(n)
	w.later(n, n, func() {
		if w.down {
			return
		}
		head := w.head()
		w.later(n, n, func() {
			n.state.Install(head)
			n.state.Adopt(Platform, Stamp{head, asked})
		})
	})
}

// pull asks a peer; the peer's incarnation of the moment answers.
func (w *world) pull(*rapid.T) {
	a, b := w.pick("asker"), w.pick("asked")
	asked := w.clock(a)
	w.later(a, b, func() {
		standing := b.state.Standing(w.clock(b))
		w.later(a, b, func() {
			a.state.Install(standing.Installed)
			a.state.Take(standing, asked, w.clock(a))
			maps.Copy(a.view, b.view)
		})
	})
}

// round has all members confirm the version at one node.
func (w *world) round(*rapid.T) { w.gather(w.pick("gatherer")) }

func (w *world) gather(a *node) {
	version, started := a.state.Installed(), w.clock(a)
	r := NewRound(version, started, len(a.view), w.members[version])
	counted := map[int]bool{}
	for _, b := range w.nodes {
		if !a.view[b.index] {
			continue
		}
		w.later(a, b, func() {
			b.state.Install(version)
			confirmed, known, widest := b.state.Confirms(version), b.state.Known(), len(b.view)
			w.later(a, b, func() {
				a.state.Learn(known)
				if !confirmed || counted[b.index] {
					return
				}
				counted[b.index] = true
				r.Add(Tally{Members: 1, Confirmed: 1, Widest: widest})
				w.conclude(a, r)
			})
		})
	}
}

// fence has all nodes confirm the version that a version not yet fenced names as owners.
func (w *world) fence(*rapid.T) {
	a := w.pick("fencer")
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
		w.later(a, b, func() {
			b.state.Install(version)
			confirmed := b.state.Confirms(version)
			w.later(a, b, func() {
				if !confirmed {
					return
				}
				delete(missing, b.index)
				if len(missing) == 0 {
					a.state.Fence(version, w.clock(a))
				}
			})
		})
	}
}

func (w *world) conclude(a *node, r *Round) {
	stamp, ok := r.Complete(w.clock(a))
	if !ok {
		return
	}
	a.state.Adopt(Majority, stamp)
	a.state.Settle(stamp.Version, w.clock(a))
	a.widest = r.Widest()
	if a.change != 0 && a.state.Settled() >= a.change {
		w.accepted[a.change] = w.now
		a.change = 0
	}
}

// accept moves the head on behalf of an operator, at a node that has reached a
// majority. The answer may be lost on the way from the platform.
func (w *world) accept(*rapid.T) {
	a := w.pick("acceptor")
	if a.widest == 0 {
		return
	}
	asked, base, moved, members := w.clock(a), w.head(), false, a.widest
	w.later(a, a, func() {
		if w.down || moved || w.head() != base {
			return
		}
		moved = true
		w.move(members)
		w.later(a, a, func() {
			a.state.Install(base + 1)
			a.state.Adopt(Platform, Stamp{base + 1, asked})
			a.change = base + 1
			w.gather(a)
		})
	})
}

// move makes a new head, which may name another owner.
func (w *world) move(members int) {
	w.members = append(w.members, members)
	last := w.owners[len(w.owners)-1]
	n := w.nodes[rapid.IntRange(0, 1).Draw(w.t, "owner")]
	next := owner{n.index, n.incarnation, w.head() + 1}
	if last.since != 0 && last.node == next.node && last.incarnation == next.incarnation {
		next.since = last.since
	}
	w.owners = append(w.owners, next)
}

// check holds at every moment.
func (w *world) check(t *rapid.T) {
	acting := 0
	for _, n := range w.nodes {
		installed := n.state.Installed()
		if installed < n.highest {
			t.Fatalf("node %d went back from version %d to %d", n.index, n.highest, installed)
		}
		n.highest = installed
		w.checkFresh(t, n)
		if w.acts(n) {
			acting++
		}
	}
	if acting > 1 {
		t.Fatalf("%d owners act at once", acting)
	}
}

// checkFresh: no node trusts an older version longer than its term after the answer.
func (w *world) checkFresh(t *rapid.T, n *node) {
	if !n.state.Fresh(w.clock(n)) {
		return
	}
	for version, at := range w.accepted {
		if version > n.state.Installed() && w.now-at > FreshFor+DriftMargin {
			t.Fatalf("node %d is fresh with version %d, %v after version %d was accepted",
				n.index, n.state.Installed(), w.now-at, version)
		}
	}
}

// acts reports whether a node acts for the slot.
func (w *world) acts(n *node) bool {
	o := w.owners[n.state.Installed()]
	if o.since == 0 || o.node != n.index || o.incarnation != n.incarnation {
		return false
	}
	return n.state.Fresh(w.clock(n)) && n.state.Fenced(o.since, w.clock(n))
}
