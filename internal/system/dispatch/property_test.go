package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/test/property"
)

func TestMain(m *testing.M) { property.Main(m, property.Options{Checks: 20000}) }

// network carries calls to far nodes with real fence tables; it loses messages,
// delays them, and restarts nodes.
type network struct {
	t         *rapid.T
	clock     *clock.Fake
	tables    map[string]*fence.Table
	restarted map[string]bool
	late      []func()
	sends     int
	starts    int
}

func (n *network) coin(label string) bool { return rapid.Bool().Draw(n.t, label) }

func (n *network) start(at *fence.Table, id call.ID) bool {
	if !at.Start(id) {
		return false
	}
	n.starts++
	return true
}

// Call implements Peers.
func (n *network) Call(_ context.Context, e *table.Endpoint, c *call.Call) call.Result {
	n.sends++
	at, id := n.tables[e.Node], c.ID
	lost := call.Result{Failure: call.NewUnknownOutcome(call.PeerLost, "lost")}
	switch rapid.IntRange(0, 8).Draw(n.t, "fate") {
	case 0:
		return call.FailedResult(call.NewRefusal(call.PeerUnreachable, "unreachable"), c.RetryAllowance)
	case 1:
		return lost
	case 2:
		n.late = append(n.late, func() { _ = at.Register(id) && n.start(at, id) })
		return lost
	case 3:
		at.Register(id)
		n.late = append(n.late, func() { n.start(at, id) })
		return lost
	case 4:
		at.Register(id)
		n.tables[e.Node], n.restarted[e.Node] = fence.New(n.clock), true
		if n.coin("ran before the restart") {
			n.start(at, id)
		}
		return lost
	case 5:
		return call.FailedResult(call.NewRefusal(call.Draining, "draining"), c.RetryAllowance)
	case 6:
		return call.FailedResult(call.NewRefusal(call.QueueFull, "full"), c.RetryAllowance)
	}
	at.Register(id)
	n.start(at, id)
	if n.coin("reply lost") {
		return lost
	}
	unused := rapid.IntRange(0, c.RetryAllowance).Draw(n.t, "unused")
	if n.coin("backend lost") {
		return call.Result{Failure: call.NewUnknownOutcome(call.BackendLost, "lost"), UnusedRetries: unused}
	}
	status := rapid.SampledFrom([]int{200, 500}).Draw(n.t, "status")
	return call.Result{Answer: &call.Answer{Status: status}, UnusedRetries: unused}
}

// Fence implements Peers.
func (n *network) Fence(_ context.Context, e *table.Endpoint, id call.ID) bool {
	if n.coin("late messages first") {
		n.flush()
	}
	if n.coin("question lost") || n.restarted[e.Node] {
		return false
	}
	proven := n.tables[e.Node].Fence(id)
	return proven && !n.coin("proof lost")
}

func (n *network) flush() {
	for _, deliver := range n.late {
		deliver()
	}
	n.late = nil
}

// Whatever is lost, late or restarted: "not run" is true, a non-idempotent call runs
// at most once, and the sends stay within the allowance.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := &clock.Fake{}
		n := &network{t: t, clock: clk, tables: map[string]*fence.Table{}, restarted: map[string]bool{}}
		endpoints := table.NewEndpoints(clk)
		members := table.NewMembers(clk, endpoints)
		for _, id := range []string{"b", "c", "d", "e"} {
			n.tables[id] = fence.New(clk)
			members.Merge(table.Member{
				ID: id, Incarnation: 1, State: table.Alive,
				Endpoints: []table.MemberEndpoint{{Service: "s", Slots: 1, State: table.Ready}},
			})
		}
		c := &call.Call{
			Service: "s", Idempotent: n.coin("idempotent"), Deadline: clk.Now().Add(time.Hour),
			RetryAllowance: rapid.IntRange(0, 3).Draw(t, "allowance"),
		}
		r := New(Self{ID: "a"}, clk, endpoints, n, nil, budget.Default(), metric.NewSet(), logging.RequestLog(zerolog.Nop())).Do(context.Background(), c)
		n.flush()
		require.LessOrEqual(t, n.starts, 1+c.RetryAllowance, "runs above the allowance")
		require.LessOrEqual(t, n.sends, 1+c.RetryAllowance+maxFailovers, "sends above all bounds")
		if r.Failure != nil && r.Failure.Outcome == call.NotRun {
			require.Zero(t, n.starts, "a false not-run")
		}
		if !c.Idempotent {
			require.LessOrEqual(t, n.starts, 1, "two runs")
		}
	})
}
