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
	partition    int
}

// delayedMessage is a message that arrives after its sender gave up.
type delayedMessage struct {
	to  *simNode
	msg Message
	at  clock.Time
}

// sim is a fleet whose messages are lost, delayed and repeated.
type sim struct {
	rng         *rand.Rand
	clock       *clock.Fake
	nodes       []*simNode
	delayed        []delayedMessage
	lossRate        float64
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

func (s *sim) nodeAt(address string) *simNode { return s.byAddress[address] }

// exchange sends a message and returns the reply, if it came in time.
func (s *sim) exchange(from *simNode, t Target, msg Message) (Message, bool) {
	s.messages++
	to := s.nodeAt(t.Address)
	if to == nil || !to.running || to.partition != from.partition || s.rng.Float64() < s.lossRate {
		return Message{}, false
	}
	if to.paused || s.rng.Float64() < s.lossRate {
		delay := time.Duration(s.rng.IntN(20)) * Period / 4
		s.delayed = append(s.delayed, delayedMessage{to, msg, s.clock.Now().Add(delay)})
		return Message{}, false
	}
	reply := to.machine.HandleRequest(msg)
	s.bytes += messageSize(msg) + messageSize(reply)
	if s.rng.Float64() < s.lossRate {
		to.machine.HandleRequest(msg)
	}
	return reply, s.rng.Float64() >= s.lossRate
}

// messageSize estimates a message in bytes.
func messageSize(m Message) int {
	n := recordSize(&m.From) + 8 + 8*len(m.BucketDigests) + 2*len(m.Compared)
	for i := range m.Members {
		n += recordSize(&m.Members[i])
	}
	return n
}

func (s *sim) probe(from *simNode, t Target) bool {
	reply, ok := s.exchange(from, t, from.machine.NewMessage(t))
	return ok && from.machine.HandleReply(t, reply)
}

// step runs one period at every node.
func (s *sim) step() {
	s.clock.Advance(Period)
	s.deliverDelayed()
	for _, i := range s.rng.Perm(len(s.nodes)) {
		if n := s.nodes[i]; n.running && !n.paused {
			s.runPeriod(n)
		}
	}
}

func (s *sim) deliverDelayed() {
	var kept []delayedMessage
	for _, l := range s.delayed {
		switch {
		case l.at > s.clock.Now() || l.to.paused:
			kept = append(kept, l)
		case l.to.running:
			l.to.machine.HandleRequest(l.msg)
		}
	}
	s.delayed = kept
}

func (s *sim) runPeriod(n *simNode) {
	r := n.machine.Tick()
	if r.Probe.Address != "" && !s.probe(n, r.Probe) {
		s.probeIndirectly(n, r.Probe)
	}
	if r.Reconnect.Address != "" {
		s.probe(n, r.Reconnect)
	}
	if r.Compare.Address != "" {
		if reply, ok := s.exchange(n, r.Compare, n.machine.CompareRequest()); ok {
			back := n.machine.NewMessage(r.Compare)
			back.Members = append(back.Members, n.machine.HandleCompareReply(reply)...)
			s.exchange(n, r.Compare, back)
		}
	}
	s.push(n)
}

func (s *sim) push(n *simNode) {
	for _, p := range n.machine.PushMessages() {
		if reply, ok := s.exchange(n, p.To, p.Message); ok {
			n.machine.HandleReply(p.To, reply)
		}
	}
}

func (s *sim) probeIndirectly(n *simNode, t Target) {
	for _, h := range n.machine.IndirectProbers(t) {
		to := s.nodeAt(h.Address)
		if to != nil && to.running && !to.paused && to.partition == n.partition && s.rng.Float64() >= s.lossRate && s.probe(to, t) {
			n.machine.IndirectProbeSucceeded()
			return
		}
	}
	n.machine.ProbeFailed(t)
}

func (s *sim) heal() {
	s.lossRate = 0
	for _, n := range s.nodes {
		n.paused, n.partition = false, 0
	}
}

// firstDisagreement names the first running node whose view is not the truth, "" if none.
func (s *sim) firstDisagreement() string {
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
