package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/test/property"
)

// convergenceBound is how long after healing the views may differ, in a fleet of up to ten.
const convergenceBound = time.Minute

// incarnationID is one incarnation of a node.
type incarnationID struct {
	id          string
	incarnation uint64
}

// leftWatcher checks after each step that nobody takes a member for usable again that it
// knew to have left.
type leftWatcher struct {
	left map[*table.Members]map[incarnationID]bool
}

func (w *leftWatcher) check(t *rapid.T, s *sim) {
	for _, n := range s.nodes {
		seen := w.left[n.members]
		if seen == nil {
			seen = map[incarnationID]bool{}
			w.left[n.members] = seen
		}
		for _, r := range n.members.All() {
			l := incarnationID{r.ID, r.Incarnation}
			if r.State == table.Left {
				seen[l] = true
			} else if seen[l] {
				t.Fatalf("%s takes %v that had left for %s", simID(n.index), l, r.State)
			}
		}
	}
}

// applyRandomEvent does one random thing to the fleet.
func applyRandomEvent(t *rapid.T, s *sim) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"loss", "calm", "pause", "resume", "kill", "restart", "leave", "split", "join", "change"}).Draw(t, "event") {
	case "loss":
		s.lossRate = 0.4
	case "calm":
		s.lossRate = 0
	case "pause":
		n.paused = n.running
	case "resume":
		n.paused = false
	case "kill":
		n.running = false
	case "restart":
		s.start(n)
	case "leave":
		if n.running && !n.left {
			n.left = true
			n.machine.Leave()
		}
	case "split":
		for _, x := range s.nodes {
			x.partition = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case "join":
		for _, x := range s.nodes {
			x.partition = 0
		}
	case "change":
		if n.running && !n.left {
			n.machine.SetEndpoints([]table.MemberEndpoint{{Service: "s", Slots: rapid.IntRange(1, 9).Draw(t, "slots"), State: table.Ready}})
		}
	}
}

// Whatever is lost, delayed, repeated, paused, restarted and split, the views agree
// with the truth within healBound after it ends, and nobody who left returns.
func TestViewsConvergeAfterHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := newSim(seed, rapid.IntRange(3, 10).Draw(t, "nodes"))
		w := &leftWatcher{left: map[*table.Members]map[incarnationID]bool{}}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			applyRandomEvent(t, s)
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				s.step()
				w.check(t, s)
			}
		}
		s.heal()
		for _, n := range s.nodes[:2] {
			if !n.running || n.left {
				s.start(n)
			}
		}
		for range convergenceBound / Period {
			s.step()
			w.check(t, s)
		}
		if d := s.firstDisagreement(); d != "" {
			t.Fatal(d)
		}
	})
}

// A record that was cut off while its member left and was long gone must not return.
func TestStaleRecordDoesNotRestoreLeftMember(t *testing.T) {
	s := newSim(7, 4)
	for range 40 {
		s.step()
	}
	require.Empty(t, s.firstDisagreement())
	s.nodes[3].partition = 1
	s.nodes[2].left = true
	s.nodes[2].machine.Leave()
	for range 20 {
		s.step()
	}
	s.nodes[2].running = false
	s.clock.Advance(2 * time.Hour)
	s.nodes[3].partition = 0
	for range 240 {
		s.step()
		for _, n := range s.nodes[:2] {
			r, _ := n.members.Get(simID(2))
			require.Equal(t, table.Left, r.State)
		}
	}
	require.Empty(t, s.firstDisagreement())
}

// The records of the gone end, so that replacements do not fill the table.
func TestGoneRecordsExpire(t *testing.T) {
	s := newSim(8, 3)
	for range 20 {
		s.step()
	}
	s.nodes[2].running = false
	for range 60 {
		s.step()
	}
	require.Equal(t, 1, s.nodes[0].machine.GoneCount())
	s.clock.Advance(GoneRetention)
	for range 10 {
		s.step()
	}
	for _, n := range s.nodes[:2] {
		require.Zero(t, n.machine.GoneCount())
		require.Equal(t, 2, n.members.Len())
		require.Empty(t, n.machine.digest.bucketIDs[bucketOf(simID(2))])
	}
}

// A fleet that another node cannot reach for long leaves it the endpoints of a
// service that has no others.
func TestLastEndpointsOfDeadMemberAreKept(t *testing.T) {
	clk := newSim(9, 1).clock
	endpoints := table.NewEndpoints(clk)
	members := table.NewMembers(clk, endpoints)
	r := table.Member{ID: "a", Incarnation: 1, Sequence: 1, Address: "x", State: table.Alive,
		Endpoints: []table.MemberEndpoint{{Service: "s", Slots: 1, State: table.Ready}}}
	members.Merge(r)
	r.State = table.Dead
	members.Merge(r)
	require.Len(t, endpoints.ForService("s"), 1)
	r.State = table.Left
	members.Merge(r)
	require.Empty(t, endpoints.ForService("s"))
}

// checkSeed makes the random schedules the same in each run.
func TestMain(m *testing.M) { property.Main(m, property.Options{}) }

// Two halves without contacts find each other again after an hour apart.
func TestPartitionedHalvesRejoinWithoutContacts(t *testing.T) {
	s := newSim(10, 8)
	for range 60 {
		s.step()
	}
	require.Empty(t, s.firstDisagreement())
	for i, n := range s.nodes {
		n.machine.contacts = nil
		n.partition = i % 2
	}
	for range time.Hour / Period {
		s.step()
	}
	require.Equal(t, 4, s.nodes[0].machine.UsableCount())
	s.heal()
	for range convergenceBound / Period {
		s.step()
	}
	require.Empty(t, s.firstDisagreement())
}

// Two tables that differ for whatever reason are made equal by one comparison, whose
// size follows the difference and not the table.
func TestComparisonReconcilesTables(t *testing.T) {
	const fleet, changed = 2000, 3
	s := newSim(11, 2)
	a, b := s.nodes[0].machine, s.nodes[1].machine
	for i := 2; i < fleet; i++ {
		r := table.Member{ID: simID(i), Incarnation: 1, Sequence: 1, Address: simAddress(i), State: table.Alive}
		a.mergeRecord(r, fromComparison)
		b.mergeRecord(r, fromComparison)
	}
	for i := 2; i < 2+changed; i++ {
		r, _ := a.members.Get(simID(i))
		r.Sequence++
		a.mergeRecord(r, fromDelta)
	}
	a.mergeRecord(b.self, fromDelta)
	b.mergeRecord(a.self, fromDelta)
	a.joined, a.digestsDiffer = true, true
	s.clock.Advance(compareInterval)
	require.NotEmpty(t, a.Tick().Compare.Address)
	a.queue, b.queue = newChangeQueue(), newChangeQueue()

	reply := b.HandleRequest(a.CompareRequest())
	require.Len(t, reply.Compared, changed)
	require.Less(t, len(reply.Members), 20*fleet*changed/BucketCount)
	back := a.HandleCompareReply(reply)
	require.Len(t, back, changed)
	b.HandleRequest(Message{From: a.self, Members: back})
	require.Equal(t, a.digest.total, b.digest.total)
}

// A node that was paused does not bury suspects whose objections wait unread.
func TestPauseRestartsSuspicions(t *testing.T) {
	s := newSim(12, 3)
	for range 20 {
		s.step()
	}
	m := s.nodes[0].machine
	m.ProbeFailed(Target{ID: simID(2)})
	s.clock.Advance(time.Minute)
	m.Tick()
	r, _ := s.nodes[0].members.Get(simID(2))
	require.Equal(t, table.Suspect, r.State)
}

// A node that was replaced by another at its address, or moved to another address,
// is found out by who answers.
func TestReplacedNodeIsDeclaredDead(t *testing.T) {
	s := newSim(13, 5)
	for range 40 {
		s.step()
	}
	old, replaced := s.nodes[3], &simNode{index: 3}
	old.running = false
	replaced.members = table.NewMembers(s.clock, table.NewEndpoints(s.clock))
	replaced.machine = New(Config{
		ID: "other", Incarnation: 99, Address: simAddress(3), Domain: "d", Contacts: []string{simAddress(0)},
	}, s.clock, replaced.members, s.rng)
	replaced.running = true
	s.nodes = append(s.nodes, replaced)
	s.byAddress[simAddress(3)] = replaced
	for range convergenceBound / Period {
		s.step()
	}
	for _, n := range s.nodes[:3] {
		gone, _ := n.members.Get(simID(3))
		require.Equal(t, table.Dead, gone.State)
		taken, _ := n.members.Get("other")
		require.Equal(t, table.Alive, taken.State)
	}
}

// When two parts of a fleet that held each other for dead meet again, what one side
// believed must not take the other side's members from each other.
func TestHealingKeepsMembersUsable(t *testing.T) {
	s := newSim(14, 100)
	for s.firstDisagreement() != "" {
		s.step()
	}
	for i, x := range s.nodes {
		x.partition = i % 5 / 4
	}
	for s.nodes[0].machine.GoneCount() < 20 || s.nodes[4].machine.GoneCount() < 80 {
		s.step()
	}
	s.heal()
	for range convergenceBound / Period {
		s.step()
		require.GreaterOrEqual(t, s.minUsableFraction(), 0.9)
	}
	require.Empty(t, s.firstDisagreement())
}
