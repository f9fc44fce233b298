package gossip

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// testMember returns a member as in the target deployment: one backend server on each
// node, 950 services and 12 failure domains.
func testMember(i int) table.Member {
	return table.Member{
		ID: fmt.Sprintf("node-%05d", i), Incarnation: 1 << 60, Sequence: 5, State: table.Alive,
		Address: fmt.Sprintf("10.%d.%d.%d:7004", i%12, i/250, i%250), Domain: fmt.Sprintf("domain-%02d", i%12),
		Endpoints: []table.MemberEndpoint{{Service: fmt.Sprintf("service-%03d", i%950), Slots: 80, Connections: 600, State: table.Ready}},
	}
}

// newStableMachine returns a machine that knows a stable fleet of n members, and its
// clock.
func newStableMachine(n int) (*Machine, *clock.Fake) {
	clk := &clock.Fake{}
	clk.Advance(time.Hour)
	members := table.NewMembers(clk, table.NewEndpoints(clk))
	m := New(Config{ID: "self", Incarnation: 1, Address: "10.99.0.1:7004", Domain: "domain-01"}, clk, members, rand.New(rand.NewPCG(1, 2)))
	for i := range n - 1 {
		m.mergeRecord(testMember(i), fromComparison)
	}
	m.queue, m.pushPending, m.joined = newChangeQueue(), false, true
	return m, clk
}

// BenchmarkPeriod measures one period of one node in a stable fleet: sending a probe,
// merging the reply, and replying to another node's probe.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, clk := newStableMachine(n)
			other := Message{From: testMember(1), Digest: m.digest.total}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				clk.Advance(Period)
				targets := m.Tick()
				msg := m.NewMessage(targets.Probe)
				m.HandleReply(targets.Probe, other)
				sent += messageSize(msg) + messageSize(m.HandleRequest(other))
			}
			b.ReportMetric(float64(sent)/float64(b.N), "sent-bytes/period")
		})
	}
}

// BenchmarkMemory measures the heap that one member takes in a node's tables.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var m *Machine
			before := heapBytes()
			for b.Loop() {
				m, _ = newStableMachine(n)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-bytes/member")
			runtime.KeepAlive(m)
		})
	}
}

// heapBytes returns the allocated heap after a garbage collection, in bytes.
func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkHeal measures how long the views of a fleet differ after a partition that
// separated two of ten nodes until each side had declared the other dead.
func BenchmarkHeal(b *testing.B) {
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(20261204, n)
				for s.firstDisagreement() != "" {
					s.step()
				}
				for i, x := range s.nodes {
					x.partition = i % 5 / 4
				}
				for s.nodes[0].machine.GoneCount() < n/5 || s.nodes[4].machine.GoneCount() < n-n/5 {
					s.step()
				}
				s.heal()
				begin, bytes := s.clock.Now(), s.bytes
				least := 1.0
				for s.firstDisagreement() != "" {
					s.step()
					least = min(least, s.minUsableFraction())
				}
				b.ReportMetric(least, "least-live/before")
				took := s.clock.Now().Sub(begin)
				b.ReportMetric(took.Seconds(), "heal-s")
				b.ReportMetric(float64(s.bytes-bytes)/took.Seconds()/float64(n), "sent-bytes/s/node")
			}
		})
	}
}

// minUsableFraction returns the smallest number of usable members in the view of any node
// of the larger side, as a fraction of that side's size.
func (s *sim) minUsableFraction() float64 {
	least, sideSize := len(s.nodes), len(s.nodes)-len(s.nodes)/5
	for i, x := range s.nodes {
		if i%5 < 4 {
			least = min(least, x.machine.UsableCount())
		}
	}
	return float64(least) / float64(sideSize)
}

// spreadSim simulates only the dissemination of changes, for fleets whose complete tables
// at all nodes do not fit into memory. Messages take up to maxDelaySteps steps (100 ms).
type spreadSim struct {
	rng   *rand.Rand
	nodes []spreadNode
	// inFlight holds the messages that arrive in each of the coming steps.
	inFlight [maxDelaySteps + 1][]spreadMessage
	// sentBytes is the number of bytes sent by all nodes.
	sentBytes int
	// deliveries is the number of pairs of a node and a change that it knows.
	deliveries int
}

type spreadMessage struct {
	to  int
	ids []string
}

type spreadNode struct {
	queue       *changeQueue
	known       map[string]bool
	pushPending bool
	nextPush    time.Duration
	// phase is the offset of the node's probes within a period.
	phase time.Duration
}

const (
	// spreadStep is the virtual time of one step.
	spreadStep = 10 * time.Millisecond
	// spreadChangeBytes is the size of one change, and of the sender's own record.
	spreadChangeBytes = 100
	// maxDelaySteps is the greatest delay of a message, in steps.
	maxDelaySteps = 10
)

func newSpreadSim(n int) *spreadSim {
	s := &spreadSim{rng: rand.New(rand.NewPCG(20261204, uint64(n))), nodes: make([]spreadNode, n)}
	for i := range s.nodes {
		s.nodes[i] = spreadNode{queue: newChangeQueue(), known: map[string]bool{}, phase: time.Duration(s.rng.Int64N(int64(Period)))}
	}
	return s
}

// addChange makes a change known to node i.
func (s *spreadSim) addChange(i int, id string) {
	n := &s.nodes[i]
	if n.known[id] {
		return
	}
	n.known[id], n.pushPending = true, true
	n.queue.add(id)
	s.deliveries++
}

// send sends one message with queued changes and returns its size in bytes.
func (s *spreadSim) send(from, to int) int {
	ids := s.nodes[from].queue.take(maxChangeBytes, retransmitLimit(len(s.nodes)), func(string) int { return spreadChangeBytes })
	arrives := 1 + s.rng.IntN(maxDelaySteps)
	s.inFlight[arrives] = append(s.inFlight[arrives], spreadMessage{to, ids})
	s.sentBytes += spreadChangeBytes * (1 + len(ids))
	return spreadChangeBytes * (1 + len(ids))
}

// step advances all nodes by one spreadStep, up to now.
func (s *spreadSim) step(now time.Duration) {
	copy(s.inFlight[:], s.inFlight[1:])
	s.inFlight[maxDelaySteps] = nil
	for _, m := range s.inFlight[0] {
		for _, id := range m.ids {
			s.addChange(m.to, id)
		}
	}
	for _, i := range s.rng.Perm(len(s.nodes)) {
		n := &s.nodes[i]
		if now%Period == n.phase/spreadStep*spreadStep {
			to := s.rng.IntN(len(s.nodes))
			s.send(i, to)
			s.send(to, i)
		}
		if n.pushPending && now >= n.nextPush {
			n.pushPending = false
			size := 0
			for range pushFanout {
				size += s.send(i, s.rng.IntN(len(s.nodes)))
			}
			n.nextPush = now + max(pushInterval, time.Duration(size)*time.Second/pushBytesPerSecond)
		}
	}
}

// BenchmarkSpread measures how long changes take to reach 50 %, 99 % and all of the fleet:
// one single change, and the changes of all members of a failure domain at once.
func BenchmarkSpread(b *testing.B) {
	for _, c := range []struct{ nodes, changes int }{{50, 1}, {150, 1}, {300, 1}, {5500, 1}, {5500, 458}} {
		b.Run(fmt.Sprintf("%d-changes-%d", c.changes, c.nodes), func(b *testing.B) {
			for b.Loop() {
				runSpread(b, c.nodes, c.changes)
			}
		})
	}
}

// runSpread reports the times and the bytes sent until the changes have reached each
// fraction of the fleet.
func runSpread(b *testing.B, nodes, changes int) {
	s := newSpreadSim(nodes)
	for i := range changes {
		s.addChange(i, fmt.Sprint(i))
	}
	fractions := []float64{0.5, 0.99, 1}
	now := time.Duration(0)
	for _, fraction := range fractions {
		for float64(s.deliveries) < fraction*float64(nodes*changes) && now < 10*time.Minute {
			now += spreadStep
			s.step(now)
		}
		b.ReportMetric(now.Seconds(), fmt.Sprintf("p%g-s", 100*fraction))
	}
	if slices.ContainsFunc(s.nodes, func(n spreadNode) bool { return len(n.known) < changes }) {
		b.ReportMetric(0, "incomplete")
	}
	b.ReportMetric(float64(s.sentBytes)/float64(nodes)/now.Seconds(), "sent-bytes/s/node")
}
