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

// record is a member like those of the target: one backend server each, in 950
// services and 12 failure domains.
func record(i int) table.Member {
	return table.Member{
		ID: fmt.Sprintf("node-%05d", i), Incarnation: 1 << 60, Sequence: 5, State: table.Alive,
		Address: fmt.Sprintf("10.%d.%d.%d:7004", i%12, i/250, i%250), Domain: fmt.Sprintf("domain-%02d", i%12),
		Endpoints: []table.MemberEndpoint{{Service: fmt.Sprintf("service-%03d", i%950), Slots: 80, Connections: 600, State: table.Ready}},
	}
}

// filled is a machine in a calm fleet of n.
func filled(n int) (*Machine, *clock.Fake) {
	clk := &clock.Fake{}
	clk.Advance(time.Hour)
	members := table.NewMembers(clk, table.NewEndpoints(clk))
	m := New(Config{ID: "self", Incarnation: 1, Address: "10.99.0.1:7004", Domain: "domain-01"}, clk, members, rand.New(rand.NewPCG(1, 2)))
	for i := range n - 1 {
		m.learn(record(i), comparison)
	}
	m.queue, m.fresh, m.joined = newQueue(), false, true
	return m, clk
}

// BenchmarkPeriod is one period of one node in a calm fleet: its own probe, its
// reply to another's, and what it learns from both.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, clk := filled(n)
			other := Message{From: record(1), Digest: m.digest.total}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				clk.Advance(Period)
				r := m.Tick()
				msg := m.Message(r.Probe)
				m.Answered(r.Probe, other)
				sent += size(msg) + size(m.Receive(other))
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
			before := heap()
			for b.Loop() {
				kept, _ = filled(n)
			}
			b.ReportMetric(float64(heap()-before)/float64(n), "heap-bytes/member")
			runtime.KeepAlive(kept)
		})
	}
}

func heap() uint64 {
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
				for s.disagreement() != "" {
					s.step()
				}
				for i, x := range s.nodes {
					x.side = i % 5 / 4
				}
				for s.nodes[0].machine.Gone() < n/5 || s.nodes[4].machine.Gone() < n-n/5 {
					s.step()
				}
				s.heal()
				begin, bytes := s.clock.Now(), s.bytes
				for s.disagreement() != "" {
					s.step()
				}
				took := s.clock.Now().Sub(begin)
				b.ReportMetric(took.Seconds(), "heal-s")
				b.ReportMetric(float64(s.bytes-bytes)/took.Seconds()/float64(n), "sent-bytes/s/node")
			}
		})
	}
}

// rumor simulates only the spread of changes, for sizes at which the whole tables of
// all nodes do not fit here. Messages take up to 100 ms; a change is changeBytes long.
type rumor struct {
	rng   *rand.Rand
	nodes []rumorNode
	// onWay holds the messages that arrive in each of the coming steps.
	onWay [rumorDelaySteps + 1][]rumorMessage
	sent  int
	done  int
}

type rumorMessage struct {
	to  int
	ids []string
}

type rumorNode struct {
	queue     *queue
	known     map[string]bool
	fresh     bool
	pushAfter time.Duration
	phase     time.Duration
}

const (
	rumorStep   = 10 * time.Millisecond
	changeBytes = 100
	// rumorDelaySteps is the longest time of a message on its way, in steps.
	rumorDelaySteps = 10
)

func newRumor(n int) *rumor {
	r := &rumor{rng: rand.New(rand.NewPCG(20261204, uint64(n))), nodes: make([]rumorNode, n)}
	for i := range r.nodes {
		r.nodes[i] = rumorNode{queue: newQueue(), known: map[string]bool{}, phase: time.Duration(r.rng.Int64N(int64(Period)))}
	}
	return r
}

func (r *rumor) learn(i int, id string) {
	n := &r.nodes[i]
	if n.known[id] {
		return
	}
	n.known[id], n.fresh = true, true
	n.queue.push(id)
	r.done++
}

func (r *rumor) send(from, to int) int {
	ids := r.nodes[from].queue.take(messageBytes, resends(len(r.nodes)), func(string) int { return changeBytes })
	arrives := 1 + r.rng.IntN(rumorDelaySteps)
	r.onWay[arrives] = append(r.onWay[arrives], rumorMessage{to, ids})
	r.sent += changeBytes * (1 + len(ids))
	return changeBytes * (1 + len(ids))
}

// step is rumorStep of all nodes.
func (r *rumor) step(now time.Duration) {
	copy(r.onWay[:], r.onWay[1:])
	r.onWay[rumorDelaySteps] = nil
	for _, m := range r.onWay[0] {
		for _, id := range m.ids {
			r.learn(m.to, id)
		}
	}
	for _, i := range r.rng.Perm(len(r.nodes)) {
		n := &r.nodes[i]
		if now%Period == n.phase/rumorStep*rumorStep {
			to := r.rng.IntN(len(r.nodes))
			r.send(i, to)
			r.send(to, i)
		}
		if n.fresh && now >= n.pushAfter {
			n.fresh = false
			size := 0
			for range fanout {
				size += r.send(i, r.rng.IntN(len(r.nodes)))
			}
			n.pushAfter = now + max(pushInterval, time.Duration(size)*time.Second/pushBytesPerSecond)
		}
	}
}

// BenchmarkSpread is how long changes of some members take to reach a part of the
// fleet: one alone, and a failure domain's at once.
func BenchmarkSpread(b *testing.B) {
	for _, c := range []struct{ nodes, changes int }{{50, 1}, {150, 1}, {300, 1}, {5500, 1}, {5500, 458}} {
		b.Run(fmt.Sprintf("%d-changes-%d", c.changes, c.nodes), func(b *testing.B) {
			for b.Loop() {
				spread(b, c.nodes, c.changes)
			}
		})
	}
}

func spread(b *testing.B, nodes, changes int) {
	r := newRumor(nodes)
	for c := range changes {
		r.learn(c, fmt.Sprint(c))
	}
	parts := []float64{0.5, 0.99, 1}
	now := time.Duration(0)
	for _, part := range parts {
		for float64(r.done) < part*float64(nodes*changes) && now < 10*time.Minute {
			now += rumorStep
			r.step(now)
		}
		b.ReportMetric(now.Seconds(), fmt.Sprintf("p%g-s", 100*part))
	}
	if slices.ContainsFunc(r.nodes, func(n rumorNode) bool { return len(n.known) < changes }) {
		b.ReportMetric(0, "incomplete")
	}
	b.ReportMetric(float64(r.sent)/float64(nodes)/now.Seconds(), "sent-bytes/s/node")
}
