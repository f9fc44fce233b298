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
	// partition is the node's side of a partition; messages reach only nodes of the same
	// side.
	partition int
}

// delayedMessage is a message that arrives after its sender's timeout.
type delayedMessage struct {
	to  *simNode
	msg Message
	at  clock.Time
}

// sim simulates a fleet in virtual time whose messages are lost, delayed and repeated.
type sim struct {
	rng     *rand.Rand
	clock   *clock.Fake
	nodes   []*simNode
	delayed []delayedMessage
	// lossRate is the probability that a message or a reply is lost.
	lossRate    float64
	incarnation uint64
	byAddress   map[string]*simNode
	// messages counts the messages sent, and bytes the size of those answered at once and of
	// their replies.
	messages int
	bytes    int
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

// start starts a new incarnation of a node that knows only two contacts.
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

// exchange sends a message and returns the reply and whether it arrived in time.
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

// messageSize estimates the encoded size of a message in bytes.
func messageSize(m Message) int {
	n := recordSize(&m.From) + 8 + 8*len(m.BucketDigests) + 2*len(m.Compared)
	for i := range m.Members {
		n += recordSize(&m.Members[i])
	}
	return n
}

// probe probes a target and reports whether the target itself replied.
func (s *sim) probe(from *simNode, t Target) bool {
	reply, ok := s.exchange(from, t, from.machine.NewMessage(t))
	return ok && from.machine.HandleReply(t, reply)
}

// step runs one period at every running node.
func (s *sim) step() {
	s.clock.Advance(Period)
	s.deliverDelayed()
	for _, i := range s.rng.Perm(len(s.nodes)) {
		if n := s.nodes[i]; n.running && !n.paused {
			s.runPeriod(n)
		}
	}
}

// deliverDelayed delivers the delayed messages whose time has come. Those to paused nodes
// stay delayed, and those to nodes that are down are lost.
func (s *sim) deliverDelayed() {
	var kept []delayedMessage
	for _, d := range s.delayed {
		switch {
		case d.at > s.clock.Now() || d.to.paused:
			kept = append(kept, d)
		case d.to.running:
			d.to.machine.HandleRequest(d.msg)
		}
	}
	s.delayed = kept
}

// runPeriod runs one period of one node.
func (s *sim) runPeriod(n *simNode) {
	targets := n.machine.Tick()
	if targets.Probe.Address != "" && !s.probe(n, targets.Probe) {
		s.probeIndirectly(n, targets.Probe)
	}
	if targets.Reconnect.Address != "" {
		s.probe(n, targets.Reconnect)
	}
	if targets.Compare.Address != "" {
		if reply, ok := s.exchange(n, targets.Compare, n.machine.CompareRequest()); ok {
			newer := n.machine.NewMessage(targets.Compare)
			newer.Members = append(newer.Members, n.machine.HandleCompareReply(reply)...)
			s.exchange(n, targets.Compare, newer)
		}
	}
	s.push(n)
}

func (s *sim) push(n *simNode) {
	for _, e := range n.machine.PushMessages() {
		if reply, ok := s.exchange(n, e.To, e.Message); ok {
			n.machine.HandleReply(e.To, reply)
		}
	}
}

// probeIndirectly probes a target through other members and records the outcome.
func (s *sim) probeIndirectly(n *simNode, t Target) {
	for _, prober := range n.machine.IndirectProbers(t) {
		to := s.nodeAt(prober.Address)
		if to != nil && to.running && !to.paused && to.partition == n.partition && s.rng.Float64() >= s.lossRate && s.probe(to, t) {
			n.machine.IndirectProbeSucceeded()
			return
		}
	}
	n.machine.ProbeFailed(t)
}

// heal ends message loss, pauses and partitions. Nodes that are down stay down.
func (s *sim) heal() {
	s.lossRate = 0
	for _, n := range s.nodes {
		n.paused, n.partition = false, 0
	}
}

// firstDisagreement describes the first difference between a running node's view and the
// actual state of the fleet, "" if there is none.
func (s *sim) firstDisagreement() string {
	for _, a := range s.nodes {
		if !a.running || a.left {
			continue
		}
		for _, b := range s.nodes {
			r, known := a.members.Get(simID(b.index))
			present := b.running && !b.left
			if present && (!known || r.State != table.Alive || r.Sequence != b.machine.self.Sequence || r.Incarnation != b.machine.self.Incarnation) {
				return fmt.Sprintf("%s sees %s as %+v, its own record is %+v", simID(a.index), simID(b.index), r, b.machine.self)
			}
			if !present && known && r.Usable() {
				return fmt.Sprintf("%s sees the gone %s as %+v", simID(a.index), simID(b.index), r)
			}
		}
	}
	return ""
}
