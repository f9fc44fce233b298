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

// testMember is a member like those of the target: one backend server each, in 950
// services and 12 failure domains.
func testMember(i int) table.Member {
	return table.Member{
		ID: fmt.Sprintf("node-%05d", i), Incarnation: 1 << 60, Sequence: 5, State: table.Alive,
		Address: fmt.Sprintf("10.%d.%d.%d:7004", i%12, i/250, i%250), Domain: fmt.Sprintf("domain-%02d", i%12),
		Endpoints: []table.MemberEndpoint{{Service: fmt.Sprintf("service-%03d", i%950), Slots: 80, Connections: 600, State: table.Ready}},
	}
}

// newStableMachine is a machine in a calm fleet of n.
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

// BenchmarkPeriod is one period of one node in a calm fleet: its own probe, its
// reply to another's, and what it learns from both.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, clk := newStableMachine(n)
			other := Message{From: testMember(1), Digest: m.digest.total}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				clk.Advance(Period)
				r := m.Tick()
				msg := m.NewMessage(r.Probe)
				m.HandleReply(r.Probe, other)
				sent += messageSize(msg) + messageSize(m.HandleRequest(other))
			}
			b.ReportMetric(float64(sent)/float64(b.N), "sent-bytes/period")
		})
	}
}

// BenchmarkMemory is what one member costs in a node's tables.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var kept *Machine
			before := heapBytes()
			for b.Loop() {
				kept, _ = newStableMachine(n)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-bytes/member")
			runtime.KeepAlive(kept)
		})
	}
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkHeal is how long the views of a fleet differ after two of ten nodes were
// apart from the rest until each side held the other for dead.
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

// minUsableFraction is the smallest part of the larger side that a node of it holds for usable.
func (s *sim) minUsableFraction() float64 {
	least, larger := len(s.nodes), len(s.nodes)-len(s.nodes)/5
	for i, x := range s.nodes {
		if i%5 < 4 {
			least = min(least, x.machine.UsableCount())
		}
	}
	return float64(least) / float64(larger)
}

// spreadSim simulates only the spread of changes, for sizes at which the whole tables of
// all nodes do not fit here. Messages take up to 100 ms; a change is changeBytes long.
type spreadSim struct {
	rng   *rand.Rand
	nodes []spreadNode
	// inFlight holds the messages that arrive in each of the coming steps.
	inFlight [maxDelaySteps + 1][]spreadMessage
	sentBytes  int
	deliveries  int
}

type spreadMessage struct {
	to  int
	ids []string
}

type spreadNode struct {
	queue     *changeQueue
	known     map[string]bool
	pushPending     bool
	nextPush time.Duration
	phase     time.Duration
}

const (
	spreadStep   = 10 * time.Millisecond
	spreadChangeBytes = 100
	// maxDelaySteps is the longest time of a message on its way, in steps.
	maxDelaySteps = 10
)

func newSpreadSim(n int) *spreadSim {
	r := &spreadSim{rng: rand.New(rand.NewPCG(20261204, uint64(n))), nodes: make([]spreadNode, n)}
	for i := range r.nodes {
		r.nodes[i] = spreadNode{queue: newChangeQueue(), known: map[string]bool{}, phase: time.Duration(r.rng.Int64N(int64(Period)))}
	}
	return r
}

func (r *spreadSim) addChange(i int, id string) {
	n := &r.nodes[i]
	if n.known[id] {
		return
	}
	n.known[id], n.pushPending = true, true
	n.queue.add(id)
	r.deliveries++
}

func (r *spreadSim) send(from, to int) int {
	ids := r.nodes[from].queue.take(maxChangeBytes, retransmitLimit(len(r.nodes)), func(string) int { return spreadChangeBytes })
	arrives := 1 + r.rng.IntN(maxDelaySteps)
	r.inFlight[arrives] = append(r.inFlight[arrives], spreadMessage{to, ids})
	r.sentBytes += spreadChangeBytes * (1 + len(ids))
	return spreadChangeBytes * (1 + len(ids))
}

// step is rumorStep of all nodes.
func (r *spreadSim) step(now time.Duration) {
	copy(r.inFlight[:], r.inFlight[1:])
	r.inFlight[maxDelaySteps] = nil
	for _, m := range r.inFlight[0] {
		for _, id := range m.ids {
			r.addChange(m.to, id)
		}
	}
	for _, i := range r.rng.Perm(len(r.nodes)) {
		n := &r.nodes[i]
		if now%Period == n.phase/spreadStep*spreadStep {
			to := r.rng.IntN(len(r.nodes))
			r.send(i, to)
			r.send(to, i)
		}
		if n.pushPending && now >= n.nextPush {
			n.pushPending = false
			size := 0
			for range pushFanout {
				size += r.send(i, r.rng.IntN(len(r.nodes)))
			}
			n.nextPush = now + max(pushInterval, time.Duration(size)*time.Second/pushBytesPerSecond)
		}
	}
}

// BenchmarkSpread is how long changes of some members take to reach a part of the
// fleet: one alone, and a failure domain's at once.
func BenchmarkSpread(b *testing.B) {
	for _, c := range []struct{ nodes, changes int }{{50, 1}, {150, 1}, {300, 1}, {5500, 1}, {5500, 458}} {
		b.Run(fmt.Sprintf("%d-changes-%d", c.changes, c.nodes), func(b *testing.B) {
			for b.Loop() {
				runSpread(b, c.nodes, c.changes)
			}
		})
	}
}

func runSpread(b *testing.B, nodes, changes int) {
	r := newSpreadSim(nodes)
	for c := range changes {
		r.addChange(c, fmt.Sprint(c))
	}
	parts := []float64{0.5, 0.99, 1}
	now := time.Duration(0)
	for _, part := range parts {
		for float64(r.deliveries) < part*float64(nodes*changes) && now < 10*time.Minute {
			now += spreadStep
			r.step(now)
		}
		b.ReportMetric(now.Seconds(), fmt.Sprintf("p%g-s", 100*part))
	}
	if slices.ContainsFunc(r.nodes, func(n spreadNode) bool { return len(n.known) < changes }) {
		b.ReportMetric(0, "incomplete")
	}
	b.ReportMetric(float64(r.sentBytes)/float64(nodes)/now.Seconds(), "sent-bytes/s/node")
}
