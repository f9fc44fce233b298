package gossip

import (
	"fmt"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// simNode is one node of a simulated fleet.
type simNode struct {
	index   int
	machine *Machine
	members *table.Members
	running bool
	paused  bool
	left    bool
	side    int
}

// late is a message that arrives after its sender gave up.
type late struct {
	to  *simNode
	msg Message
	at  clock.Time
}

// sim is a fleet whose messages are lost, delayed and repeated.
type sim struct {
	rng         *rand.Rand
	clock       *clock.Fake
	nodes       []*simNode
	late        []late
	loss        float64
	incarnation uint64
	byAddress   map[string]*simNode
	messages    int
	bytes       int
}

func newSim(seed uint64, n int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), clock: &clock.Fake{}, byAddress: map[string]*simNode{}}
	s.clock.Advance(time.Hour)
	for i := range n {
		s.nodes = append(s.nodes, &simNode{index: i})
		s.byAddress[simAddress(i)] = s.nodes[i]
		s.start(s.nodes[i])
	}
	return s
}

func simID(i int) string      { return fmt.Sprintf("n%04d", i) }
func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7004", i/250, i%250) }

// start starts a node anew, with nothing known but two contacts.
func (s *sim) start(n *simNode) {
	s.incarnation++
	n.members = table.NewMembers(s.clock, table.NewEndpoints(s.clock))
	n.machine = New(Config{
		ID: simID(n.index), Incarnation: s.incarnation, Address: simAddress(n.index), Domain: "d",
		Contacts: []string{simAddress(0), simAddress(1)},
	}, s.clock, n.members, s.rng)
	n.running, n.paused, n.left = true, false, false
}

func (s *sim) at(address string) *simNode { return s.byAddress[address] }

// call sends a message and returns the reply, if it came in time.
func (s *sim) call(from *simNode, t Target, msg Message) (Message, bool) {
	s.messages++
	to := s.at(t.Address)
	if to == nil || !to.running || to.side != from.side || s.rng.Float64() < s.loss {
		return Message{}, false
	}
	if to.paused || s.rng.Float64() < s.loss {
		delay := time.Duration(s.rng.IntN(20)) * Period / 4
		s.late = append(s.late, late{to, msg, s.clock.Now().Add(delay)})
		return Message{}, false
	}
	reply := to.machine.Receive(msg)
	s.bytes += size(msg) + size(reply)
	if s.rng.Float64() < s.loss {
		to.machine.Receive(msg)
	}
	return reply, s.rng.Float64() >= s.loss
}

// size estimates a message in bytes.
func size(m Message) int {
	n := recordSize(&m.From) + 8 + 8*len(m.Buckets) + 2*len(m.Compared)
	for i := range m.Members {
		n += recordSize(&m.Members[i])
	}
	return n
}

func (s *sim) ask(from *simNode, t Target) bool {
	reply, ok := s.call(from, t, from.machine.Message(t))
	return ok && from.machine.Answered(t, reply)
}

// step runs one period at every node.
func (s *sim) step() {
	s.clock.Advance(Period)
	s.deliverLate()
	for _, i := range s.rng.Perm(len(s.nodes)) {
		if n := s.nodes[i]; n.running && !n.paused {
			s.period(n)
		}
	}
}

func (s *sim) deliverLate() {
	var kept []late
	for _, l := range s.late {
		switch {
		case l.at > s.clock.Now() || l.to.paused:
			kept = append(kept, l)
		case l.to.running:
			l.to.machine.Receive(l.msg)
		}
	}
	s.late = kept
}

func (s *sim) period(n *simNode) {
	r := n.machine.Tick()
	if r.Probe.Address != "" && !s.ask(n, r.Probe) {
		s.indirect(n, r.Probe)
	}
	if r.Revive.Address != "" {
		s.ask(n, r.Revive)
	}
	if r.Compare.Address != "" {
		if reply, ok := s.call(n, r.Compare, n.machine.Comparison()); ok {
			back := n.machine.Message(r.Compare)
			back.Members = append(back.Members, n.machine.AnsweredComparison(reply)...)
			s.call(n, r.Compare, back)
		}
	}
	s.push(n)
}

func (s *sim) push(n *simNode) {
	for _, p := range n.machine.Push() {
		if reply, ok := s.call(n, p.To, p.Message); ok {
			n.machine.Answered(p.To, reply)
		}
	}
}

func (s *sim) indirect(n *simNode, t Target) {
	for _, h := range n.machine.Helpers(t) {
		to := s.at(h.Address)
		if to != nil && to.running && !to.paused && to.side == n.side && s.rng.Float64() >= s.loss && s.ask(to, t) {
			n.machine.Reached()
			return
		}
	}
	n.machine.Missed(t)
}

func (s *sim) heal() {
	s.loss = 0
	for _, n := range s.nodes {
		n.paused, n.side = false, 0
	}
}

// disagreement names the first running node whose view is not the truth, "" if none.
func (s *sim) disagreement() string {
	for _, a := range s.nodes {
		if !a.running || a.left {
			continue
		}
		for _, b := range s.nodes {
			r, known := a.members.Get(simID(b.index))
			present := b.running && !b.left
			if present && (!known || r.State != table.Alive || r.Sequence != b.machine.self.Sequence || r.Incarnation != b.machine.self.Incarnation) {
				return fmt.Sprintf("%s sees %s as %+v, it is at %+v", simID(a.index), simID(b.index), r, b.machine.self)
			}
			if !present && known && r.Usable() {
				return fmt.Sprintf("%s sees the gone %s as %+v", simID(a.index), simID(b.index), r)
			}
		}
	}
	return ""
}
